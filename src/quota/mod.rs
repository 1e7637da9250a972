//! The counter's guard: what of the counter's answers the decision module may go by, and when it may be called,
//! while the counter is lost, late, split or replaced. It owns the books of each count ([`ledger`]), a breaker for
//! each ([`breaker`]), the mode of each part of the counter ([`mode`]), the comparison with the meter ([`witness`])
//! and the estimates where no total tells ([`share`]). Pure: time and random draws are passed in, no I/O. It must never refuse a session or charge a
//! customer: it hands the module totals, or none, and the module decides.

pub mod bound;
pub mod breaker;
pub mod ledger;
pub mod mode;
pub mod settings;
pub mod share;
pub mod witness;

pub use mode::Mode;
pub use settings::QuotaSettings;

use crate::identifiers::{fnv1a, CountName, CustomerId, Ending, GOLDEN_RATIO_FRACTION};
use breaker::Breaker;
use ledger::{Line, Proof};
use mode::{Came, Evidence};
use std::collections::{BTreeMap, VecDeque};
use witness::Witness;

/// One count's books.
#[derive(Clone, Debug)]
struct Count {
    customer: CustomerId,
    window: i64,
    line: Line,
    breaker: Breaker,
    /// When it was last called or answered, and when last answered.
    at: f64,
    told_at: f64,
    /// Forgotten after this.
    until: f64,
    /// What the last call added, while it is given up and no other was made since.
    given_up: Option<f64>,
    /// Adds of other gatekeepers that the counter has answered, by copies of their books; and the same as each call
    /// that is out went.
    told_elsewhere: f64,
    out: VecDeque<f64>,
}

/// One part of the counter.
#[derive(Clone, Debug, Default)]
struct Part {
    evidence: Evidence,
    /// Units admitted with no total to go by since the mode last left `in step`, and their sum in all troubles.
    on_trust: f64,
    on_trust_ever: f64,
    /// Answers that could not be, and answers used late.
    spoilt: u64,
    late: u64,
    /// Units told again to a counter that had lost them.
    retold: f64,
    /// Its totals against what copies tell.
    copied: witness::Copied,
}

/// What the module hears of a call's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The total to go by.
    Total(f64),
    /// It was added, but its total is none to go by.
    Withheld,
    /// It may have been added: never tell it again.
    Doubt,
    /// It was not added: tell it again.
    NotAdded,
}

/// A part of the counter as a report shows it.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct PartReport {
    /// Its number.
    pub part: u32,
    /// Its mode, as [`Mode::name`].
    pub mode: String,
    /// Seconds in it.
    pub for_s: f64,
    /// Units that this gatekeeper admitted with no total to go by since the trouble began: what may be in error.
    pub on_trust: f64,
    /// The same over all troubles since it started.
    pub on_trust_ever: f64,
    /// Answers that no counter can have meant.
    pub spoilt: u64,
    /// Answers used after they were given up.
    pub late: u64,
    /// Units told again to a counter that had lost them.
    pub retold: f64,
}

/// The whole counter as a report shows it.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Report {
    /// Its parts.
    pub parts: Vec<PartReport>,
    /// Counts whose books are kept.
    pub counts: usize,
    /// Counts that are not called for a while.
    pub open: usize,
    /// Part of the metered use that totals hold, where enough was metered.
    pub held: Option<f64>,
}

/// The guard of one gatekeeper.
#[derive(Clone, Debug)]
pub struct Guard {
    s: QuotaSettings,
    counts: BTreeMap<CountName, Count>,
    parts: Vec<Part>,
    witness: Witness,
    swept_at: f64,
    /// Time of answers as a part of the wait, smoothed, and when the last came.
    prompt: (f64, f64),
    /// Steps through (0, 1) for breakers' waits: even, and different at each gatekeeper by its start.
    unit: f64,
}

/// Answers within this part of the wait on the mean are prompt...
const PROMPT_PART: f64 = 0.25;
/// ...and tell for so long, in seconds.
const PROMPT_S: f64 = 0.5;
/// Weight of the newest answer in that mean.
const PROMPT_ALPHA: f64 = 0.1;
/// Old books are looked for this often, in seconds.
const SWEEP_S: f64 = 1.0;

