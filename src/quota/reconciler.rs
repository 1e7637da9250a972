//! The ledger of one counter entry (one customer's window): reconciles the counter's answers with what this gatekeeper
//! added.
//!
//! It tracks which of this gatekeeper's adds the counter has surely taken, which it may have taken, the highest total
//! that was proven, and how much of that the counter has since lost. Invariants:
//!
//! - The reported total never falls below what is known to be spent, so a counter that restarts from zero does not
//!   open a second quota.
//! - No add counts twice: what may have been taken is never sent again, and lost adds are sent again once.
//! - One implausible answer changes nothing; only two in a row prove a new incarnation of the counter.
//!
//! Amounts are quota units. The counter's totals are exact to seven digits (PROTOCOL), so comparisons allow that much.

use std::collections::VecDeque;

/// Relative tolerance of comparisons: totals are exact to seven digits, and amounts are sums of such.
const TOLERANCE: f64 = 1e-5;
/// A total below this fraction of the highest known one has fallen. Settling estimates returns far less.
const FALLEN_FRACTION: f64 = 0.5;
/// Fewer missing units of this gatekeeper's adds are no loss: gatekeepers return what they reserved and then rejected,
/// now and then from the next window's entry.
const MIN_LOSS_UNITS: f64 = 4.0;
/// Upper bound of a plausible total.
const MAX_TOTAL: f64 = 1e12;
/// Lower bound of the time over which a deficit fades, in seconds: no division by zero.
const MIN_RESEND_SECS: f64 = 1e-3;

/// What one answer proves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Proof {
    /// The total over all gatekeepers, with what the counter lost added back.
    Total(f64),
    /// The same, but the counter answered less than it must hold: it was replaced, emptied, or the answer is wrong.
    Fallen(f64),
    /// Nothing: the total is implausible.
    Implausible,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CallInFlight {
    /// Units acknowledged as it was sent: its answer must hold them.
    acknowledged: f64,
    /// Lost units that it adds again.
    resent: f64,
}

/// An answer that contradicted the ledger, while no other has yet confirmed or refuted it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Contradiction {
    /// Units added by the calls so answered.
    added: f64,
    /// The deficit before it.
    earlier_deficit: f64,
}

/// The ledger of one counter entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reconciler {
    /// Adds of this gatekeeper that this incarnation of the counter has acknowledged.
    acknowledged: f64,
    /// Adds of this gatekeeper that may have been taken. They are never sent again.
    undetermined: f64,
    /// The highest total proven, with what was lost added back.
    highest_total: f64,
    /// Units known to be spent that the counter lacks.
    deficit: f64,
    /// When the counter last lost units.
    fell_at: f64,
    /// Of the deficit, adds of this gatekeeper that are to be sent again.
    to_resend: f64,
    /// Calls in flight, in the order in which they were sent.
    in_flight: VecDeque<CallInFlight>,
    contradiction: Option<Contradiction>,
}

impl Reconciler {
    /// Records a call about to add `amount`. Returns what it must add, which includes the units to be sent again.
    pub fn call_sent(&mut self, amount: f64) -> f64 {
        let resent = std::mem::take(&mut self.to_resend);
        self.in_flight.push_back(CallInFlight { acknowledged: self.acknowledged, resent });
        amount + resent
    }

    /// The oldest call in flight was never taken: all of it is still to be sent.
    pub fn call_not_taken(&mut self) {
        self.to_resend += self.finish_call().map_or(0.0, |call| call.resent);
    }

    /// The oldest call in flight, which added `amount`, may have been taken: it counts as spent and is never sent
    /// again.
    pub fn call_undetermined(&mut self, amount: f64) {
        self.undetermined += amount + self.finish_call().map_or(0.0, |call| call.resent);
    }

