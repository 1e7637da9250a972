//! Time limits of a request at this edge node and at its worker.

use super::drain::WORKER_HEAD_START_SECS;
use super::EdgeNode;
use crate::configuration::active_config::Route;

/// Time before the end of a request's time limit in which no more attempts are dispatched, in seconds. Attempts in flight
/// may use this time, as their workers may still respond.
pub(super) const DISPATCH_MARGIN_SECS: f64 = 0.008;

/// Time limits of a request, in seconds from now; negative once they have passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLimits {
    /// Time in which attempts may be dispatched.
    pub dispatch_secs: f64,
    /// Time in which the worker must respond.
    pub upstream_secs: f64,
}

impl EdgeNode {
    /// Returns the time limits of a request whose client waits for another `remaining_secs`: the minimum of that, of the
    /// route's timeout, and of the time that is left of a drain.
    pub fn time_limits(&self, now: f64, route: &Route, remaining_secs: f64) -> TimeLimits {
        let request_secs = route.timeout.map_or(remaining_secs, |t| remaining_secs.min(t.as_secs_f64()));
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
