//! Owns what a gatekeeper that was asked to end still owes: requests that are not answered yet. It must never decide on
//! one of them.

use super::Edge;

/// Requests without a final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unanswered {
    /// Of these no attempt is at a worker: they wait for the counter or for a worker.
    pub waiting: usize,
    /// Of these an attempt is at a worker.
    pub at_workers: usize,
    /// When the newest of all was read, in seconds of the clock that is passed in.
    pub newest: Option<f64>,
}

impl Edge {
    /// What is owed to clients.
    pub fn unanswered(&self) -> Unanswered {
        let mut owed = Unanswered::default();
        for request in self.requests.values().filter(|r| !r.progress.is_answered()) {
            match request.progress.is_at_worker() {
                true => owed.at_workers += 1,
                false => owed.waiting += 1,
            }
            owed.newest =
                Some(owed.newest.map_or(request.arrived, |newest: f64| newest.max(request.arrived)));
        }
        owed
    }
}
