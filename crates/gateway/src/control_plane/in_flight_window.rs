//! Owns how much was said on a connection that is not known to be heard. The other side tells how many messages it has
//! heard; each counts them from the connection's start. It must never let one that lags be filled further.

use crate::protocol::PeerMessage;
use std::collections::VecDeque;

/// What is on its way on one connection.
#[derive(Clone, Debug, Default)]
pub struct InFlightWindow {
    said: u64,
    heard: u64,
    /// The last message that told of workers.
    workers: u64,
    /// Messages of some size that may not be heard yet: number, bytes, is it a whole state?
    under_way: VecDeque<(u64, usize, bool)>,
}

/// About how many bytes a message takes, where it can be large.
pub fn weight(msg: &PeerMessage) -> usize {
    match msg {
        PeerMessage::ConfigUpdate { items, .. } => 200 * items.len(),
        PeerMessage::WorkerUpdates(workers) | PeerMessage::WorkerSnapshot { workers, .. } => {
            100 * workers.len()
        }
        PeerMessage::EdgeNodes { present: here, removed: gone, .. } => {
            12 * (here.iter().map(|z| z.1.len()).sum::<usize>() + gone.len())
        }
        _ => 0,
    }
}

/// Is this a whole state?
fn is_whole(msg: &PeerMessage) -> bool {
    matches!(msg, PeerMessage::ConfigUpdate { previous: None, .. } | PeerMessage::WorkerSnapshot { .. })
}

impl InFlightWindow {
    /// This is said.
    pub fn says(&mut self, msg: &PeerMessage) {
        self.said += 1;
        let (bytes, whole) = (weight(msg), is_whole(msg));
        if bytes > 0 || whole {
            self.under_way.push_back((self.said, bytes, whole));
        }
        if matches!(msg, PeerMessage::WorkerUpdates(_) | PeerMessage::WorkerSnapshot { .. }) {
            self.workers = self.said;
        }
    }

    /// So many were heard.
    pub fn hears(&mut self, heard: u64) {
        self.heard = heard.min(self.said);
        while self.under_way.front().is_some_and(|m| m.0 <= self.heard) {
            self.under_way.pop_front();
        }
    }

    /// Is all heard that told of workers?
    pub fn workers_heard(&self) -> bool {
        self.workers <= self.heard
    }

    /// Bytes under way, whole states and all.
    pub fn bytes(&self) -> usize {
        self.under_way.iter().map(|m| m.1).sum()
    }

    /// May differences be said, if so many bytes of them may be under way?
    pub fn has_room(&self, most: usize) -> bool {
        self.under_way.iter().filter(|m| !m.2).map(|m| m.1).sum::<usize>() < most
    }

    /// Is no whole state under way, and room for differences?
    pub fn takes_whole(&self, most: usize) -> bool {
        self.has_room(most) && !self.under_way.iter().any(|m| m.2)
    }
}
