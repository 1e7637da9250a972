//! The time that a request has, at this edge node and at a worker.

use super::drain::WORKER_HEAD_START_SECS;
use super::EdgeNode;
use crate::configuration::active_config::Route;

/// No attempt is dispatched so shortly before a request's time is up, in seconds. Attempts in flight may use this time,
/// as their workers may still respond.
pub(super) const DISPATCH_MARGIN_SECS: f64 = 0.008;

/// Time limits of a request, in seconds from now; they can be negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLimits {
    /// Until then attempts may be dispatched.
    pub dispatch_secs: f64,
    /// Until then its workers are to respond.
    pub upstream_secs: f64,
}

impl EdgeNode {
    /// Limits of a request whose client waits for another `remaining_secs`: the least of that, of the route's cutoff and
    /// of the time that a drain leaves.
    pub fn time_limits(&self, now: f64, route: &Route, remaining_secs: f64) -> TimeLimits {
        let request_secs = route.timeout.map_or(remaining_secs, |c| remaining_secs.min(c.as_secs_f64()));
        let dispatch_secs = request_secs - DISPATCH_MARGIN_SECS;
        match self.drain {
            None => TimeLimits { dispatch_secs, upstream_secs: request_secs },
            Some(drain) => TimeLimits {
                dispatch_secs: dispatch_secs.min(drain.ends_at - now),
                upstream_secs: request_secs.min(drain.ends_at - WORKER_HEAD_START_SECS - now),
            },
        }
    }
}
