//! The guard of the quota counter: which of the counter's answers the decision module may use, and when the counter
//! may be called, while it is lost, late, split or replaced.
//!
//! [`Guard`] combines, for each counter entry, a [`reconciler`] of answers and a circuit [`breaker`]; for each
//! partition of the counter, its [`mode`]; and [`split_detection`]. The module [`share`] holds the estimates that are
//! used where no total is available, [`bound`] the error that remains.
//!
//! All of it is pure: time and random draws are passed in, and there is no I/O. The guard rejects no session and
//! charges no customer: it provides totals, or none, and the decision module decides. Times and durations are `f64`
//! seconds on the clock of the decision module, amounts are quota units.

pub mod bound;
pub mod breaker;
mod call;
mod guard;
pub mod mode;
pub mod reconciler;
mod report;
pub mod settings;
pub mod share;
pub mod split_detection;

pub use call::{CallOutcome, CustomerWindow, LateTotal, Verdict, WindowSpan};
pub use guard::{Guard, PartitionMode};
pub use mode::Mode;
pub use report::{CounterReport, PartitionReport};
pub use settings::QuotaSettings;
