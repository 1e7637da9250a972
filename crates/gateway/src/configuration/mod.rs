//! The operator's configuration: named items with versions of their own, calls that change them, what makes a whole
//! configuration invalid, and what a gatekeeper serves by. Pure. It must never know a socket or a disk.

pub mod active_config;
pub mod change;
pub mod content_hash;
pub mod fields;
pub mod item;
pub mod replica;
pub mod state;

pub use active_config::ActiveConfig;
pub use change::parse_change;
pub use fields::ItemFields;
pub use item::{ConfigItem, ItemKind, ItemSet};
pub use state::ConfigState;

/// An operator's call, as [`read_call`] gives it: one entry of the replicated log.
pub type ConfigChange = std::sync::Arc<Vec<ConfigItem>>;

#[cfg(test)]
mod content_hash_tests;
#[cfg(test)]
mod race_tests;
#[cfg(test)]
mod state_measure;
#[cfg(test)]
mod state_tests;
#[cfg(test)]
mod tests;
