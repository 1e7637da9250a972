//! Reconciliation of one counter entry (one window of one customer): compares the counter's answers with what this
//! gatekeeper added.
//!
//! The [`Reconciler`] of an entry tracks which of this gatekeeper's adds the counter has acknowledged, which it may
//! have applied, the highest total that was proven, and how much of that the counter has since lost. Invariants:
//!
//! - The reported total never falls below what is known to be spent, so a counter that restarts from zero does not
//!   grant the quota a second time.
//! - No add counts twice: what may have been applied is never sent again, and lost adds are sent again once.
//! - One contradicting answer causes no resend; only two in a row prove a new incarnation of the counter.
//!
//! Amounts are quota units. The counter's totals are exact to seven digits (PROTOCOL), and comparisons allow for that.

use std::collections::VecDeque;

/// Relative tolerance of comparisons: totals are exact to seven digits, and amounts are sums of such numbers.
const TOLERANCE: f64 = 1e-5;
/// A total below this fraction of the highest known one has fallen. Gatekeepers that settle their estimates return far
/// fewer units than that.
const FALLEN_FRACTION: f64 = 0.5;
/// Missing units of this gatekeeper's adds from which on they count as lost. Gatekeepers return units that they
/// reserved and then rejected, now and then from the entry of the next window.
const MIN_LOSS_UNITS: f64 = 4.0;
/// Upper bound of a plausible total.
const MAX_TOTAL: f64 = 1e12;
/// Lower bound of the time over which a deficit fades, in seconds, so that nothing is divided by zero.
const MIN_RESEND_SECS: f64 = 1e-3;

/// Result of reconciling one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reconciliation {
    /// The total over all gatekeepers, with what the counter lost added back.
    Total(f64),
    /// The total over all gatekeepers, as for `Total`, but the counter answered less than it must hold: the counter was
    /// replaced or emptied, or the answer is wrong.
    Fallen(f64),
    /// Nothing: the total is implausible.
    Implausible,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CallInFlight {
    /// Units that were acknowledged as the call was sent. The answer must include them.
    acknowledged: f64,
    /// Lost units that the call adds again.
    resent: f64,
}

/// An answer that contradicted the known state, while no other has yet confirmed or refuted it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Contradiction {
    /// Units added by the calls that were so answered.
    added: f64,
    /// The deficit before that answer.
    earlier_deficit: f64,
}

/// Known state of one counter entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconciler {
    /// Adds of this gatekeeper that this incarnation of the counter has acknowledged.
    acknowledged: f64,
    /// Adds of this gatekeeper that may have been applied. They are never sent again.
    undetermined: f64,
    /// The highest total proven, with what was lost added back.
    highest_total: f64,
    /// Units known to be spent that the counter lacks.
    deficit: f64,
    /// When the counter last lost units.
    fell_at: f64,
    /// Lost adds of this gatekeeper that the next call sends again.
    to_resend: f64,
    /// Calls in flight, in the order in which they were sent.
    in_flight: VecDeque<CallInFlight>,
    /// The last answer, if it contradicted the known state.
    contradiction: Option<Contradiction>,
}

impl Reconciler {
    /// Records a call that is about to add `amount`. Returns the amount that the call must add, which includes the
    /// units to be sent again.
    pub fn call_sent(&mut self, amount: f64) -> f64 {
        let resent = std::mem::take(&mut self.to_resend);
        self.in_flight.push_back(CallInFlight { acknowledged: self.acknowledged, resent });
        amount + resent
    }

    /// Records that the counter did not apply the oldest call in flight: all of it is still to be sent.
    pub fn call_not_applied(&mut self) {
        self.to_resend += self.finish_call().map_or(0.0, |call| call.resent);
    }

    /// Records that the oldest call in flight, which added `amount`, may have been applied: it counts as spent and is
    /// never sent again.
    pub fn call_undetermined(&mut self, amount: f64) {
        self.undetermined += amount + self.finish_call().map_or(0.0, |call| call.resent);
    }

