//! An operator that sends a given list of changes: each at its time, or after the previous one is acknowledged.

use super::{CallOrigin, SimulationEvent, World};
use serde_json::Value;
use whinstall_gateway::configuration::{parse_change, ConfigItem};

/// When a change is first sent.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedStart {
    /// At this simulated time, in seconds.
    At(f64),
    /// This many seconds after the change before it in the list is acknowledged.
    AfterPrevious(f64),
}

/// A change of the scripted operator, and the responses to it.
#[derive(Clone, Debug)]
pub struct ScriptedChange {
    /// The items that it sets or removes.
    pub items: Vec<ConfigItem>,
    /// When it is first sent.
    pub start: ScriptedStart,
    /// Whether it is sent again until it gets a definite response.
    pub is_retried: bool,
    /// When it was first sent.
    pub sent_at: Option<f64>,
    /// When its operator first received a 200.
    pub acknowledged_at: Option<f64>,
}

impl ScriptedChange {
    /// A change that is sent again until it gets a definite response. Panics if the body can't be parsed.
    pub fn new(body: &Value, start: ScriptedStart) -> Self {
        ScriptedChange {
            items: parse_change(body.to_string().as_bytes()).expect("a readable call"),
            start,
            is_retried: true,
            sent_at: None,
            acknowledged_at: None,
        }
    }

    /// The same change, sent once at `at` simulated seconds.
    pub fn repeated_at(&self, at: f64) -> Self {
        ScriptedChange { start: ScriptedStart::At(at), is_retried: false, ..self.clone() }
    }
}

impl World {
    /// Schedules the changes that have a time.
    pub(crate) fn start_script(&mut self) {
        for index in 0..self.plan.script.len() {
            if let ScriptedStart::At(at) = self.plan.script[index].start {
                self.schedule_at(at, SimulationEvent::ScriptedChangeDue(index));
            }
        }
    }

    pub(crate) fn send_scripted_change(&mut self, index: usize) {
        self.plan.script[index].sent_at.get_or_insert(self.now);
        let core = self.rng.usize(0..64);
        self.call(core, CallOrigin::ScriptedChange(index));
    }

    pub(crate) fn scripted_change_returned(&mut self, index: usize, status: u16) {
        let now = self.now;
        if status != 200 {
            let text = format!("REFUSED {now:.3}: the valid scripted change {index} gets {status}");
            return self.auditor.violations.push(text);
        }
        let change = &mut self.plan.script[index];
        let is_first = change.acknowledged_at.is_none();
        change.acknowledged_at.get_or_insert(now);
        let next = self.plan.script.get(index + 1).map(|next| next.start);
        if let (true, Some(ScriptedStart::AfterPrevious(pause))) = (is_first, next) {
            self.schedule_after(pause, SimulationEvent::ScriptedChangeDue(index + 1));
        }
    }
}
