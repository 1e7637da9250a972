//! Summary of replication among gatekeepers and of divided ceilings from a log.

use super::timestamp;
use std::fmt::Write;

/// Prefix of the message on each line about the fleet.
const LINE_PREFIX: &str = " fleet: ";
/// The start of the message with the state of replication.
const REPLICATION_MESSAGE: &str = "copies ";
/// The start of the message with the state of divided ceilings.
const CEILINGS_MESSAGE: &str = "budgets ";
/// The field with the lag of each member: `member:seconds/changes`, separated by commas.
const LAG_FIELD: &str = "lag";
/// The other fields of the state of replication, each with its meaning.
const REPLICATION_FIELDS: [(&str, &str); 15] = [
    ("alive", "other members that are alive"),
    ("suspected", "other members suspected: a probe was not answered, declared down unless they refute it"),
    ("down", "other members that were declared down or have left"),
    ("answering", "other members whose last exchange succeeded"),
    ("fresh", "fraction of the other gatekeepers whose replicas here are fresh"),
    ("origins", "origins (incarnations of gatekeepers) with replicated state"),
    ("rows", "usage rows"),
    ("sum", "checksum of the usage rows: equal on members that hold the same rows"),
    ("judged", "nodes whose health other members report"),
    ("taken", "received rows that were new"),
    ("known", "received rows that were held already, in this version or a later one"),
    ("refused", "received rows or deltas that were rejected"),
    ("missing", "changes that another member holds and this one does not"),
    ("oldest", "live member whose replica here lags most"),
    ("oldest_s", "seconds of that lag"),
];

/// Events, then the last state of replication and of divided ceilings; empty for a log without replication.
pub(super) fn summarize(text: &str) -> String {
    let (mut out, mut replication, mut ceilings) = (String::new(), None, None);
    for line in text.lines() {
        let Some((before, message)) = line.split_once(LINE_PREFIX) else { continue };
        let time = timestamp(before);
        if let Some(figures) = message.strip_prefix(REPLICATION_MESSAGE) {
            replication = Some((time, figures));
        } else if message.starts_with(CEILINGS_MESSAGE) {
            ceilings = Some((time, message));
        } else {
            let _ = writeln!(out, "{time} {message}");
        }
    }
    if let Some((time, figures)) = replication {
        write_replication(&mut out, time, figures);
    }
    if let Some((time, figures)) = ceilings {
        write_ceilings(&mut out, time, figures);
    }
    out
}

/// The fields of a log line, without their quotation marks.
fn fields(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name, value.trim_matches('"')))
}

/// The first field of this name, or nothing.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    fields(line).find(|field| field.0 == name).map_or("", |field| field.1)
}

/// The pairs of a field of the form `name:value,name:value`.
fn pairs(value: &str) -> impl Iterator<Item = (&str, &str)> {
    value.split(',').filter_map(|pair| pair.split_once(':'))
}

fn write_replication(out: &mut String, time: &str, figures: &str) {
    let _ = writeln!(out, "replication among gatekeepers as of {time}:");
    for (name, value) in fields(figures) {
        if let Some((_, meaning)) = REPLICATION_FIELDS.iter().find(|field| field.0 == name) {
            let _ = writeln!(out, "{value:>16}  {meaning}");
        }
    }
    let lags = field(figures, LAG_FIELD);
    if !lags.is_empty() {
        let _ = writeln!(out, "{:>16}  {:>8}  {:>8}", "member", "lag s", "missing");
    }
    for (member, lag) in pairs(lags) {
        let (seconds, missing) = lag.split_once('/').unwrap_or((lag, ""));
        let _ = writeln!(out, "{member:>16}  {seconds:>8}  {missing:>8}");
    }
}

fn write_ceilings(out: &mut String, time: &str, figures: &str) {
    let supports = field(figures, "supports");
    let _ =
        writeln!(out, "divided ceilings as of {time}: supports {supports:?} as leader, holds these shares:");
    for (budget, share) in pairs(field(figures, "held")) {
        let (share, left) = share.split_once('/').unwrap_or((share, ""));
        let _ = writeln!(out, "{budget:>16}  {share} of the divided part, lease ends in {left}");
    }
    if field(figures, "leads") == "true" {
        let [epoch, left, unknown] = ["epoch", "leads_ms", "unknown_ms"].map(|name| field(figures, name));
        let _ = writeln!(
            out,
            "leader in epoch {epoch}, for {left} ms more; leases of previous leaders end within {unknown} ms; shares granted:"
        );
        for (budget, shares) in pairs(field(figures, "given")) {
            let _ = writeln!(out, "{budget:>16}  {}", shares.replace('+', "  "));
        }
    }
}
