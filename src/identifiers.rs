//! Identifiers of requests, hosts, customers and counter entries, the outcome of an exchange, and the hash that all
//! gateways share.
//!
//! The lowest layer of the crate: it uses no other module. Hash and golden ratio are part of what gateways agree on
//! without messages (counter names, phases of windows), so neither may change between versions that run side by side.

use std::borrow::Borrow;
use std::sync::Arc;

/// The fractional part of the golden ratio. Multiples of it, modulo 1, are spread evenly over [0, 1) whatever their
/// number (Weyl sequence); used for phases and for jitter without a random number generator.
pub const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A request, unique at one gateway and never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// A host of the back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct HostId(pub Arc<str>);

impl Borrow<str> for HostId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// A customer. Its quota is shared by all gateways.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct CustomerId(pub Arc<str>);

impl Borrow<str> for CustomerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Name of an entry at the quota counter, usually one customer's window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub Arc<str>);

/// Outcome of an attempt, a health check or a call to the quota counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered.
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
    /// Never sent.
    NotSent,
}

impl Ending {
    /// Whether this outcome proves that the request never ran, so that even one that is not idempotent may be sent
    /// again.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// The 64-bit FNV-1a hash of the text's bytes: the same at every gateway and in every version.
pub fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
