//! What gatekeepers hold of each other's state, where the deployment lets them talk. [`replica`] owns the copies and
//! the one rule by which they become equal, [`settings`]
//! what operators say. Pure: time is passed in, no I/O. It must never decide what is refused: it
//! hands the decision module what others spent and saw.

pub mod replica;
pub mod settings;

pub use settings::FleetSettings;

#[cfg(test)]
mod tests;
