//! Application-level flow control of one connection to an edge node: tracks the messages that are sent and not yet
//! acknowledged.
//!
//! In each ping the receiver reports how many messages it has received on the connection; both sides count from the
//! start of the connection. A connection that lags is sent nothing until it has caught up, so a slow reader can't fill
//! the sender's memory.

use crate::protocol::PeerMessage;
use std::collections::VecDeque;

/// Estimated encoded size of one configuration item.
const CONFIG_ITEM_BYTES: usize = 200;
/// Estimated encoded size of one worker.
const WORKER_BYTES: usize = 100;
/// Estimated encoded size of one edge node's address.
const EDGE_ADDRESS_BYTES: usize = 12;

/// A message in flight that counts towards the window.
#[derive(Clone, Debug)]
struct InFlightMessage {
    /// Position among the messages sent on the connection, from 1.
    number: u64,
    /// Estimated encoded size.
    bytes: usize,
    /// Whether the message carries full state; otherwise it carries a difference.
    is_full_state: bool,
}

/// The messages in flight on one connection.
#[derive(Clone, Debug, Default)]
pub struct InFlightWindow {
    /// Number of messages sent.
    sent: u64,
    /// Number of messages that the receiver reported as received.
    acknowledged: u64,
    /// Number of the last message that carried workers.
    last_workers_message: u64,
    /// Messages in flight in the order of sending, without those of negligible size.
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

    /// Handles the receiver's report that it has received this many messages since the start of the connection. A count
    /// above the number of sent messages acknowledges all of them.
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
