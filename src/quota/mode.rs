//! In which mode a part of the counter is, from what calls to it came to: in step, late, lost, split, replaced or
//! rejoined, each with a way in, a way out, and hysteresis. It owns the evidence of one part and its place in the
//! state machine; it must never refuse a session, and it knows no single customer.
//!
//! ```text
//! in step ──> late (answers come after use)          ──┐
//!    ^   ├──> lost (none comes)                      ──┤
//!    │   ├──> split (some names answer, others never, ──┤──> rejoined ──> in step
//!    │   │         or its totals miss what others use) │       │
//!    │   └──> replaced (totals fall) ─────────────────┘       └──> back, held twice as long
//! ```

use std::collections::BTreeMap;

/// The mode of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Mode {
    /// Answers come in time, and totals hold what they must.
    #[default]
    InStep,
    /// Answers come, but after use.
    Late,
    /// No answer comes.
    Lost,
    /// Some names are answered and others never, or totals miss what others use.
    Split,
    /// Totals fell: another counter stands there, or this one was emptied.
    Replaced,
    /// Answers come in time again; watched for a while.
    Rejoined,
}

impl Mode {
    /// Its name on log lines and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Mode::InStep => "in step",
            Mode::Late => "late",
            Mode::Lost => "lost",
            Mode::Split => "split",
            Mode::Replaced => "replaced",
            Mode::Rejoined => "rejoined",
        }
    }
}

/// How a call came out, for its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Answered in time, and what it said can be.
    InTime,
    /// Answered after it was given up.
    Late,
    /// Not answered, turned away or not connected.
    Not,
    /// Answered with less than the counter must hold, for the second time.
    Fallen,
}

/// What the modes are set by; all in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModeSettings {
    /// Evidence counts for so long.
    pub span: f64,
    /// With no answer for so long, and calls made, the part is lost.
    pub lost_after: f64,
    /// Answers in time for so long end a trouble.
    pub settle: f64,
    /// A part that has rejoined is watched so long; doubled at each relapse...
    pub watch: f64,
    /// ...up to this.
    pub watch_most: f64,
}

/// The evidence of one part.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    mode: Mode,
    since: f64,
    /// Last answer in time, and first failure since the last answer of any kind.
    in_time: Option<f64>,
    failing_since: Option<f64>,
    /// Since when answers come, in time or not, after a time without.
    answering_since: Option<f64>,
    /// Last failure.
    failed: Option<f64>,
    /// Calls without an answer since the last one.
    unanswered: u32,
    /// Late answers since the last one in time.
    late: u32,
    /// What is known of each name met lately.
    names: BTreeMap<u64, Name>,
    /// Names whose totals fell, and when.
    fell: Vec<(u64, f64)>,
    /// Does the meter contradict the totals?
    divided: bool,
    relapses: u32,
}

/// One name.
#[derive(Clone, Copy, Debug)]
struct Name {
    /// Calls in a row that came out as the last one did.
    row: u32,
    /// When one was last answered, and when one last was not.
    answered: f64,
    failed: f64,
}

impl Name {
    fn at(&self) -> f64 {
        self.answered.max(self.failed)
    }

    fn note(&mut self, now: f64, answered: bool) {
        let before = self.answered >= self.failed;
        self.row = if before == answered { self.row.saturating_add(1) } else { 1 };
        *(if answered { &mut self.answered } else { &mut self.failed }) = now;
    }
}

/// A name is failing, or answering, after so many calls in a row.
const NAME_ROW: u32 = 2;
/// Names that were answered after they had failed are the mark of a crowded counter, not of a split one: a split has
/// no more of them than this part of those that only fail or only answer.
const MIXED_PART: f64 = 0.2;
/// Names that must fail, and names that must answer, for a split.
const SPLIT_NAMES: i32 = 2;
/// The evidence holds so many names at the most.
const NAMES_MOST: usize = 256;

impl Evidence {
    /// The mode and since when.
    pub fn mode(&self) -> (Mode, f64) {
        (self.mode, self.since)
    }

    /// Does the meter contradict its totals?
    pub fn divided(&self) -> bool {
        self.divided
    }

