//! The built adapter as a process, over standard input and output.

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
    // It may stop reading at a bad line: a broken pipe is its right.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON alone on standard output")).collect()
}

fn start(gateway: u32) -> String {
    format!(
        r#"{{"what":"Start","gateway":{gateway},"initSeed":7,"bootInfo":{{"replicasOfMe":2,"zone":"a","future":[1],
"classes":[{{"name":"read","aimS":1,"hardLimitS":3,"idempotency":"repeatable","gain":1}}],
"tiersOfService":[{{"name":"basic","perSecond":5,"mostAtOnce":20,"price":1}}],
"familyInfo":{{"mayCount":true,"countWaitS":0.05,"unitsTop":8}},"limits":{{"maxAttempts":4,"cancel":true}},
"rules":{{"coldShare":0.2,"tipMultiple":2,"fallS":1,"warmAfterS":15}}}}}}"#
    )
    .replace('\n', "")
}

fn members(gateway: u32) -> String {
    format!(
        r#"{{"what":"Members","gateway":{gateway},"scope":"restored","serial":1,"hosts":[{{"host":"10.0.0.1:80","failureDomain":"a","group":0,"availability":"ready","nominal":1}}]}}"#
    )
}

fn ask(gateway: u32) -> String {
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

#[test]
fn replies_to_batches_for_several_instances() {
    let odd = r#"{"what":"Weather","gateway":3,"sun":1}"#.to_string();
    let input = batch(0, &[])
        + &batch(1, &[start(3), members(3), start(5), members(5)])
        + &batch(2, &[ask(3), odd.clone(), ask(5), odd]);
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

#[test]
fn a_killed_instance_knows_nothing_of_before() {
    let off = r#"{"what":"PowerOff","gateway":3}"#.to_string();
    let input = batch(1, &[start(3), members(3)]) + &batch(2, &[off, start(3)]) + &batch(3, &[ask(3)]);
    let output = run(&input);
    assert!(output.status.success());
    assert!(lines(&output).iter().any(|l| l["what"] == "TurnAway"), "no list, no host");
}

#[test]
fn bad_lines_end_it_with_their_number() {
    for (input, line) in [
        ("not json\n".to_string(), "line 1"),
        (batch(1, &[ask(9)]), "line 2"),
        ("{\"what\":\"Sync\",\"simTimeS\":1,\"round\":1}\n".to_string(), "line 2"),
        (batch(1, &[start(3)]) + "{\"what\":\"OverToYou\"}\n", "line 4"),
        (batch(1, &[start(3), r#"{"what":"Ask","gateway":3,"budgetS":"soon"}"#.into()]), "line 3"),
    ] {
        let output = run(&input);
        assert!(!output.status.success(), "{input}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(line), "{input}");
    }
    assert!(run("").status.success());
}
