//! Budgets of the whole fleet, divided by demand among its live gatekeepers.
//!
//! A leader grants shares of each budget as leases. [`allocator`] is the leader's side: which members support it, and
//! what it has granted. [`holder`] is the side of a member: the grants that it holds, and the allocator that it
//! supports. [`share`] computes how large a share each holder should have.
//!
//! Invariant: at any instant, the shares that all processes use of a budget sum to at most the whole budget, whatever
//! fails. Holders end a lease after its duration; the allocator counts it for that duration plus a margin for clock
//! drift. Of clocks only the rate is trusted.
//!
//! Pure: the time is passed in, in milliseconds of each process's own clock. Nothing here rejects a request; the
//! shares are handed to the decision module. See docs/budgets.md for the rules, and `tests/budget_check.rs` for the
//! model checker that explores all orders of events.

pub mod allocator;
pub mod holder;
pub mod share;

pub use allocator::Allocator;
pub use holder::Holder;

pub use super::replica::Origin;

use std::sync::Arc;

/// Milliseconds of one process's own clock.
pub type Ms = u64;

/// Parts per million of a budget.
pub type Ppm = u64;

/// The whole of a budget.
pub const TOTAL_PPM: Ppm = 1_000_000;

/// Identifies a budget: the ceiling of a customer, by the customer's name.
pub type BudgetName = Arc<str>;

/// Durations that all members of a fleet agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// Duration of a grant, and of support for a leader.
    pub lease_ms: Ms,
    /// Upper bound on the drift between two clocks during a lease.
    pub clock_margin_ms: Ms,
}

impl LeaseTimes {
    /// Duration of a lease for a process that must not consider it ended too early.
    pub fn lease_with_margin_ms(&self) -> Ms {
        self.lease_ms + self.clock_margin_ms
    }
}

/// A grant that its holder uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct HeldGrant {
    /// The budget that the share is of.
    pub budget: BudgetName,
    /// The allocator that made the grant.
    #[cfg_attr(feature = "adapter", serde(rename = "by"))]
    pub granted_by: Origin,
    /// Number of the grant, unique at its allocator.
    #[cfg_attr(feature = "adapter", serde(rename = "number"))]
    pub grant_number: u64,
    /// Granted share of the budget.
    #[cfg_attr(feature = "adapter", serde(rename = "part"))]
    pub share: Ppm,
}

/// Request of a member to the allocator that it takes for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct GrantRequest {
    /// The requesting member.
    pub from: Origin,
    /// The addressed allocator. Another incarnation of it does not answer the request.
    pub to: Origin,
    /// Number of the request, increasing with each request of the member.
    pub number: u64,
    /// If present, the sender supports the receiver as the leader and promises to support no other. The value is the
    /// stamp of the last response received from it.
    #[cfg_attr(feature = "adapter", serde(rename = "support"))]
    pub support_stamp: Option<u64>,
    /// The grants that the sender uses.
    pub held: Vec<HeldGrant>,
    /// Demand of the sender for each budget that it needs.
    #[cfg_attr(feature = "adapter", serde(rename = "wants"))]
    pub demands: Vec<(BudgetName, Ppm)>,
    /// The sender is shutting down and uses no grant any more.
    #[cfg_attr(feature = "adapter", serde(rename = "leaving"))]
    pub is_leaving: bool,
}

/// Response of an allocator to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct GrantResponse {
    /// The responding allocator.
    pub from: Origin,
    /// Number of the request.
    #[cfg_attr(feature = "adapter", serde(rename = "number"))]
    pub request_number: u64,
    /// Clock of the allocator, which the holder returns with its support.
    pub stamp: u64,
    /// Whether the allocator is the leader.
    #[cfg_attr(feature = "adapter", serde(rename = "leads"))]
    pub is_leader: bool,
    /// The grants: budget, grant number, share.
    #[cfg_attr(feature = "adapter", serde(rename = "parts"))]
    pub grants: Vec<(BudgetName, u64, Ppm)>,
}

#[cfg(test)]
mod tests;
