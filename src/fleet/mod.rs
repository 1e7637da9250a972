//! State that the gatekeepers of a fleet share, where the deployment lets them talk to each other.
//!
//! - [`membership`]: which gatekeepers are members (SWIM).
//! - [`replica`]: replicated usage and node health, and the rule by which replicas converge.
//! - [`token_bucket`]: the limit on replicated rows sent to other members.
//! - [`budget`]: ceilings of the whole fleet, and which member may use how much of them.
//! - [`wire`]: the encoding of messages between two members.
//! - [`settings`]: the operators' settings.
//! - [`site`]: the plan for the loss of a whole site.
//!
//! Pure: the time is passed in, and there is no I/O. Nothing here rejects a request; the decision module receives
//! what other members admitted and observed.

pub mod budget;
#[cfg(feature = "gatekeeper")]
pub mod membership;
pub mod replica;
pub mod settings;
pub mod site;
pub mod token_bucket;
#[cfg(feature = "gatekeeper")]
pub mod wire;

pub use settings::FleetSettings;

#[cfg(test)]
mod tests;
