//! Whether the counter's totals hold what all gatekeepers use, from the one other witness that a gatekeeper has:
//! the meter in nodes' answers. A counter that is split in two views, each with its own gatekeepers, answers every
//! call in time and with totals that never fall; they only miss the other half. It owns sums over customers and
//! must never judge one customer by them: the meter comes seconds late.
//!
//! Where gatekeepers hold copies of each other's books there is a better one: what the counter has answered to others
//! before a call went out, its answer must hold. One answer that does not is a proof, no sample.

/// The sums forget over so many seconds.
const MEMORY_S: f64 = 6.0;
/// Units metered, in the memory, from which they tell anything.
const ENOUGH: f64 = 25.0;
/// Totals that hold less than this part of what the meter tells are divided...
const ENTER: f64 = 0.78;
/// ...until they hold this part again.
const LEAVE: f64 = 0.9;

/// What should be held and what is, over a memory that fades, and whether too much of it is missing.
#[derive(Clone, Debug, Default, PartialEq)]
struct Sums {
    whole: f64,
    held: f64,
    at: f64,
    divided: bool,
}

impl Sums {
    /// One more comparison; returns what is left of the older ones.
    fn add(&mut self, now: f64, memory: f64, whole: f64, held: f64) -> f64 {
        let kept = ((self.at - now).min(0.0) / memory).exp();
        (self.whole, self.held) = (self.whole * kept + whole, self.held * kept + held);
        self.at = now;
        kept
    }

    /// Too much is missing where less than `enter` of the whole is held, until `leave` is again.
    fn judge(&mut self, enter: f64, leave: f64) {
        self.divided = self.held / self.whole < if self.divided { leave } else { enter };
    }
}

/// Totals against the meter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Witness {
    sums: Sums,
}

impl Witness {
    /// A window of a customer inside its quota is over: units that the meter tells of it, and units that the
    /// counter's last total held of it.
    pub fn window(&mut self, now: f64, metered: f64, counted: f64) -> bool {
        if metered.is_finite() && counted.is_finite() && metered > 0.0 {
            self.sums.add(now, MEMORY_S, metered, counted.clamp(0.0, 2.0 * metered));
        }
        if self.sums.whole >= ENOUGH {
            self.sums.judge(ENTER, LEAVE);
        }
        self.sums.divided
    }

    /// Did the totals miss too much when last compared?
    pub fn divided(&self) -> bool {
        self.sums.divided
    }

    /// Part of the metered use that the totals hold, where enough was metered.
    pub fn part(&self) -> Option<f64> {
        (self.sums.whole >= ENOUGH).then(|| self.sums.held / self.sums.whole)
    }
}

/// Answers are held against the copies over so many seconds.
const COPIES_MEMORY_S: f64 = 2.0;
/// Units that others were told, in the memory, from which they tell anything.
const COPIES_ENOUGH: f64 = 12.0;
/// With so many answers, the older ones counting less...
const ANSWERS: f64 = 1.7;
/// ...that hold less than this part of what the counter had answered to all, it is divided: gatekeepers take back
/// what they asked for first and then refused, and settle what was guessed, which is less...
const COPIES_ENTER: f64 = 0.8;
/// ...until they hold this part again, or nothing was to be held against anything for so long.
const COPIES_LEAVE: f64 = 0.9;
const QUIET_S: f64 = 12.0;

/// A part's totals against what copies of others' books say it was told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copied {
    sums: Sums,
    others: f64,
    answers: f64,
}

impl Copied {
    /// A call was answered: the counter held `total` without what that call added. As the call went out, it had
    /// answered `own` units of this gatekeeper and `others` of the other ones.
    pub fn answered(&mut self, now: f64, total: f64, (own, others): (f64, f64)) {
        let known = own + others;
        if !(total.is_finite() && known.is_finite()) || others <= 0.0 || known <= 0.0 {
            return;
        }
        let kept = self.sums.add(now, COPIES_MEMORY_S, known, total.clamp(0.0, known));
        self.others = self.others * kept + others;
        self.answers = self.answers * kept + 1.0;
        if self.others >= COPIES_ENOUGH && self.answers >= ANSWERS {
            self.sums.judge(COPIES_ENTER, COPIES_LEAVE);
        }
    }

    /// Do totals lack what others were told?
    pub fn divided(&self, now: f64) -> bool {
        self.sums.divided && now - self.sums.at <= QUIET_S
    }
}

#[cfg(test)]
#[path = "witness_tests.rs"]
mod tests;
