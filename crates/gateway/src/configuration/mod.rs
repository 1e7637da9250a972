//! The operator's configuration: named items with versions of their own, calls that change them, what makes a whole
//! configuration invalid, and what a gatekeeper serves by. Pure. It must never know a socket or a disk.

pub mod call;
pub mod content;
pub mod fields;
pub mod items;
pub mod replica;
pub mod state;
pub mod view;

pub use call::read_call;
pub use fields::Fields;
pub use items::{Item, Items, Kind};
pub use state::State;
pub use view::View;

/// An operator's call, as [`read_call`] gives it: one entry of the replicated log.
pub type Order = std::sync::Arc<Vec<Item>>;

#[cfg(test)]
mod content_tests;
#[cfg(test)]
mod race_tests;
#[cfg(test)]
mod state_measure;
#[cfg(test)]
mod state_tests;
#[cfg(test)]
mod tests;
