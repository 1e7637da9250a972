//! Runs the decisions on the simulator's wire: batches on standard input, replies on standard output, one
//! [`Gateway`] for each instance. Decides nothing.

mod wire;

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::time::Duration;
use whinstall::{Action, Gateway};
use wire::{line, message, Line, Message};

/// The instances of this process and the batch being read.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Gateway>,
    batch: Option<(Duration, u64)>,
    actions: Vec<(u64, Vec<Action>)>,
    named: BTreeSet<String>,
}

fn put<W: Write>(out: &mut W, line: &Line) -> Result<(), String> {
    serde_json::to_writer(&mut *out, line).map_err(|e| e.to_string())?;
    out.write_all(b"\n").map_err(|e| e.to_string())
}

impl Adapter {
    /// Takes one line of input; a batch's last line writes its reply.
    fn take<W: Write>(&mut self, text: &str, out: &mut W) -> Result<(), String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let what = value.get("what").and_then(Value::as_str).ok_or("no 'what'")?.to_owned();
        match (what.as_str(), self.batch) {
            ("Sync", None) => {
                let now = value.get("simTimeS").and_then(Value::as_f64);
                let now = now.and_then(|s| Duration::try_from_secs_f64(s).ok()).ok_or("no clock")?;
                let round = value.get("round").and_then(Value::as_u64).ok_or("no round")?;
                self.batch = Some((now, round));
                Ok(())
            }
            ("Sync", Some(_)) => Err("a batch without its end".into()),
            (_, None) => Err("an event outside a batch".into()),
            ("OverToYou", Some((_, round))) => {
                for (gateway, actions) in self.actions.drain(..) {
                    for action in &actions {
                        put(out, &line(gateway, action))?;
                    }
                }
                self.batch = None;
                put(out, &Line::Eor { round })?;
                out.flush().map_err(|e| e.to_string())
            }
            (_, Some((now, _))) => self.event(now, &what, value),
        }
    }

    fn event(&mut self, now: Duration, what: &str, value: Value) -> Result<(), String> {
        let gateway = value.get("gateway").and_then(Value::as_u64).ok_or("no 'gateway'")?;
        match message(what, value)? {
            Message::Start(seed, settings) => {
                self.instances.insert(gateway, Gateway::new(*settings, seed));
            }
            Message::PowerOff => {
                // What a dead instance decided in this batch is void with it.
                self.instances.remove(&gateway).ok_or("an instance that never started")?;
                self.actions.retain(|(id, _)| *id != gateway);
            }
            Message::Event(event) => {
                let instance = self.instances.get_mut(&gateway).ok_or("an instance that never started")?;
                let mut actions = Vec::new();
                instance.handle(now, event, &mut actions);
                self.actions.push((gateway, actions));
            }
            Message::Unknown => {
                if self.named.insert(what.to_owned()) {
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
                Some(_) => Err(format!("line {number}: a batch without its end")),
            };
        }
        if !text.trim().is_empty() {
            adapter.take(&text, &mut out).map_err(|e| format!("line {number}: {e}"))?;
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