    /// A call for a name (its hash) came out so.
    pub fn came(&mut self, now: f64, name: u64, came: Came, s: &ModeSettings) {
        if self.names.len() >= NAMES_MOST {
            self.names.retain(|_, x| now - x.at() <= s.span);
            if self.names.len() >= NAMES_MOST {
                self.names.clear();
            }
        }
        let entry = self.names.entry(name).or_insert(Name {
            row: 0,
            answered: f64::NEG_INFINITY,
            failed: f64::NEG_INFINITY,
        });
        entry.note(now, came != Came::Not);
        if came != Came::Not && (self.unanswered >= 3 || self.answering_since.is_none()) {
            self.answering_since = Some(now);
        }
        match came {
            Came::InTime => {
                self.in_time = Some(now);
                (self.failing_since, self.unanswered, self.late) = (None, 0, 0);
            }
            Came::Late => {
                (self.failing_since, self.unanswered) = (None, 0);
                self.late += 1;
            }
            Came::Not => {
                self.failing_since.get_or_insert(now);
                self.failed = Some(now);
                self.unanswered += 1;
            }
            Came::Fallen => {
                self.in_time = Some(now);
                (self.failing_since, self.unanswered, self.late) = (None, 0, 0);
                self.fell.retain(|x| now - x.1 <= s.span && x.0 != name);
                self.fell.push((name, now));
            }
        }
        self.step(now, s);
    }

    /// The meter and the totals were compared.
    pub fn compared(&mut self, now: f64, divided: bool, s: &ModeSettings) {
        self.divided = divided;
        self.step(now, s);
    }

    /// Are some names answered and others never? Failures from before answers began to come again are the end of
    /// another trouble.
    pub fn split_by_name(&self, now: f64, s: &ModeSettings) -> bool {
        let since = self.answering_since.unwrap_or(now).max(now - s.span);
        let (mut failing, mut answering, mut mixed) = (0, 0, 0);
        for x in self.names.values() {
            let last = x.at() >= since && x.row >= NAME_ROW;
            match x.answered >= x.failed {
                true if x.failed >= since => mixed += 1,
                true => answering += i32::from(last),
                false => failing += i32::from(last && x.failed > since),
            }
        }
        let rare = f64::from(mixed) <= MIXED_PART * f64::from(failing + answering);
        failing >= SPLIT_NAMES && answering >= SPLIT_NAMES && rare
    }

    /// Moves on to the mode that the evidence at `now` calls for.
    pub fn step(&mut self, now: f64, s: &ModeSettings) {
        let next = self.next(now, s);
        if next == self.mode {
            return;
        }
        match (self.mode, next) {
            (Mode::Rejoined, Mode::InStep) => self.relapses = 0,
            (Mode::Rejoined, _) => self.relapses += 1,
            _ => {}
        }
        (self.mode, self.since) = (next, now);
    }

    fn next(&self, now: f64, s: &ModeSettings) -> Mode {
        let fresh = |at: Option<f64>| at.is_some_and(|at| now - at <= s.span);
        let lost = self.unanswered >= 3 && self.failing_since.is_some_and(|at| now - at >= s.lost_after);
        let split = self.split_by_name(now, s);
        let replaced = self.fell.iter().filter(|x| now - x.1 <= s.span).count() >= 2;
        let trouble = match () {
            () if lost => Some(Mode::Lost),
            () if replaced => Some(Mode::Replaced),
            () if self.divided || split => Some(Mode::Split),
            () if self.late >= 3 && self.in_time.is_none_or(|at| now - at > s.settle) => Some(Mode::Late),
            () => None,
        };
        let steady = fresh(self.in_time)
            && self.failed.is_none_or(|at| now - at >= s.settle)
            && now - self.since >= s.settle;
        match (self.mode, trouble) {
            // From one trouble to another, and into one; lost and split must show for themselves first.
            (_, Some(mode)) => mode,
            (Mode::InStep, None) => Mode::InStep,
            (Mode::Rejoined, None) => {
                let watch = (s.watch * 2f64.powi(self.relapses.min(20) as i32)).min(s.watch_most);
                if now - self.since >= watch {
                    Mode::InStep
                } else {
                    Mode::Rejoined
                }
            }
            (_, None) if steady => Mode::Rejoined,
            (mode, None) => mode,
        }
    }
}

#[cfg(test)]
#[path = "mode_tests.rs"]
mod tests;
