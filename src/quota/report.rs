//! The counter's state as operators see it: in the log line of the counter and in `whinstall report`.
//!
//! The serialized field names are part of the log's format, which `whinstall report` reads back, also from older
//! versions: they are fixed.

/// The state of the whole counter.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct CounterReport {
    /// The counter's partitions.
    #[cfg_attr(feature = "adapter", serde(rename = "parts"))]
    pub partitions: Vec<PartitionReport>,
    /// Number of counter entries of which state is kept.
    #[cfg_attr(feature = "adapter", serde(rename = "counts"))]
    pub entries: usize,
    /// Number of counter entries whose circuit breaker is open.
    #[cfg_attr(feature = "adapter", serde(rename = "open"))]
    pub open_breakers: usize,
    /// Fraction of the metered use that totals hold; `None` while too little was metered.
    #[cfg_attr(feature = "adapter", serde(rename = "held"))]
    pub counted_fraction: Option<f64>,
}

/// The state of one partition.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize))]
pub struct PartitionReport {
    /// Index of the partition.
    #[cfg_attr(feature = "adapter", serde(rename = "part"))]
    pub partition: u32,
    /// Mode of the partition, by [`Mode::name`](super::Mode::name).
    pub mode: String,
    /// Seconds since the partition entered that mode.
    #[cfg_attr(feature = "adapter", serde(rename = "for_s"))]
    pub secs_in_mode: f64,
    /// Units that this gatekeeper admitted without a usable total since the fault began: an upper bound of what it
    /// admitted beyond quotas.
    #[cfg_attr(feature = "adapter", serde(rename = "on_trust"))]
    pub unverified_units: f64,
    /// Units admitted without a usable total over all faults since the process started.
    #[cfg_attr(feature = "adapter", serde(rename = "on_trust_ever"))]
    pub unverified_units_ever: f64,
    /// Number of implausible answers.
    #[cfg_attr(feature = "adapter", serde(rename = "spoilt"))]
    pub implausible_answers: u64,
    /// Number of answers that were used although their call had timed out.
    #[cfg_attr(feature = "adapter", serde(rename = "late"))]
    pub late_answers: u64,
    /// Units sent again to a counter that had lost them.
    #[cfg_attr(feature = "adapter", serde(rename = "retold"))]
    pub resent_units: f64,
}
