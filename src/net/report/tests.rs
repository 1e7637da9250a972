use super::*;
use whinstall::quota::PartitionReport;

fn line(time: &str, mode: &str, unverified: f64) -> String {
    let part = PartitionReport {
        partition: 0,
        mode: mode.into(),
        secs_in_mode: 1.5,
        unverified_units: unverified,
        unverified_units_ever: unverified,
        implausible_answers: 2,
        late_answers: 0,
        resent_units: 0.0,
    };
    let report =
        CounterReport { partitions: vec![part], entries: 3, open_breakers: 1, counted_fraction: Some(0.5) };
    let json = serde_json::to_string(&report).expect("JSON");
    format!("{time}  WARN whinstall::net::report: counter in degraded operation: at least one partition not healthy report={json}")
}

#[test]
fn counter_reports_of_this_and_older_versions_are_summarized() {
    let log = [
        "2026-12-01T20:00:00Z  INFO whinstall: serving".to_string(),
        line("2026-12-01T20:00:01Z", "lost", 4.0),
        line("2026-12-01T20:00:11Z", "lost", 9.0),
        line("2026-12-01T20:00:12Z", "rejoined", 9.5),
        // The message of older versions, truncated.
        "x WARN counter in trouble report={".to_string(),
    ];
    let summary = summarize(&log.join("\n"));
    assert!(summary.contains("2026-12-01T20:00:01Z partition 0: in step -> lost"), "{summary}");
    assert!(summary.contains("2026-12-01T20:00:12Z partition 0: lost -> rejoined"), "{summary}");
    assert!(
        summary.contains("9.5") && summary.contains("50%") && summary.contains("1 counter line(s) skipped"),
        "{summary}"
    );
    assert_eq!(summary.matches("->").count(), 2, "{summary}");
    assert!(summarize("nothing").contains("no fault of the quota counter"));
}

#[test]
fn replication_and_divided_ceilings_are_summarized() {
    let log = "T1  INFO whinstall::net::fleet: fleet: member joined member=\"g1\" address=127.0.0.1:7001 live_members=1\n\
               T2  INFO whinstall::net::fleet: fleet: copies alive=1 suspected=0 rows=7 sum=\"00ff\" lag=\"g1:0.12/0\"\n\
               T3  WARN whinstall::net::fleet: fleet: member down without a regular shutdown member=\"g1\" address=127.0.0.1:7001 live_members=0\n\
               T4  INFO whinstall::net::fleet: fleet: copies alive=0 suspected=1 fresh=\"0.50\" rows=9 oldest=\"g2\" oldest_s=\"4.50\" lag=\"g1:left,g2:4.50/3,g3:?/0\"";
    let summary = summarize(log);
    assert!(summary.contains("T1 member joined") && summary.contains("T3 member down"), "{summary}");
    let rows: Vec<Vec<&str>> = summary.lines().map(|line| line.split_whitespace().collect()).collect();
    for row in [vec!["g1", "left"], vec!["g2", "4.50", "3"], vec!["g3", "?", "0"]] {
        assert!(rows.contains(&row), "{row:?} in {summary}");
    }
    assert!(
        summary.contains("as of T4")
            && summary.contains(" 9  usage rows")
            && summary.contains("4.50  seconds"),
        "{summary}"
    );
    assert!(!summarize("nothing").contains("replication"));
    let log = "T5  INFO x: fleet: budgets supports=\"g0\" held=\"c1:0.30/412ms\" leads=true epoch=2 leads_ms=500 unknown_ms=0 given=\"c1:g0=0.30+g1=0.60+free=0.10+unknown=0.00\"";
    let summary = summarize(log);
    assert!(
        summary.contains("supports \"g0\"")
            && summary.contains("0.30 of the divided part, lease ends in 412ms"),
        "{summary}"
    );
    assert!(summary.contains("epoch 2") && summary.contains("c1  g0=0.30  g1=0.60  free=0.10"), "{summary}");
}
