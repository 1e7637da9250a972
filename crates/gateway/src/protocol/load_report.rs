//! The load that an edge node has put on workers.

use serde::{Deserialize, Serialize};

/// Attempts in flight at one edge node, sent to the other edge nodes in a UDP datagram. It may be lost, duplicated or
/// reordered; a receiver uses it only to choose among workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the sender; a new one starts its sequence anew.
    pub incarnation: u64,
    /// Rises with each report of an incarnation.
    pub sequence: u64,
    /// Attempts in flight by worker (the low half of the hash of its id); none at workers that are not listed.
    pub in_flight: Vec<(u32, u16)>,
}
