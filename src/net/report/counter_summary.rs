//! Summary of the quota counter from a log.

use super::timestamp;
use std::fmt::Write;
use whinstall::quota::{CounterReport, Mode};

/// Text that all lines with a report contain, in logs of every version.
const LINE_TEXT: &str = "counter in ";
/// The field with the report as JSON, the last one on its line.
const REPORT_FIELD: &str = "report=";

/// The changes of partitions' modes, and the last report as a table.
pub(super) fn summarize(text: &str) -> String {
    let mut out = String::new();
    let mut modes: Vec<String> = Vec::new();
    let mut last: Option<CounterReport> = None;
    let mut unreadable = 0;
    for line in text.lines().filter(|line| line.contains(LINE_TEXT)) {
        let Some((_, json)) = line.split_once(REPORT_FIELD) else { continue };
        let Ok(report) = serde_json::from_str::<CounterReport>(json) else {
            unreadable += 1;
            continue;
        };
        write_changes(&mut out, timestamp(line), &modes, &report);
        modes = report.partitions.iter().map(|p| p.mode.clone()).collect();
        last = Some(report);
    }
    if unreadable > 0 {
        let _ = writeln!(out, "{unreadable} counter line(s) skipped: no valid JSON in `{REPORT_FIELD}`");
    }
    match last {
        Some(last) => write_table(&mut out, &last),
        None => out.push_str("no fault of the quota counter was logged\n"),
    }
    out
}

/// A line for each partition whose mode differs from the one before; before the first report all were healthy.
fn write_changes(out: &mut String, time: &str, modes: &[String], report: &CounterReport) {
    for (n, part) in report.partitions.iter().enumerate() {
        let was = modes.get(n).map_or(Mode::Healthy.name(), String::as_str);
        if was != part.mode {
            let _ = writeln!(out, "{time} partition {}: {was} -> {}", part.partition, part.mode);
        }
    }
}

fn write_table(out: &mut String, report: &CounterReport) {
    let _ = writeln!(
        out,
        "{:>9}  {:<9} {:>7}  {:>14} {:>16} {:>11} {:>6} {:>8}",
        "partition", "mode", "for s", "unverified now", "unverified total", "implausible", "late", "resent"
    );
    for p in &report.partitions {
        let _ = writeln!(
            out,
            "{:>9}  {:<9} {:>7.1}  {:>14.1} {:>16.1} {:>11} {:>6} {:>8.1}",
            p.partition,
            p.mode,
            p.secs_in_mode,
            p.unverified_units,
            p.unverified_units_ever,
            p.implausible_answers,
            p.late_answers,
            p.resent_units
        );
    }
    let counted = report.counted_fraction.map_or("unknown, too little was metered".to_string(), |fraction| {
        format!("{:.0}%", 100.0 * fraction)
    });
    let _ = writeln!(
        out,
        "{} counter entries kept, {} of them with an open circuit breaker; metered use that totals hold: {counted}",
        report.entries, report.open_breakers
    );
}
