use super::*;

/// Each command and its response, repeated and out of turn included.
#[test]
fn commands_have_stated_responses() {
    let status = Status::default();
    let response = |line: &[u8]| respond(line, &status);
    assert_eq!(response(b"status"), ("400 cannot serve yet\n", None));
    status.can_serve.store(true, Ordering::Relaxed);
    assert_eq!(response(b"status\r"), ("200 can serve\n", None));
    assert_eq!(response(b"active"), ("200 active already\n", None));
    assert_eq!(response(b"standby").1, Some(Command::Standby));
    status.is_standby.store(true, Ordering::Relaxed);
    assert_eq!(response(b"standby"), ("200 on standby already\n", None));
    assert_eq!(response(b"status"), ("200 can serve, on standby\n", None));
    assert_eq!(response(b"active").1, Some(Command::Active));
    for wrong in [&b""[..], b"STATUS", b"status now", b"restart", &[0xff; 9]] {
        assert!(response(wrong).0.starts_with("400 "));
    }
}
