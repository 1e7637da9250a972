//! Adapter for the simulator: reads batches of events from standard input and writes the actions that they lead to
//! to standard output, with one [`Gateway`] for each simulated instance. All decisions are made by the [`Gateway`].

mod wire;

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::time::Duration;
use whinstall::{Action, Gateway};
use wire::{parse, reply, Input, Reply};

/// The instances of this process and the batch being read.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Gateway>,
    /// Time and round of the batch, while one is being read.
    batch: Option<(Duration, u64)>,
    /// Actions of the batch by instance, in the order of the events.
    actions: Vec<(u64, Vec<Action>)>,
    /// Unknown events that were reported.
    reported_unknown: BTreeSet<String>,
}

fn write_line<W: Write>(out: &mut W, line: &Reply) -> Result<(), String> {
    serde_json::to_writer(&mut *out, line).map_err(|e| e.to_string())?;
    out.write_all(b"\n").map_err(|e| e.to_string())
}

impl Adapter {
    /// Handles one line of input. The last line of a batch writes the replies.
    fn handle_line<W: Write>(&mut self, text: &str, out: &mut W) -> Result<(), String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let what =
            value.get("what").and_then(Value::as_str).ok_or("event without the field 'what'")?.to_owned();
        match (what.as_str(), self.batch) {
            ("Sync", None) => {
                let now = value.get("simTimeS").and_then(Value::as_f64);
                let now = now
                    .and_then(|s| Duration::try_from_secs_f64(s).ok())
                    .ok_or("Sync: 'simTimeS' is missing or not a time")?;
                let round = value
                    .get("round")
                    .and_then(Value::as_u64)
                    .ok_or("Sync: 'round' is missing or not an integer")?;
                self.batch = Some((now, round));
                Ok(())
            }
            ("Sync", Some(_)) => Err("Sync within an unfinished batch".into()),
            (_, None) => Err(format!("event '{what}' outside a batch")),
            ("OverToYou", Some((_, round))) => {
                for (gateway, actions) in self.actions.drain(..) {
                    for action in &actions {
                        write_line(out, &reply(gateway, action))?;
                    }
                }
                self.batch = None;
                write_line(out, &Reply::Eor { round })?;
                out.flush().map_err(|e| e.to_string())
            }
            (_, Some((now, _))) => self.handle_event(now, &what, value),
        }
    }

    fn handle_event(&mut self, now: Duration, what: &str, value: Value) -> Result<(), String> {
        let gateway = value.get("gateway").and_then(Value::as_u64);
        let gateway = gateway.ok_or_else(|| format!("{what}: 'gateway' is missing or not an integer"))?;
        let not_running = || format!("{what}: gateway {gateway} is not running");
        match parse(what, value)? {
            Input::Start(seed, settings) => {
                self.instances.insert(gateway, Gateway::new(*settings, seed));
            }
            Input::PowerOff => {
                // Actions that the instance decided on in this batch are discarded with it.
                self.instances.remove(&gateway).ok_or_else(not_running)?;
                self.actions.retain(|(id, _)| *id != gateway);
            }
            Input::Event(event) => {
                let instance = self.instances.get_mut(&gateway).ok_or_else(not_running)?;
                let mut actions = Vec::new();
                instance.handle(now, event, &mut actions);
                self.actions.push((gateway, actions));
            }
            Input::Unknown => {
                if self.reported_unknown.insert(what.to_owned()) {
                    eprintln!("whinstall-simhost: unknown event '{what}' skipped");
                }
            }
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut text = String::new();
    let mut number = 0u64;
    loop {
        text.clear();
        number += 1;
        let read = input.read_line(&mut text).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            return match adapter.batch {
                None => Ok(()),
                Some(_) => Err(format!("line {number}: input ended within an unfinished batch")),
            };
        }
        if !text.trim().is_empty() {
            adapter.handle_line(&text, &mut out).map_err(|e| format!("line {number}: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("whinstall-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
