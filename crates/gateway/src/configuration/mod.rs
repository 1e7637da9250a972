//! The operator's configuration: routes, tenants, services and limits on clients, each a named item with a version of
//! its own.
//!
//! [`parse_change`] reads a request of an operator into a [`ConfigChange`], which becomes an entry of the replicated
//! log; [`ConfigState`] applies it at each core node; [`replica::ConfigReplica`] follows the active items at each edge
//! node, and [`ActiveConfig`] is the view that requests are served by. No I/O, no clock.

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
mod state_measure;
#[cfg(test)]
mod state_tests;
#[cfg(test)]
mod tests;
