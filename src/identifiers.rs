//! Identifiers of requests, hosts, customers and counter entries, the outcome of an exchange, and the hash that all
//! gateways share.
//!
//! This is the lowest layer of the crate and uses no other module. Gateways derive counter keys and window offsets from
//! the hash and the golden ratio without exchanging messages, so neither may change between versions that run side by
//! side.

use std::borrow::Borrow;
use std::sync::Arc;

/// The fractional part of the golden ratio. Multiples of it, modulo 1, are spread evenly over [0, 1) whatever their
/// number (Weyl sequence); used to spread gateways and timers without a random number generator.
pub const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Identifier of a request, unique at one gateway and never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Identifier of a host of the back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct HostId(pub Arc<str>);

impl Borrow<str> for HostId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Identifier of a customer, whose quota is shared by all gateways.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct CustomerId(pub Arc<str>);

impl Borrow<str> for CustomerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Key of an entry at the quota counter, usually of one customer's window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub Arc<str>);

/// Outcome of an attempt, a health check or a call to the quota counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A response arrived.
    Ok,
    /// The host answered with an error. The request may have run.
    Error,
    /// Rejected by the host before it ran: it is at capacity.
    Full,
    /// No answer before the timeout. The request may have run.
    Timeout,
    /// The connection could not be established. The request never ran.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// Cancelled by the gateway. The request may have run.
    Cancelled,
    /// Nothing was sent.
    NotSent,
}

impl Ending {
    /// Whether this outcome proves that the request never ran, so that even a request that is not idempotent may be
    /// sent again.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// The 64-bit FNV-1a hash of the text's bytes, identical at every gateway and in every version.
pub fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
