//! Timers: runs what is due and sets a timer for what is due next. Nothing here decides on a request.

use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use std::cmp::Reverse;

/// Resolution of timers, in seconds. A finer one would cost more timers than it is worth.
pub(super) const TICK_SECS: f64 = 0.01;
/// Interval at which idle customers are removed, in seconds.
const SWEEP_INTERVAL_SECS: f64 = 1.0;

impl Gateway {
    /// Runs what is due by now, in the order of due times, and sets a timer for what is due next.
    pub(super) fn run_timers(&mut self, actions: &mut Actions) {
        let now = micros(self.now);
        while self.customer_timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, id))) = self.customer_timers.pop() else { break };
            let Some(c) = self.customers.get_mut(&id).filter(|c| c.timer_us == Some(at)) else { continue };
            c.timer_us = None;
            self.roll_window(&id);
            self.send_due_syncs(&id, actions);
        }
        while self.hedge_timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = self.hedge_timers.pop() else { break };
            let request = self.requests.get_mut(&id).filter(|r| micros(r.hedge_at) <= now);
            let Some(request) = request else { continue };
            request.hedge_at = f64::INFINITY;
            if self.retry_tokens >= 1.0 && self.send_attempt(&id, actions) {
                self.retry_tokens -= 1.0;
            }
        }
        if self.now - self.swept_at > SWEEP_INTERVAL_SECS {
            self.remove_idle_customers();
        }
        let next = [self.customer_timers.peek().map(|x| x.0 .0), self.hedge_timers.peek().map(|x| x.0 .0)];
        if let Some(next) = next.into_iter().flatten().min() {
            let next = (next as f64 / 1e6).max(self.now + TICK_SECS);
            if next + TICK_SECS < self.timer_at {
                self.timer_at = next;
                actions.push(Action::SetTimer { after: duration(next - self.now), token: "tick".into() });
            }
        }
    }
}
