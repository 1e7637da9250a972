//! The counter's state as operators see it: in the log line of the counter and in `whinstall report`.
//!
//! The field names are part of the log's format, which `whinstall report` reads back, also from older versions.

/// The state of the whole counter.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct Report {
    /// Its partitions.
    pub parts: Vec<PartReport>,
    /// Counter entries of which state is kept.
    pub counts: usize,
    /// Counter entries whose circuit breaker is open.
    pub open: usize,
    /// Fraction of the metered use that totals hold; `None` while too little was metered.
    pub held: Option<f64>,
}

/// The state of one partition.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct PartReport {
    /// Its number.
    pub part: u32,
    /// Its mode, by [`Mode::name`](super::Mode::name).
    pub mode: String,
    /// Seconds in that mode.
    pub for_s: f64,
    /// Units that this gatekeeper admitted without a usable total since the fault began: what may be in error.
    pub on_trust: f64,
    /// The same over all faults since the process started.
    pub on_trust_ever: f64,
    /// Implausible answers.
    pub spoilt: u64,
    /// Answers used after their timeout.
    pub late: u64,
    /// Units sent again to a counter that had lost them.
    pub retold: f64,
}
