//! What a log says about replication among gatekeepers and divided ceilings.

use super::time;
use std::fmt::Write;

/// What precedes the message on each line about the fleet.
const LINE_PREFIX: &str = " fleet: ";
/// The start of the message with the state of replication.
const REPLICATION_MESSAGE: &str = "copies ";
/// The start of the message with the state of divided ceilings.
const CEILINGS_MESSAGE: &str = "budgets ";
/// The field with the lag of each member: `member:seconds/changes`, separated by commas.
const LAG_FIELD: &str = "lag";
/// The other fields of the state of replication, and what each means.
const REPLICATION_FIELDS: [(&str, &str); 15] = [
    ("alive", "others that are alive"),
    ("suspected", "others that do not answer and will be given up"),
    ("down", "others that are gone or have left"),
    ("answering", "others that answered when last asked"),
    ("fresh", "part of the others whose copies are fresh"),
    ("origins", "lives of gatekeepers of which something is held"),
    ("rows", "rows of what was spent"),
    ("sum", "their sum: the same where the same is held"),
    ("judged", "nodes of which others tell that they do badly"),
    ("taken", "rows that were new here"),
    ("known", "rows that were here already, or out of date"),
    ("refused", "rows or pieces turned down"),
    ("missing", "changes that somebody holds and that are not here yet"),
    ("oldest", "the living one whose copy lags most"),
    ("oldest_s", "seconds by which it lags"),
];

/// Events, the last state of replication and of divided ceilings; nothing where there is no replication.
pub(super) fn of_log(text: &str) -> String {
    let (mut out, mut replication, mut ceilings) = (String::new(), None, None);
    for line in text.lines() {
        let Some((before, message)) = line.split_once(LINE_PREFIX) else { continue };
        let time = time(before);
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

/// The pairs in a field of the form `name:value,name:value`.
fn pairs(value: &str) -> impl Iterator<Item = (&str, &str)> {
    value.split(',').filter_map(|pair| pair.split_once(':'))
}

fn write_replication(out: &mut String, time: &str, figures: &str) {
    let _ = writeln!(out, "copies among gatekeepers as of {time}:");
    for (name, value) in fields(figures) {
        if let Some((_, meaning)) = REPLICATION_FIELDS.iter().find(|field| field.0 == name) {
            let _ = writeln!(out, "{value:>16}  {meaning}");
        }
    }
    let lags = field(figures, LAG_FIELD);
    if !lags.is_empty() {
        let _ = writeln!(out, "{:>16}  {:>8}  {:>8}", "member", "behind s", "changes");
    }
    for (member, lag) in pairs(lags) {
        let (seconds, changes) = lag.split_once('/').unwrap_or((lag, ""));
        let _ = writeln!(out, "{member:>16}  {seconds:>8}  {changes:>8}");
    }
}

fn write_ceilings(out: &mut String, time: &str, figures: &str) {
    let supports = field(figures, "supports");
    let _ = writeln!(out, "ceilings that are divided, as of {time}: it supports {supports:?}, and holds");
    for (budget, part) in pairs(field(figures, "held")) {
        let (part, left) = part.split_once('/').unwrap_or((part, ""));
        let _ = writeln!(out, "{budget:>16}  {part} of what is divided, for {left} yet");
    }
    if field(figures, "leads") == "true" {
        let [epoch, left, unknown] = ["epoch", "leads_ms", "unknown_ms"].map(|name| field(figures, name));
        let _ = writeln!(
            out,
            "it divides, in its reign {epoch}, for {left} ms yet; nothing is unknown in {unknown} ms"
        );
        for (budget, parts) in pairs(field(figures, "given")) {
            let _ = writeln!(out, "{budget:>16}  {}", parts.replace('+', "  "));
        }
    }
}
