//! Digest of the observable behaviour of a simulated day, independent of names in the program: counts of events, messages,
//! bytes and responses to calls, and a hash over their order. The digest draws no random number, so it changes no day.

use std::collections::BTreeMap;

/// Counts and hash of the behaviour observed so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Events that were processed.
    pub events: u64,
    /// Messages that processes sent over connections.
    pub messages: u64,
    /// The encoded bytes of those messages.
    pub bytes: u64,
    /// Responses of core nodes to calls of workers and operators, by status.
    pub replies: BTreeMap<u16, u64>,
    /// Times of events, times and lengths of messages, times, nodes and statuses of responses, in order (FNV-1a).
    pub hash: u64,
}

impl Default for Digest {
    fn default() -> Self {
        Digest { events: 0, messages: 0, bytes: 0, replies: BTreeMap::new(), hash: 0xcbf2_9ce4_8422_2325 }
    }
}

impl Digest {
    fn add(&mut self, numbers: [u64; 3]) {
        for byte in numbers.iter().flat_map(|n| n.to_le_bytes()) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds an event, processed at this microsecond.
    pub fn event(&mut self, at: u64) {
        self.events += 1;
        self.add([1, at, 0]);
    }

    /// Adds a sent message with its encoded length in bytes.
    pub fn message(&mut self, now: f64, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
        self.add([2, now.to_bits(), bytes as u64]);
    }

    /// Adds a response of a core node to a call.
    pub fn reply(&mut self, now: f64, core: usize, status: u16) {
        *self.replies.entry(status).or_default() += 1;
        self.add([3, now.to_bits(), (core as u64) << 16 | u64::from(status)]);
    }
}
