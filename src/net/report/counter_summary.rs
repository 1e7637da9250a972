//! What a log says about the quota counter.

use super::time;
use std::fmt::Write;
use whinstall::quota::{CounterReport, Mode};

/// Text that the lines with a report have in common.
const LINE_TEXT: &str = "counter in ";
/// The field with the report as JSON, the last one on its line.
const REPORT_FIELD: &str = "report=";

/// The changes of partitions' modes, and the last report as a table.
pub(super) fn of_log(text: &str) -> String {
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
        write_changes(&mut out, time(line), &modes, &report);
        modes = report.partitions.iter().map(|p| p.mode.clone()).collect();
        last = Some(report);
    }
    if unreadable > 0 {
        let _ = writeln!(out, "{unreadable} line(s) could not be read");
    }
    match last {
        Some(last) => write_table(&mut out, &last),
        None => out.push_str("the counter has been in step all along\n"),
    }
    out
}

/// A line for each partition whose mode differs from the one before; before the first report all were healthy.
fn write_changes(out: &mut String, time: &str, modes: &[String], report: &CounterReport) {
    for (n, part) in report.partitions.iter().enumerate() {
        let was = modes.get(n).map_or(Mode::Healthy.name(), String::as_str);
        if was != part.mode {
            let _ = writeln!(out, "{time} part {}: {was} -> {}", part.partition, part.mode);
        }
    }
}

fn write_table(out: &mut String, report: &CounterReport) {
    let _ = writeln!(
        out,
        "{:>4}  {:<9} {:>7}  {:>12} {:>12} {:>8} {:>6} {:>8}",
        "part", "mode", "for s", "on trust now", "on trust all", "spoilt", "late", "retold"
    );
    for p in &report.partitions {
        let _ = writeln!(
            out,
            "{:>4}  {:<9} {:>7.1}  {:>12.1} {:>12.1} {:>8} {:>6} {:>8.1}",
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
    let held = report.counted_fraction.map_or("not told".to_string(), |h| format!("{:.0}%", 100.0 * h));
    let _ = writeln!(
        out,
        "{} counts kept, {} left alone; totals hold of the metered use: {held}",
        report.entries, report.open_breakers
    );
}
