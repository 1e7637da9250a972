//! What is due by now, and a timer for what is due next. It must never decide on a request.
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use std::cmp::Reverse;

pub(super) const TICK: f64 = 0.01; // what is due is done in steps of this: timers cost, too
const SWEEP_S: f64 = 1.0; // the idle are looked for this often

impl Gateway {
    /// Upkeep: what is due by now, the longest due first, and a timer for what is due next.
    pub(super) fn upkeep(&mut self, actions: &mut Actions) {
        let now = micros(self.now);
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, id))) = self.due.pop() else { break };
            let Some(c) = self.customers.get_mut(&id).filter(|c| c.queued == Some(at)) else { continue };
            c.queued = None;
            self.turn(&id);
            self.flush_syncs(&id, actions);
        }
        while self.copies.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = self.copies.pop() else { break };
            let Some(r) = self.requests.get_mut(&id).filter(|r| micros(r.copy_at) <= now) else { continue };
            r.copy_at = f64::INFINITY;
            if self.retries >= 1.0 && self.send(&id, actions) {
                self.retries -= 1.0;
            }
        }
        if self.now - self.swept_at > SWEEP_S {
            self.sweep();
        }
        let next = [self.due.peek().map(|x| x.0 .0), self.copies.peek().map(|x| x.0 .0)];
        if let Some(next) = next.into_iter().flatten().min() {
            let next = (next as f64 / 1e6).max(self.now + TICK);
            if next + TICK < self.timer_at {
                self.timer_at = next;
                actions.push(Action::SetTimer { after: span(next - self.now), token: "tick".into() });
            }
        }
    }
}
