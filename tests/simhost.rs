//! Tests of the simulator adapter as a process, over standard input and output.

use serde_json::Value;
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_whinstall-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter exits at an invalid line without reading the rest, so a broken pipe is no failure.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON alone on standard output")).collect()
}

fn start_event(gateway: u32) -> String {
    format!(
        r#"{{"what":"Start","gateway":{gateway},"initSeed":7,"bootInfo":{{"replicasOfMe":2,"zone":"a","future":[1],
"classes":[{{"name":"read","aimS":1,"hardLimitS":3,"idempotency":"repeatable","gain":1}}],
"tiersOfService":[{{"name":"basic","perSecond":5,"mostAtOnce":20,"price":1}}],
"familyInfo":{{"mayCount":true,"countWaitS":0.05,"unitsTop":8}},"limits":{{"maxAttempts":4,"cancel":true}},
"rules":{{"coldShare":0.2,"tipMultiple":2,"fallS":1,"warmAfterS":15}}}}}}"#
    )
    .replace('\n', "")
}

fn members_event(gateway: u32) -> String {
    format!(
        r#"{{"what":"Members","gateway":{gateway},"scope":"restored","serial":1,"hosts":[{{"host":"10.0.0.1:80","failureDomain":"a","group":0,"availability":"ready","nominal":1}}]}}"#
    )
}

fn request_event(gateway: u32) -> String {
    format!(
        r#"{{"what":"Ask","gateway":{gateway},"job":"q{gateway}","tierClass":"read","tariff":"basic","userKey":"c","budgetS":2,"quotaUnits":2,"width":2,"base":0,"new":true}}"#
    )
}

fn batch(round: u32, events: &[String]) -> String {
    let body: String = events.iter().map(|e| format!("{e}\n")).collect();
    format!(
        "{{\"what\":\"Sync\",\"simTimeS\":{}.5,\"round\":{round}}}\n{body}{{\"what\":\"OverToYou\"}}\n",
        round + 10
    )
}

/// Each batch is answered by its round number. An unknown event is reported once and otherwise ignored.
#[test]
fn replies_to_batches_for_several_instances() {
    let unknown = r#"{"what":"Weather","gateway":3,"sun":1}"#.to_string();
    let input = batch(0, &[])
        + &batch(1, &[start_event(3), members_event(3), start_event(5), members_event(5)])
        + &batch(2, &[request_event(3), unknown.clone(), request_event(5), unknown]);
    let output = run(&input);
    assert!(output.status.success());
    let lines = lines(&output);
    let rounds: Vec<u64> =
        lines.iter().filter(|l| l["what"] == "Eor").map(|l| l["round"].as_u64().expect("round")).collect();
    assert_eq!(rounds, [0, 1, 2]);
    let sends: Vec<&Value> = lines.iter().filter(|l| l["what"] == "Deliver").collect();
    assert_eq!(sends.len(), 2);
    assert_eq!(sends[0]["host"], "10.0.0.1:80");
    assert_eq!((sends[0]["gateway"].as_u64(), sends[1]["gateway"].as_u64()), (Some(3), Some(5)));
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(errors.matches("Weather").count(), 1, "{errors}");
}

/// A power-off discards the state of an instance, its endpoint list included.
#[test]
fn an_instance_starts_without_state_after_a_power_off() {
    let power_off = r#"{"what":"PowerOff","gateway":3}"#.to_string();
    let input = batch(1, &[start_event(3), members_event(3)])
        + &batch(2, &[power_off, start_event(3)])
        + &batch(3, &[request_event(3)]);
    let output = run(&input);
    assert!(output.status.success());
    assert!(lines(&output).iter().any(|l| l["what"] == "TurnAway"), "rejected without an endpoint list");
}

#[test]
fn an_invalid_line_ends_the_adapter_with_its_number() {
    for (input, line) in [
        ("not json\n".to_string(), "line 1"),
        (batch(1, &[request_event(9)]), "line 2"),
        ("{\"what\":\"Sync\",\"simTimeS\":1,\"round\":1}\n".to_string(), "line 2"),
        (batch(1, &[start_event(3)]) + "{\"what\":\"OverToYou\"}\n", "line 4"),
        (batch(1, &[start_event(3), r#"{"what":"Ask","gateway":3,"budgetS":"soon"}"#.into()]), "line 3"),
    ] {
        let output = run(&input);
        assert!(!output.status.success(), "{input}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(line), "{input}");
    }
    assert!(run("").status.success());
}
