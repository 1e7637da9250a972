use super::*;
use whinstall::quota::PartitionReport;

fn line(time: &str, mode: &str, trust: f64) -> String {
    let part = PartitionReport {
        partition: 0,
        mode: mode.into(),
        secs_in_mode: 1.5,
        unverified_units: trust,
        unverified_units_ever: trust,
        implausible_answers: 2,
        late_answers: 0,
        resent_units: 0.0,
    };
    let report =
        CounterReport { partitions: vec![part], entries: 3, open_breakers: 1, counted_fraction: Some(0.5) };
    let json = serde_json::to_string(&report).expect("JSON");
    format!("{time}  WARN whinstall::net::report: counter in trouble report={json}")
}

#[test]
fn a_log_is_read_back() {
    let log = [
        "2026-12-01T20:00:00Z  INFO whinstall: serving".to_string(),
        line("2026-12-01T20:00:01Z", "lost", 4.0),
        line("2026-12-01T20:00:11Z", "lost", 9.0),
        line("2026-12-01T20:00:12Z", "rejoined", 9.5),
        "x WARN counter in trouble report={".to_string(),
    ];
    let said = of_log(&log.join("\n"));
    assert!(said.contains("2026-12-01T20:00:01Z part 0: in step -> lost"), "{said}");
    assert!(said.contains("2026-12-01T20:00:12Z part 0: lost -> rejoined"), "{said}");
    assert!(said.contains("9.5") && said.contains("50%") && said.contains("1 line(s)"), "{said}");
    assert_eq!(said.matches("->").count(), 2, "{said}");
    assert!(of_log("nothing").contains("in step all along"));
}

#[test]
fn replication_is_read_back() {
    let log = "T1  INFO whinstall::net::fleet: fleet: a member is there member=\"g1\" at=127.0.0.1:7001 there=1\n\
               T2  INFO whinstall::net::fleet: fleet: copies alive=1 suspected=0 rows=7 sum=\"00ff\" lag=\"g1:0.12/0\"\n\
               T3  WARN whinstall::net::fleet: fleet: a member is gone member=\"g1\" at=127.0.0.1:7001 there=0\n\
               T4  INFO whinstall::net::fleet: fleet: copies alive=0 suspected=1 fresh=\"0.50\" rows=9 oldest=\"g2\" oldest_s=\"4.50\" lag=\"g1:left,g2:4.50/3,g3:?/0\"";
    let said = of_log(log);
    assert!(said.contains("T1 a member is there") && said.contains("T3 a member is gone"), "{said}");
    let rows: Vec<Vec<&str>> = said.lines().map(|line| line.split_whitespace().collect()).collect();
    for row in [vec!["g1", "left"], vec!["g2", "4.50", "3"], vec!["g3", "?", "0"]] {
        assert!(rows.contains(&row), "{row:?} in {said}");
    }
    assert!(
        said.contains("as of T4") && said.contains(" 9  rows") && said.contains("4.50  seconds"),
        "{said}"
    );
    assert!(!of_log("nothing").contains("copies"));
    let log = "T5  INFO x: fleet: budgets supports=\"g0\" held=\"c1:0.30/412ms\" leads=true epoch=2 leads_ms=500 unknown_ms=0 given=\"c1:g0=0.30+g1=0.60+free=0.10+unknown=0.00\"";
    let said = of_log(log);
    assert!(
        said.contains("supports \"g0\"") && said.contains("0.30 of what is divided, for 412ms"),
        "{said}"
    );
    assert!(said.contains("reign 2") && said.contains("c1  g0=0.30  g1=0.60  free=0.10"), "{said}");
}
