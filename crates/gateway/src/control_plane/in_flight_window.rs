//! Application-level flow control of one connection to an edge node: which messages are sent and not yet acknowledged.
//!
//! The receiver reports in each ping how many messages it has received on the connection; both sides count from its
//! start. A connection that lags is sent nothing more until it has caught up, so a slow reader cannot fill the sender's
//! memory.

use crate::protocol::PeerMessage;
use std::collections::VecDeque;

/// Estimated bytes of one configuration item on the wire.
const CONFIG_ITEM_BYTES: usize = 200;
/// Estimated bytes of one worker on the wire.
const WORKER_BYTES: usize = 100;
/// Estimated bytes of one edge node's address on the wire.
const EDGE_ADDRESS_BYTES: usize = 12;

/// A message in flight that counts towards the window.
#[derive(Clone, Debug)]
struct InFlightMessage {
    /// Its position among the messages sent on the connection, from 1.
    number: u64,
    /// Estimated size.
    bytes: usize,
    /// Whether it carries full state; otherwise a difference.
    is_full_state: bool,
}

/// The messages in flight on one connection.
#[derive(Clone, Debug, Default)]
pub struct InFlightWindow {
    /// Messages sent.
    sent: u64,
    /// Messages that the receiver reported as received.
    acknowledged: u64,
    /// Number of the last message that carried workers.
    last_workers_message: u64,
    /// In the order of sending; messages of negligible size are left out.
    in_flight: VecDeque<InFlightMessage>,
}

/// Estimated encoded size of a message, in bytes; 0 for messages that are always small.
pub fn estimated_bytes(msg: &PeerMessage) -> usize {
    match msg {
        PeerMessage::ConfigUpdate { items, .. } => CONFIG_ITEM_BYTES * items.len(),
        PeerMessage::WorkerUpdates(workers) | PeerMessage::WorkerSnapshot { workers, .. } => {
            WORKER_BYTES * workers.len()
        }
        PeerMessage::EdgeNodes { present, removed, .. } => {
            EDGE_ADDRESS_BYTES * (present.iter().map(|(_, ips)| ips.len()).sum::<usize>() + removed.len())
        }
        _ => 0,
    }
}

/// Whether a message carries a full configuration or the full list of workers.
fn is_full_state(msg: &PeerMessage) -> bool {
    matches!(msg, PeerMessage::ConfigUpdate { previous: None, .. } | PeerMessage::WorkerSnapshot { .. })
}

impl InFlightWindow {
    /// Counts a message that is sent.
    pub fn record_sent(&mut self, msg: &PeerMessage) {
        self.sent += 1;
        let (bytes, is_full_state) = (estimated_bytes(msg), is_full_state(msg));
        if bytes > 0 || is_full_state {
            self.in_flight.push_back(InFlightMessage { number: self.sent, bytes, is_full_state });
        }
        if matches!(msg, PeerMessage::WorkerUpdates(_) | PeerMessage::WorkerSnapshot { .. }) {
            self.last_workers_message = self.sent;
        }
    }

    /// The receiver has received this many messages since the connection started. A count beyond what was sent is taken
    /// for all.
    pub fn acknowledge(&mut self, received: u64) {
        self.acknowledged = received.min(self.sent);
        while self.in_flight.front().is_some_and(|m| m.number <= self.acknowledged) {
            self.in_flight.pop_front();
        }
    }

    /// Whether the receiver has every message that carried workers.
    pub fn are_workers_acknowledged(&self) -> bool {
        self.last_workers_message <= self.acknowledged
    }

    /// Estimated bytes in flight, of full state and of differences.
    pub fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|m| m.bytes).sum()
    }

    /// Whether another difference may be sent, with at most `limit_bytes` of differences in flight before it.
    pub fn has_room(&self, limit_bytes: usize) -> bool {
        self.in_flight.iter().filter(|m| !m.is_full_state).map(|m| m.bytes).sum::<usize>() < limit_bytes
    }

    /// Whether full state may be sent: none is in flight, and there is room for a difference.
    pub fn has_room_for_full_state(&self, limit_bytes: usize) -> bool {
        self.has_room(limit_bytes) && !self.in_flight.iter().any(|m| m.is_full_state)
    }
}
