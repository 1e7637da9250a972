//! The books of one count (a name at the counter, which is one customer's window): what of this gatekeeper's adds
//! the counter has surely taken, what it may have taken, the highest total that was ever proven, and what of that
//! the counter has since lost. It turns what the counter answers into a total that the decision module may go by,
//! and must never let one fall under what is known, count an add twice, or believe a total that cannot be.
//!
//! Units throughout are quota units; a total is exact to seven digits (PROTOCOL), so all comparisons have that much
//! slack.

use std::collections::VecDeque;

/// Totals are exact to seven digits; amounts are sums of such.
const EXACT: f64 = 1e-5;
/// A total under this part of the highest known one has fallen: settling gives back far less.
const FELL_PART: f64 = 0.5;
/// Gatekeepers take back what they asked for first and then refused, now and then from the next window's count: less
/// than this missing of a gatekeeper's own adds is no loss, in units.
const LEAST: f64 = 4.0;
/// No count of units is larger.
const LARGEST: f64 = 1e12;

/// What one answer proves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Proof {
    /// The total over all gatekeepers, with what the counter lost put back.
    Total(f64),
    /// The same, but the counter gave less than it must hold: it was replaced or flushed, or lied.
    Fallen(f64),
    /// Nothing: no total can be so.
    Spoilt,
}

/// One count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    /// Adds of this gatekeeper that this incarnation of the counter has answered.
    proven: f64,
    /// Adds of this gatekeeper that may have been taken: nobody knows, and they are never sent again.
    doubt: f64,
    /// The highest total proven, lost parts put back.
    high: f64,
    /// Known to be spent, and missing at the counter.
    deficit: f64,
    /// When the counter last lost something.
    fell_at: f64,
    /// Of the deficit, adds of this gatekeeper that are to be told again.
    retell: f64,
    /// The calls that are out, in the order they went: what was proven as each did, and what each tells again.
    out: VecDeque<(f64, f64)>,
    /// The last answer contradicted the books, and no other has yet confirmed or refuted it: what was added with
    /// it, and the deficit before it.
    doubted: Option<(f64, f64)>,
}

impl Line {
    /// A call is about to add `amount`; returns what it must add: with it goes what a replaced counter has to be
    /// told again.
    pub fn tell(&mut self, amount: f64) -> f64 {
        let again = std::mem::take(&mut self.retell);
        self.out.push_back((self.proven, again));
        amount + again
    }

    /// The call was never taken: all of it is still to be told.
    pub fn not_taken(&mut self) {
        self.retell += self.out.pop_front().map_or(0.0, |x| x.1);
    }

    /// The call may have been taken: it counts as spent here, and is never told again.
    pub fn in_doubt(&mut self, amount: f64) {
        self.doubt += amount + self.out.pop_front().map_or(0.0, |x| x.1);
    }

    /// The call that added `amount` was answered with `total` at `now`; others tell what was lost again within
    /// `span` seconds.
    pub fn answered(&mut self, now: f64, amount: f64, total: f64, span: f64) -> Proof {
        // Answers of calls that were out together may cross: each must hold what was proven before any of them.
        let (before, retold) = self.out.pop_front().unwrap_or((self.proven, 0.0));
        let before = before.min(self.proven);
        let told = amount + retold;
        if !total.is_finite() || total.abs() > LARGEST || total < -EXACT * (1.0 + self.high.abs()) {
            // It may have been added all the same.
            self.doubt += told;
            return Proof::Spoilt;
        }
        let slack = EXACT * (1.0 + self.high + told.abs());
        let (with, missing) = self.doubted.unwrap_or((0.0, self.deficit));
        let known = self.high - missing + amount;
        let own = before + with + told;
        let lacks_own = total + slack < FELL_PART * own && own - total >= LEAST;
        if !lacks_own && total + slack >= FELL_PART * known {
            // All is there. Where one answer had said otherwise, it was wrong and the books were right.
            self.proven += with + told;
            self.deficit = (missing - retold).max(0.0);
            self.doubted = None;
            // After a loss what was known and what was added here since is the least, whoever tells what again.
            let least = if self.deficit > 0.0 { self.high + amount } else { 0.0 };
            self.high = if self.deficit > 0.0 { least.max(total) } else { self.high.max(total) };
            return Proof::Total(least.max(total + self.remaining(now, span)));
        }
        // Less than it must hold. What was known stays spent, whatever this is. A second such answer on top of the
        // first confirms the new incarnation; until then nothing is told again.
        let whole = (self.high + amount).max(self.proven + with + told).max(total);
        if !lacks_own {
            // Only others' adds are missing: they may have taken back what they had asked for and been refused. What
            // was known counts for a while, and nothing is told again.
            self.proven += with + told;
            (self.deficit, self.fell_at, self.high, self.doubted) = (whole - total, now, whole, None);
            return Proof::Total(whole);
        }
        if self.doubted.take().is_some() {
            // Two in a row: a new incarnation, and maybe another one since the first of the two.
            let held = if total + slack >= with + told { with + told } else { told };
            self.retell += std::mem::replace(&mut self.proven, held) + (with + told - held);
        } else {
            self.doubted = Some((told, missing));
        }
        (self.deficit, self.fell_at, self.high) = (whole - total, now, whole);
        Proof::Fallen(whole)
    }

    /// A call that was given up was answered after all: its add of `amount` is proven, and `total` held then.
    pub fn late(&mut self, amount: f64, total: f64) -> Option<f64> {
        if !total.is_finite() || total.abs() > LARGEST || total + EXACT * (1.0 + amount.abs()) < amount {
            return None;
        }
        self.doubt = (self.doubt - amount).max(0.0);
        if total + EXACT * (1.0 + self.high) < self.proven + amount {
            return None; // an answer from before the counter was replaced, or from another half
        }
        self.proven += amount;
        self.high = self.high.max(total);
        Some(self.high)
    }

    /// What is known to be spent and is still missing at the counter. Other gatekeepers tell their part of it again
    /// within `span` seconds, and no answer tells theirs from new adds: it fades over that time, so that no
    /// customer pays for it twice.
    fn remaining(&self, now: f64, span: f64) -> f64 {
        let left = 1.0 - (now - self.fell_at) / span.max(1e-3);
        self.deficit * left.clamp(0.0, 1.0)
    }

    /// Adds of this gatekeeper that the counter has answered.
    pub fn proven(&self) -> f64 {
        self.proven
    }

    /// The same as the oldest call that is out went: its answer must hold them.
    pub fn before(&self) -> f64 {
        self.out.front().map_or(self.proven, |out| out.0.min(self.proven))
    }

    /// Units that surely or maybe were added by this gatekeeper.
    pub fn own(&self) -> f64 {
        self.proven + self.doubt + self.retell + self.out.iter().map(|x| x.1).sum::<f64>()
    }

    /// The highest total proven.
    pub fn high(&self) -> f64 {
        self.high
    }

    /// Did the last answer contradict the books, with no other yet to confirm or refute it?
    pub fn doubted(&self) -> bool {
        self.doubted.is_some()
    }

    /// Units still to be told again to a counter that lost them.
    pub fn to_retell(&self) -> f64 {
        self.retell
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
