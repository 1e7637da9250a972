//! Tests of the example settings of sites and of the fleet, checked and planned by the program as an operator does.

use std::process::Command;

/// Runs the program. Returns whether it succeeded, and its output.
fn run(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_whinstall")).args(args).output().expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).expect("UTF-8"))
}

#[test]
fn the_example_sites_have_capacity_for_every_loss() {
    let (is_sufficient, output) = run(&["plan", "deploy/sites.cue"]);
    assert!(is_sufficient && output.contains("all 6 losses can be carried"), "{output}");
    assert!(output.contains("cluj and arad lost:") && !output.contains("MUST NOT BE"), "{output}");
    let (is_valid, output) = run(&["check", "deploy/sites.cue"]);
    assert!(is_valid && output.contains("3 site(s)"), "{output}");
    let (is_valid, output) = run(&["check", "deploy/fleet.cue"]);
    assert!(is_valid && output.contains("ceilings shared evenly"), "{output}");
}

/// With at least twice the load, shedding in the configured order cannot keep the load that must not be refused: the
/// program fails.
#[test]
fn a_loss_beyond_the_capacity_fails_the_plan() {
    let text = std::fs::read_to_string("deploy/sites.cue").expect("the example");
    let text = text
        .replace("load: 70", "load: 140")
        .replace("load: 50", "load: 100")
        .replace("load: 30", "load: 300");
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("sites-over.cue");
    std::fs::write(&path, text).expect("a file");
    let (is_sufficient, output) = run(&["plan", path.to_str().expect("UTF-8")]);
    assert!(!is_sufficient && output.contains("cabinet issue") && output.contains("MUST NOT BE"), "{output}");
    let (is_sufficient, output) = run(&["plan", "deploy/fleet.cue"]);
    assert!(!is_sufficient && output.contains("no `sites` record"), "{output}");
}
