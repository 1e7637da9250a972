//! The ground floor: the names that requests, hosts, customers and counts go by, how an attempt can end, and the one
//! hash that every gateway computes alike. Everything else may use it, and it must use nothing else of this crate.

use std::sync::Arc;

/// The golden ratio's part beyond one: steps of it lie evenly around a ring, however many there are.
pub const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A request, as one gateway knows it; never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);
/// A host of the back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct HostId(pub Arc<str>);

impl std::borrow::Borrow<str> for HostId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for CustomerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// A customer, whose quota all gateways share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct CustomerId(pub Arc<str>);
/// A count kept by the counter service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountName(pub Arc<str>);

/// How an attempt, a probe or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// The host gave an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// Connection broken; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Ending {
    /// Does this ending prove that the attempt never ran?
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// FNV-1a: the same at every gateway, for count names and window phases.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
