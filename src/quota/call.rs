//! Calls to the counter as the decision module sees them: the customer window they count for, their outcomes, and the
//! verdict on each.

use super::mode::CallEvidence;
use super::reconciler::Reconciliation;
use crate::identifiers::{CustomerId, Ending};

/// What the decision module may conclude from the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The window total to use.
    Total(f64),
    /// The amount was added, but the total must not be used.
    Withheld,
    /// The amount may have been added. It must never be sent again, as it could count twice.
    Undetermined,
    /// The amount was not added: the next call sends it again.
    NotAdded,
}

/// One window of one customer: a counter entry holds the units spent in it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerWindow {
    /// The customer.
    pub customer: CustomerId,
    /// Number of the window.
    pub window: i64,
}

/// The outcome of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutcome {
    /// Ending of the call.
    pub ending: Ending,
    /// Total that the counter answered, in units; meaningless unless the ending is `Ok`.
    pub total: f64,
    /// Duration of the call, as a fraction of the timeout.
    pub timeout_fraction: f64,
}

/// Lower bound of the use in a window, proven by an answer that came after its call had timed out.
#[derive(Clone, Debug, PartialEq)]
pub struct LateTotal {
    /// The window that the answered call counted for.
    pub customer_window: CustomerWindow,
    /// Lower bound of the units spent in that window.
    pub min_spent: f64,
}

/// Position of a window in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSpan {
    /// Start of the window, in seconds on the clock of the decision module.
    pub start: f64,
    /// Length of the window, in seconds.
    pub length_secs: f64,
}

/// Evidence about the partition, and verdict for the decision module, from a reconciled answer. A total that fell once
/// may be a wrong answer, so it becomes evidence only when a second one confirms it.
pub(super) fn interpret(reconciliation: Reconciliation, is_unconfirmed: bool) -> (CallEvidence, Verdict) {
    match reconciliation {
        Reconciliation::Total(total) => (CallEvidence::Answered, Verdict::Total(total)),
        Reconciliation::Fallen(total) if is_unconfirmed => (CallEvidence::Answered, Verdict::Total(total)),
        Reconciliation::Fallen(total) => (CallEvidence::TotalFell, Verdict::Total(total)),
        Reconciliation::Implausible => (CallEvidence::Answered, Verdict::Undetermined),
    }
}

/// Verdict on a call where the counter is not guarded, or of which the entry is unknown.
pub(super) fn unguarded_verdict(outcome: CallOutcome) -> Verdict {
    match outcome.ending {
        Ending::Ok if outcome.total.is_finite() => Verdict::Total(outcome.total.max(0.0)),
        ending if ending.never_ran() => Verdict::NotAdded,
        _ => Verdict::Undetermined,
    }
}
