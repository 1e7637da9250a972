use super::*;

#[test]
fn settings_read_with_defaults_and_name_every_error() {
    assert_eq!(QuotaSettings::load("").unwrap(), None);
    let s = QuotaSettings::load("counter: { parts: 2, fade: 10 }").unwrap().unwrap();
    assert_eq!(
        (s.partitions, s.share_decay_secs, s.resend_secs),
        (2, 10.0, QuotaSettings::default().resend_secs)
    );
    assert!(s.describe().contains("2 part(s)"));
    let bad = "counter: {\n  parts: 0\n  span: \"x\"\n  guard: 1\n  pats: 2\n}";
    let said: Vec<String> = QuotaSettings::load(bad).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(said.len(), 4, "{said:?}");
    assert!(said[0].starts_with("2:10: counter.parts: 0 is out of range"), "{said:?}");
    assert!(said[3].contains("counter.pats: is no known field"), "{said:?}");
}
