//! Budgets of the whole fleet, divided by demand among the gatekeepers that are there. [`holder`] owns what one of them
//! holds and whom it supports, [`allocator`] what one that leads has given out, [`share`] how much each ought to have. What
//! must hold at any instant: the parts that all processes hold together never pass the whole, whatever fails. Pure: time
//! is passed in, whole milliseconds of each one's own clock, of which only the rate is trusted. It must never refuse a
//! session: it hands the decision module parts.
//!
//! See docs/budgets.md for the rules, and `tests/budget_check.rs` for the checker that plays all orders of events.

pub mod allocator;
pub mod holder;
pub mod share;

pub use allocator::Allocator;
pub use holder::Holder;

pub use super::replica::Origin;

use std::sync::Arc;

/// Milliseconds of one process's own clock.
pub type Ms = u64;

/// Millionths of a whole.
pub type Ppm = u64;

/// The whole that is divided, of any budget.
pub const TOTAL_PPM: Ppm = 1_000_000;

/// What is divided: a customer's ceiling, by the customer's name.
pub type BudgetName = Arc<str>;

/// LeaseTimes that all members of a fleet have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// A part, and support, are good for so long.
    pub lease_ms: Ms,
    /// Two clocks run apart by less than this in a term.
    pub clock_margin_ms: Ms,
}

impl LeaseTimes {
    /// A term as the one counts it who must not end it early.
    pub fn lease_with_margin_ms(&self) -> Ms {
        self.lease_ms + self.clock_margin_ms
    }
}

/// A part that its holder goes by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct HeldGrant {
    /// Of what.
    pub budget: BudgetName,
    /// Who gave it.
    #[cfg_attr(feature = "adapter", serde(rename = "by"))]
    pub granted_by: Origin,
    /// Its number with that one.
    #[cfg_attr(feature = "adapter", serde(rename = "number"))]
    pub grant_number: u64,
    /// How much.
    #[cfg_attr(feature = "adapter", serde(rename = "part"))]
    pub share: Ppm,
}

/// What a member sends to the one that it takes for the allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct GrantRequest {
    /// Who asks.
    pub from: Origin,
    /// Whom: another life of it is another.
    pub to: Origin,
    /// The number of its request, the next greater one each time.
    pub number: u64,
    /// It supports the receiver and promises to support no other: the receiver's stamp that it heard last.
    #[cfg_attr(feature = "adapter", serde(rename = "support"))]
    pub support_stamp: Option<u64>,
    /// The parts that it goes by.
    pub held: Vec<HeldGrant>,
    /// What it wants of each budget that it needs.
    #[cfg_attr(feature = "adapter", serde(rename = "wants"))]
    pub demands: Vec<(BudgetName, Ppm)>,
    /// It ends, and holds nothing any more.
    #[cfg_attr(feature = "adapter", serde(rename = "leaving"))]
    pub is_leaving: bool,
}

/// What comes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct GrantResponse {
    /// Who answers.
    pub from: Origin,
    /// To which request.
    #[cfg_attr(feature = "adapter", serde(rename = "number"))]
    pub request_number: u64,
    /// Its clock, to be repeated with support.
    pub stamp: u64,
    /// Does it lead?
    #[cfg_attr(feature = "adapter", serde(rename = "leads"))]
    pub is_leader: bool,
    /// The parts it gives, each with its number.
    #[cfg_attr(feature = "adapter", serde(rename = "parts"))]
    pub grants: Vec<(BudgetName, u64, Ppm)>,
}

#[cfg(test)]
mod tests;