    /// The oldest call in flight, which added `amount`, was answered with `total` at `now`. Other gatekeepers send
    /// again what was lost within `resend_secs`.
    pub fn call_answered(&mut self, now: f64, amount: f64, total: f64, resend_secs: f64) -> Proof {
        // Answers to calls that were in flight together may cross: each must hold what was acknowledged before any.
        let call = self.finish_call();
        let call = call.unwrap_or(CallInFlight { acknowledged: self.acknowledged, resent: 0.0 });
        let acknowledged = call.acknowledged.min(self.acknowledged);
        let added = amount + call.resent;
        if !is_plausible(total) || total < -TOLERANCE * (1.0 + self.highest_total.abs()) {
            // It may have been added nonetheless.
            self.undetermined += added;
            return Proof::Implausible;
        }
        let slack = TOLERANCE * (1.0 + self.highest_total + added.abs());
        let Contradiction { added: contradicted, earlier_deficit } =
            self.contradiction.unwrap_or(Contradiction { added: 0.0, earlier_deficit: self.deficit });
        let known = self.highest_total - earlier_deficit + amount;
        let own = acknowledged + contradicted + added;
        let lacks_own = total + slack < FALLEN_FRACTION * own && own - total >= MIN_LOSS_UNITS;
        if !lacks_own && total + slack >= FALLEN_FRACTION * known {
            // Nothing is missing. An answer that contradicted this was wrong and the ledger was right.
            self.acknowledged += contradicted + added;
            self.deficit = (earlier_deficit - call.resent).max(0.0);
            self.contradiction = None;
            return Proof::Total(self.raise_total(now, amount, total, resend_secs));
        }
        // Less than it must hold. What was known stays spent, whatever the cause.
        let complete = (self.highest_total + amount).max(self.acknowledged + contradicted + added).max(total);
        if !lacks_own {
            // Only other gatekeepers' adds are missing: they may have returned what they reserved and then rejected.
            // What was known counts for a while, and nothing is sent again.
            self.acknowledged += contradicted + added;
            self.contradiction = None;
            self.record_loss(now, complete, total);
            return Proof::Total(complete);
        }
        if self.contradiction.take().is_some() {
            // Two in a row: a new incarnation, and possibly another one between the two answers.
            let held = if total + slack >= contradicted + added { contradicted + added } else { added };
            self.to_resend += std::mem::replace(&mut self.acknowledged, held) + (contradicted + added - held);
        } else {
            // Until a second such answer confirms it nothing is sent again.
            self.contradiction = Some(Contradiction { added, earlier_deficit });
        }
        self.record_loss(now, complete, total);
        Proof::Fallen(complete)
    }

    /// A call that was recorded as undetermined was answered after all: its add of `amount` is acknowledged. Returns
    /// the least that is spent; `None` where the total proves nothing.
    pub fn late_answer(&mut self, amount: f64, total: f64) -> Option<f64> {
        if !is_plausible(total) || total + TOLERANCE * (1.0 + amount.abs()) < amount {
            return None;
        }
        self.undetermined = (self.undetermined - amount).max(0.0);
        if total + TOLERANCE * (1.0 + self.highest_total) < self.acknowledged + amount {
            return None; // from before the counter was replaced, or from another view of a split counter
        }
        self.acknowledged += amount;
        self.highest_total = self.highest_total.max(total);
        Some(self.highest_total)
    }

    /// Adds of this gatekeeper that the counter has acknowledged.
    pub fn acknowledged(&self) -> f64 {
        self.acknowledged
    }

    /// The same as the oldest call in flight was sent: its answer must hold them.
    pub fn acknowledged_before_oldest_call(&self) -> f64 {
        self.in_flight.front().map_or(self.acknowledged, |call| call.acknowledged.min(self.acknowledged))
    }

    /// Units that this gatekeeper surely or possibly added.
    pub fn own(&self) -> f64 {
        let resent = self.in_flight.iter().map(|call| call.resent).sum::<f64>();
        self.acknowledged + self.undetermined + self.to_resend + resent
    }

    /// The highest total proven.
    pub fn highest_total(&self) -> f64 {
        self.highest_total
    }

    /// Whether the last answer contradicted the ledger, with no other yet to confirm or refute it.
    pub fn has_contradiction(&self) -> bool {
        self.contradiction.is_some()
    }

    /// Units to be sent again to a counter that lost them.
    pub fn to_resend(&self) -> f64 {
        self.to_resend
    }

    fn finish_call(&mut self) -> Option<CallInFlight> {
        self.in_flight.pop_front()
    }

    /// Raises the highest total by an answer that lacks nothing, and returns the total to go by. After a loss, what was
    /// known and what was added here since is a lower bound, whoever sends what again.
    fn raise_total(&mut self, now: f64, amount: f64, total: f64, resend_secs: f64) -> f64 {
        let least = if self.deficit > 0.0 { self.highest_total + amount } else { 0.0 };
        self.highest_total =
            if self.deficit > 0.0 { least.max(total) } else { self.highest_total.max(total) };
        least.max(total + self.remaining_deficit(now, resend_secs))
    }

    fn record_loss(&mut self, now: f64, complete: f64, total: f64) {
        (self.deficit, self.fell_at, self.highest_total) = (complete - total, now, complete);
    }

    /// The deficit that still counts. Other gatekeepers send their part of it again within `resend_secs`, and no
    /// answer tells these from new adds: so it fades over that time, and no customer pays for it twice.
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
