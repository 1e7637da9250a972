//! What gatekeepers hold of each other's state, where the deployment lets them talk. [`membership`] owns who is there,
//! [`replica`] the copies and the one rule by which they become equal, [`token_bucket`] how much goes to one that lacks them,
//! [`budget`] what the whole fleet may spend and who how much of it,
//! [`wire`] the message between two of them, [`settings`] what operators say,
//! [`site`] what is to be done when a whole site is lost. Pure: time is passed in, no I/O. It must never decide what is refused: it
//! hands the decision module what others spent and saw.

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
