//! Whole sites: what is to be done when one is lost, known before. [`settings`] owns what operators say of them,
//! [`plan`] what follows from it. Pure. It must never look at a node, a clock or a socket.

pub mod plan;
pub mod settings;

pub use plan::{LossPlan, SiteLoss};
pub use settings::SiteSettings;

#[cfg(test)]
mod tests;
