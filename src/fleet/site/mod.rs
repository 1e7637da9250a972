//! Planning for the loss of whole sites, ahead of time. [`settings`] holds what operators define of their sites,
//! [`plan`] computes from it where load goes when sites are lost. Pure: nothing here uses live nodes, a clock or a
//! socket.

pub mod plan;
pub mod settings;

pub use plan::{LossPlan, SiteLoss};
pub use settings::SiteSettings;

#[cfg(test)]
mod tests;
