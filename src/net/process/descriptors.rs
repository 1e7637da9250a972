//! How the process's descriptors are divided.

use crate::net::counter::MAX_CONNECTIONS as MAX_COUNTER_CONNECTIONS;

/// Minimum number of descriptors for a gatekeeper.
pub(super) const MIN_DESCRIPTORS: usize = 128;
/// Descriptors reserved for files, the poller and discovery, with a margin.
pub(super) const RESERVED_DESCRIPTORS: usize = 32;

/// Maximum number of connections, by kind of peer.
#[derive(Debug, PartialEq)]
pub(super) struct DescriptorBudget {
    pub(super) clients: usize,
    pub(super) counter: usize,
    pub(super) nodes: usize,
}

impl DescriptorBudget {
    /// Divides `descriptors`, of which there must be [`MIN_DESCRIPTORS`]. Clients are entitled to a third for
    /// requests; they get two fifths, for connections that send nothing.
    pub(super) fn new(descriptors: usize) -> Self {
        let clients = descriptors * 2 / 5;
        let counter = (descriptors / 16).min(MAX_COUNTER_CONNECTIONS);
        DescriptorBudget { clients, counter, nodes: descriptors - RESERVED_DESCRIPTORS - counter - clients }
    }
}