    /// Records that the oldest call in flight, which added `amount`, was answered with `total` at `now`. Other
    /// gatekeepers send lost units again within `resend_secs`.
    pub fn call_answered(&mut self, now: f64, amount: f64, total: f64, resend_secs: f64) -> Reconciliation {
        // Answers to calls that were in flight together may arrive in another order: each must include only what was
        // acknowledged before the first of them was sent.
        let call = self.finish_call();
        let call = call.unwrap_or(CallInFlight { acknowledged: self.acknowledged, resent: 0.0 });
        let acknowledged = call.acknowledged.min(self.acknowledged);
        let added = amount + call.resent;
        if !is_plausible(total) || total < -TOLERANCE * (1.0 + self.highest_total.abs()) {
            // The counter may have applied the call nonetheless.
            self.undetermined += added;
            return Reconciliation::Implausible;
        }
        let slack = TOLERANCE * (1.0 + self.highest_total + added.abs());
        let Contradiction { added: contradicted, earlier_deficit } =
            self.contradiction.unwrap_or(Contradiction { added: 0.0, earlier_deficit: self.deficit });
        let known = self.highest_total - earlier_deficit + amount;
        let own = acknowledged + contradicted + added;
        let is_own_missing = total + slack < FALLEN_FRACTION * own && own - total >= MIN_LOSS_UNITS;
        if !is_own_missing && total + slack >= FALLEN_FRACTION * known {
            // Nothing is missing, so an earlier answer that contradicted the known state was wrong.
            self.acknowledged += contradicted + added;
            self.deficit = (earlier_deficit - call.resent).max(0.0);
            self.contradiction = None;
            return Reconciliation::Total(self.raise_total(now, amount, total, resend_secs));
        }
        // The answer is less than the counter must hold. What was known stays spent, whatever the cause.
        let complete = (self.highest_total + amount).max(self.acknowledged + contradicted + added).max(total);
        if !is_own_missing {
            // Only other gatekeepers' adds are missing: they may have returned what they reserved and then rejected.
            // The difference counts as a fading deficit, and nothing is sent again.
            self.acknowledged += contradicted + added;
            self.contradiction = None;
            self.record_loss(now, complete, total);
            return Reconciliation::Total(complete);
        }
        if self.contradiction.take().is_some() {
            // A second contradiction in a row proves a new incarnation of the counter. There may have been yet another
            // one between the two answers: then the counter holds only what the last call added.
            let held = if total + slack >= contradicted + added { contradicted + added } else { added };
            self.to_resend += std::mem::replace(&mut self.acknowledged, held) + (contradicted + added - held);
        } else {
            // Until a second such answer confirms the loss, nothing is sent again.
            self.contradiction = Some(Contradiction { added, earlier_deficit });
        }
        self.record_loss(now, complete, total);
        Reconciliation::Fallen(complete)
    }

    /// Records that a call that was recorded as undetermined was answered after all: its add of `amount` is
    /// acknowledged. Returns a lower bound of what is spent; `None` where the total proves nothing.
    pub fn late_answer(&mut self, amount: f64, total: f64) -> Option<f64> {
        if !is_plausible(total) || total + TOLERANCE * (1.0 + amount.abs()) < amount {
            return None;
        }
        self.undetermined = (self.undetermined - amount).max(0.0);
        if total + TOLERANCE * (1.0 + self.highest_total) < self.acknowledged + amount {
            // The answer is from before the counter was replaced, or from another view of a split counter.
            return None;
        }
        self.acknowledged += amount;
        self.highest_total = self.highest_total.max(total);
        Some(self.highest_total)
    }

    /// Adds of this gatekeeper that the counter has acknowledged.
    pub fn acknowledged(&self) -> f64 {
        self.acknowledged
    }

    /// Adds of this gatekeeper that were acknowledged as the oldest call in flight was sent. The answer to that call
    /// must include them.
    pub fn acknowledged_before_oldest_call(&self) -> f64 {
        self.in_flight.front().map_or(self.acknowledged, |call| call.acknowledged.min(self.acknowledged))
    }

    /// Units of this gatekeeper that the counter has acknowledged, may have applied, or lost and gets again.
    pub fn own(&self) -> f64 {
        let resent = self.in_flight.iter().map(|call| call.resent).sum::<f64>();
        self.acknowledged + self.undetermined + self.to_resend + resent
    }

    /// The highest total proven.
    pub fn highest_total(&self) -> f64 {
        self.highest_total
    }

    /// Whether the last answer contradicted the known state, with no other yet to confirm or refute it.
    pub fn has_contradiction(&self) -> bool {
        self.contradiction.is_some()
    }

    /// Lost units that the next call sends again.
    pub fn to_resend(&self) -> f64 {
        self.to_resend
    }

    fn finish_call(&mut self) -> Option<CallInFlight> {
        self.in_flight.pop_front()
    }

    /// Raises the highest total by an answer that lacks nothing, and returns the total to use. After a loss, the known
    /// total plus what was added here since is a lower bound, whichever gatekeepers send their lost units again.
    fn raise_total(&mut self, now: f64, amount: f64, total: f64, resend_secs: f64) -> f64 {
        let least = if self.deficit > 0.0 { self.highest_total + amount } else { 0.0 };
        self.highest_total =
            if self.deficit > 0.0 { least.max(total) } else { self.highest_total.max(total) };
        least.max(total + self.remaining_deficit(now, resend_secs))
    }

    fn record_loss(&mut self, now: f64, complete: f64, total: f64) {
        (self.deficit, self.fell_at, self.highest_total) = (complete - total, now, complete);
    }

    /// The deficit that still counts. Other gatekeepers send their part of it again within `resend_secs`, and an answer
    /// does not distinguish these units from new adds. The deficit therefore fades over that time, so that no customer
    /// is charged twice.
    fn remaining_deficit(&self, now: f64, resend_secs: f64) -> f64 {
        let remaining = 1.0 - (now - self.fell_at) / resend_secs.max(MIN_RESEND_SECS);
        self.deficit * remaining.clamp(0.0, 1.0)
    }
}

fn is_plausible(total: f64) -> bool {
    total.is_finite() && total.abs() <= MAX_TOTAL
}

#[cfg(test)]
#[path = "reconciler_tests.rs"]
mod tests;
