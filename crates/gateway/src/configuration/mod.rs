//! The operator's configuration: routes, tenants, services and client limits, each a named item with its own version.
//!
//! [`parse_change`] parses an operator's request into a [`ConfigChange`], which becomes an entry of the replicated log.
//! [`ConfigState`] applies that entry at each core node. [`replica::ConfigReplica`] holds the active items at each edge
//! node, and [`ActiveConfig`] is the read-only view that the data plane serves requests with. This module does no I/O
//! and reads no clock.

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

/// The items of an operator's request, as [`parse_change`] returns them: one entry of the replicated log.
pub type ConfigChange = std::sync::Arc<Vec<ConfigItem>>;

#[cfg(test)]
mod content_hash_tests;
#[cfg(test)]
mod race_tests;
#[cfg(test)]
mod removal_tests;
#[cfg(test)]
mod state_measure;
#[cfg(test)]
mod state_tests;
#[cfg(test)]
mod tests;
