//! Calls to the counter as the decision module sees them: what they count, how they end, and what follows.

use super::mode::CallEvidence;
use super::reconciler::Proof;
use crate::identifiers::{CustomerId, Ending};

/// What the decision module learns from the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The window total to use.
    Total(f64),
    /// The amount was added, but the total must not be used.
    Withheld,
    /// The amount may have been added: it must never be sent again.
    Undetermined,
    /// The amount was not added: it is to be sent again.
    NotAdded,
}

/// A customer's window: what a counter entry counts.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerWindow {
    /// The customer.
    pub customer: CustomerId,
    /// The number of its window.
    pub window: i64,
}

/// The outcome of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutcome {
    /// How it ended.
    pub ending: Ending,
    /// The counter's total, where it answered.
    pub total: f64,
    /// The time it took, as a fraction of the timeout.
    pub timeout_fraction: f64,
}

/// What a late answer proves.
#[derive(Clone, Debug, PartialEq)]
pub struct LateTotal {
    /// The window that the answered call counted for.
    pub customer_window: CustomerWindow,
    /// Lower bound of the units spent in that window.
    pub min_spent: f64,
}

/// A window in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSpan {
    /// When it began.
    pub start: f64,
    /// Its length, in seconds.
    pub length_secs: f64,
}

/// What an answer's proof says about its partition, and to the decision module. A total that fell once may be a wrong
/// answer: it counts as evidence only when a second one confirms it.
pub(super) fn judge(proof: Proof, is_unconfirmed: bool) -> (CallEvidence, Verdict) {
    match proof {
        Proof::Total(total) => (CallEvidence::Answered, Verdict::Total(total)),
        Proof::Fallen(total) if is_unconfirmed => (CallEvidence::Answered, Verdict::Total(total)),
        Proof::Fallen(total) => (CallEvidence::TotalFell, Verdict::Total(total)),
        Proof::Implausible => (CallEvidence::Answered, Verdict::Undetermined),
    }
}

/// The verdict where the counter is not guarded, or the entry is unknown.
pub(super) fn unguarded(outcome: CallOutcome) -> Verdict {
    match outcome.ending {
        Ending::Ok if outcome.total.is_finite() => Verdict::Total(outcome.total.max(0.0)),
        ending if ending.never_ran() => Verdict::NotAdded,
        _ => Verdict::Undetermined,
    }
}