impl Guard {
    /// A guard by these settings; `unit` in [0, 1) is this gatekeeper's own, for its jitter.
    pub fn new(s: QuotaSettings, unit: f64) -> Self {
        let parts = vec![Part::default(); s.parts.max(1) as usize];
        let (counts, witness) = (BTreeMap::new(), Witness::default());
        Guard {
            s,
            counts,
            parts,
            witness,
            swept_at: f64::NEG_INFINITY,
            prompt: (1.0, f64::NEG_INFINITY),
            unit: unit.fract().abs(),
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &QuotaSettings {
        &self.s
    }

    /// A name's key in its part's evidence, and that part.
    fn place(&self, name: &CountName) -> (u64, usize) {
        let key = fnv1a(&name.0);
        (key, (key % self.parts.len() as u64) as usize)
    }

    fn part_of(&self, name: &CountName) -> usize {
        self.place(name).1
    }

    /// When a call for this count may go out: a time that has passed means now.
    pub fn opens_at(&self, name: &CountName) -> f64 {
        match self.counts.get(name).filter(|_| self.s.guard) {
            Some(c) => c.breaker.next(&self.s.breaker),
            None => f64::NEG_INFINITY,
        }
    }

    /// A call goes out that adds `amount` to a customer's window; the count lives for `keep` seconds. Returns what
    /// the call must add: with it goes what a replaced counter is told again.
    pub fn sent(
        &mut self,
        now: f64,
        name: &CountName,
        of: (&CustomerId, i64),
        amount: f64,
        keep: f64,
    ) -> f64 {
        if !self.s.guard {
            return amount;
        }
        self.sweep(now);
        let s = self.s.breaker;
        let part = self.part_of(name);
        let count = self.counts.entry(name.clone()).or_insert_with(|| Count {
            customer: of.0.clone(),
            window: of.1,
            line: Line::default(),
            breaker: Breaker::default(),
            at: now,
            told_at: f64::NEG_INFINITY,
            until: now + keep,
            given_up: None,
            told_elsewhere: 0.0,
            out: VecDeque::new(),
        });
        count.out.push_back(count.told_elsewhere);
        count.breaker.sent(&s);
        (count.at, count.until, count.given_up) = (now, now + keep, None);
        let told = count.line.tell(amount);
        self.parts[part].retold += told - amount;
        told
    }

    /// The call that added `amount` (as the module knows it) ended so, after `took` as a part of the wait.
    pub fn ended(
        &mut self,
        now: f64,
        name: &CountName,
        amount: f64,
        (ending, total): (Ending, f64),
        took: f64,
    ) -> Verdict {
        let plain = match ending {
            Ending::Ok if total.is_finite() => Verdict::Total(total.max(0.0)),
            _ if ending.never_ran() => Verdict::NotAdded,
            _ => Verdict::Doubt,
        };
        let (key, part) = self.place(name);
        let (s, mode) = (self.s.breaker, self.s.mode);
        let Some(count) = self.counts.get_mut(name).filter(|_| self.s.guard) else { return plain };
        count.at = now;
        let held = (count.line.before(), count.out.pop_front().unwrap_or(0.0));
        if ending == Ending::Ok {
            count.told_at = now;
            let part = if took.is_finite() { took.clamp(0.0, 1.0) } else { 1.0 };
            self.prompt = (self.prompt.0 + PROMPT_ALPHA * (part - self.prompt.0), now);
        }
        let (came, verdict) = match ending {
            Ending::Ok => match count.line.answered(now, amount, total, self.s.retell) {
                Proof::Total(total) => (Came::InTime, Verdict::Total(total)),
                Proof::Fallen(total) if count.line.doubted() => (Came::InTime, Verdict::Total(total)),
                Proof::Fallen(total) => (Came::Fallen, Verdict::Total(total)),
                Proof::Spoilt => {
                    self.parts[part].spoilt += 1;
                    (Came::InTime, Verdict::Doubt)
                }
            },
            _ if ending.never_ran() => {
                count.line.not_taken();
                (Came::Not, Verdict::NotAdded)
            }
            // A broken call says nothing of whether the counter takes others.
            Ending::Reset => {
                count.line.in_doubt(amount);
                return Verdict::Doubt;
            }
            _ => {
                count.line.in_doubt(amount);
                count.given_up = Some(amount);
                (Came::Not, Verdict::Doubt)
            }
        };
        if came == Came::Not {
            self.unit = (self.unit + GOLDEN_RATIO_FRACTION).fract();
            count.breaker.failed(now, self.unit, &s);
        } else {
            count.breaker.succeeded();
        }
        if came == Came::InTime && verdict != Verdict::Doubt {
            let part = &mut self.parts[part];
            part.copied.answered(now, total - amount, held);
            let divided = self.witness.divided() || part.copied.divided(now);
            if divided != part.evidence.divided() {
                part.evidence.compared(now, divided, &mode);
            }
        }
        self.parts[part].evidence.came(now, key, came, &mode);
        // Totals that miss what others use are none to go by: each half would grant the whole quota.
        match verdict {
            Verdict::Total(_) if self.parts[part].evidence.divided() => Verdict::Withheld,
            verdict => verdict,
        }
    }

    /// A call that was given up was answered with `total` all the same: whose window it tells of, and the least
    /// that is spent in it.
    pub fn late(&mut self, now: f64, name: &CountName, total: f64) -> Option<(CustomerId, i64, f64)> {
        let ((key, part), mode) = (self.place(name), self.s.mode);
        let count = self.counts.get_mut(name).filter(|_| self.s.guard)?;
        self.parts[part].evidence.came(now, key, Came::Late, &mode);
        // Once the next call of a count is out, nobody knows any more which of the two an answer holds.
        let amount = count.given_up.take()?;
        let total = count.line.late(amount, total)?;
        self.parts[part].late += 1;
        count.breaker.succeeded();
        let divided = self.parts[part].evidence.divided();
        Some((count.customer.clone(), count.window, total)).filter(|_| !divided)
    }

    /// Is another call of this count wanted soon: to confirm a loss, or to tell again what was lost?
    pub fn asks(&self, name: &CountName) -> bool {
        self.counts.get(name).is_some_and(|c| c.line.doubted() || c.line.to_retell() > 0.0)
    }

    /// Units were admitted for a count; `known`: by a total to go by. The count is named only while there is trouble.
    pub fn admitted(&mut self, name: impl FnOnce() -> CountName, units: f64, known: bool) {
        if known || units <= 0.0 || !self.troubled() {
            return;
        }
        let part = self.part_of(&name());
        let part = &mut self.parts[part];
        if part.evidence.mode().0 != Mode::InStep {
            part.on_trust += units;
            part.on_trust_ever += units;
        }
    }

    /// The window of a count, of `length` seconds from `start` on, is over; the meter tells of so many units a second
    /// in it (`None` where it is not believed, or the customer was beyond its quota, where not all of its use is
    /// charged). A total from its first half tells too little.
    pub fn window_over(
        &mut self,
        now: f64,
        name: impl FnOnce() -> CountName,
        (start, length): (f64, f64),
        metered: Option<f64>,
    ) {
        let Some(metered) = metered.filter(|_| self.s.guard && self.s.witness) else { return };
        let Some(count) = self.counts.get(&name()) else { return };
        let told_for = count.told_at - start;
        if told_for <= 0.5 * length || told_for > length {
            return;
        }
        let divided = self.witness.window(now, metered * told_for, count.line.high());
        let mode = self.s.mode;
        // The meter speaks of customers, whose windows lie on all parts in turn.
        for part in &mut self.parts {
            let divided = divided || part.copied.divided(now);
            part.evidence.compared(now, divided, &mode);
        }
    }

    /// Copies of other gatekeepers' books tell that the counter has answered so many units of a count to them: an
    /// answer to a call that goes out from now on must hold these.
    pub fn told_elsewhere(&mut self, name: &CountName, units: f64) {
        if let Some(count) = self.counts.get_mut(name).filter(|_| self.s.guard) {
            count.told_elsewhere = units;
        }
    }

    /// Units of this gatekeeper that the counter has answered of a count.
    pub fn proven(&self, name: &CountName) -> f64 {
        self.counts.get(name).map_or(0.0, |count| count.line.proven())
    }

    /// Is the counter answering others at once, so that a call that it leaves unanswered tells nothing of how many
    /// it bears? A crowded counter keeps all waiting; one of which a part is gone, or some names, does not.
    pub fn uncrowded(&self, now: f64) -> bool {
        self.s.guard && now - self.prompt.1 <= PROMPT_S && self.prompt.0 < PROMPT_PART
    }

    /// Is any part in trouble? Asked first, as it costs nothing.
    pub fn troubled(&self) -> bool {
        self.parts.iter().any(|p| p.evidence.mode().0 != Mode::InStep)
    }

    /// Is the part of this count in a trouble in which no total is to be had, or none to go by?
    pub fn on_trust(&self, name: &CountName) -> bool {
        let mode = self.parts[self.part_of(name)].evidence.mode().0;
        self.s.guard && matches!(mode, Mode::Lost | Mode::Late | Mode::Split)
    }

    /// Modes move on with time, too; old books are forgotten, the longest unused first where there are too many.
    fn sweep(&mut self, now: f64) {
        let mode = self.s.mode;
        if now - self.swept_at < SWEEP_S && self.counts.len() < self.s.counts_most {
            return;
        }
        self.swept_at = now;
        for part in &mut self.parts {
            part.evidence.step(now, &mode);
            if part.evidence.mode().0 == Mode::InStep {
                part.on_trust = 0.0;
            }
        }
        self.counts.retain(|_, c| now < c.until);
        if self.counts.len() >= self.s.counts_most {
            let mut times: Vec<f64> = self.counts.values().map(|c| c.at).collect();
            times.sort_unstable_by(f64::total_cmp);
            let oldest = times[times.len() / 4];
            self.counts.retain(|_, c| c.at > oldest);
        }
    }

    /// Modes of all parts now, each with since when.
    pub fn modes(&mut self, now: f64) -> Vec<(Mode, f64)> {
        self.sweep(now);
        self.parts.iter().map(|p| p.evidence.mode()).collect()
    }

    /// What operators see.
    pub fn report(&self, now: f64) -> Report {
        let parts = self.parts.iter().enumerate().map(|(n, p)| {
            let (mode, since) = p.evidence.mode();
            PartReport {
                part: n as u32,
                mode: mode.name().to_string(),
                for_s: (now - since).max(0.0),
                on_trust: p.on_trust,
                on_trust_ever: p.on_trust_ever,
                spoilt: p.spoilt,
                late: p.late,
                retold: p.retold,
            }
        });
        let open = self.counts.values().filter(|c| c.breaker.is_open(&self.s.breaker)).count();
        Report { parts: parts.collect(), counts: self.counts.len(), open, held: self.witness.part() }
    }
}

#[cfg(test)]
mod tests;
