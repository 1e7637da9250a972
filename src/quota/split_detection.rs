//! Detection of a split counter, by whether its totals hold what all gatekeepers use.
//!
//! A counter that is split in two views, each with its own gatekeepers, answers every call in time and with totals that
//! never fall, but that miss the use in the other view. Two independent sources reveal a split:
//!
//! - [`MeterComparison`]: the meter in nodes' responses, summed over customers. It lags by seconds, so it says nothing
//!   about a single customer.
//! - [`ReplicaComparison`]: where gatekeepers replicate their usage, the counter's answer to a call must hold what it
//!   had acknowledged to other gatekeepers before that call went out. An answer that does not is proof of a split,
//!   whereas the meter is only a sample.

/// Time constant of the meter comparison, in seconds.
const METER_MEMORY_SECS: f64 = 6.0;
/// Metered units in memory below which the comparison has no result.
const METER_MIN_UNITS: f64 = 25.0;
/// Fraction of the metered use below which totals are taken for those of a split counter.
const METER_SPLIT_BELOW: f64 = 0.78;
/// Fraction of the metered use from which on a split has healed (hysteresis).
const METER_HEALED_FROM: f64 = 0.9;

/// Time constant of the replica comparison, in seconds.
const REPLICA_MEMORY_SECS: f64 = 2.0;
/// Units acknowledged to other gatekeepers, in memory, below which the comparison has no result.
const REPLICA_MIN_UNITS: f64 = 12.0;
/// Answers in memory, the older ones weighing less, below which the comparison has no result: one odd answer is not
/// enough.
const REPLICA_MIN_ANSWERS: f64 = 1.7;
/// Fraction of the acknowledged units below which totals are taken for those of a split counter. Gatekeepers that
/// return units that they reserved and then rejected, or that settle an estimate, leave totals above it.
const REPLICA_SPLIT_BELOW: f64 = 0.8;
/// Fraction of the acknowledged units from which on a split has healed (hysteresis).
const REPLICA_HEALED_FROM: f64 = 0.9;
/// Time without a comparison after which a split is no longer assumed, in seconds.
const REPLICA_QUIET_SECS: f64 = 12.0;

/// Expected and counted units with exponential decay, and whether too many are missing.
#[derive(Clone, Debug, Default, PartialEq)]
struct DecayingComparison {
    expected: f64,
    counted: f64,
    updated_at: f64,
    is_split: bool,
}

impl DecayingComparison {
    /// Adds one comparison. Returns the factor by which the earlier ones have decayed.
    fn add(&mut self, now: f64, memory_secs: f64, expected: f64, counted: f64) -> f64 {
        let decay = ((self.updated_at - now).min(0.0) / memory_secs).exp();
        self.expected = self.expected * decay + expected;
        self.counted = self.counted * decay + counted;
        self.updated_at = now;
        decay
    }

    /// Updates `is_split`: set where the counted fraction of the expected units is below `split_below`, cleared from
    /// `healed_from` on.
    fn update_split(&mut self, split_below: f64, healed_from: f64) {
        let threshold = if self.is_split { healed_from } else { split_below };
        self.is_split = self.counted / self.expected < threshold;
    }
}

/// Comparison of totals with the meter in nodes' responses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeterComparison {
    sums: DecayingComparison,
}

impl MeterComparison {
    /// Adds the finished window of a customer inside its quota: its metered units, and those that the counter's last
    /// total held. Returns whether the counter appears to be split. Values that are not finite are ignored.
    pub fn add_window(&mut self, now: f64, metered: f64, counted: f64) -> bool {
        if metered.is_finite() && counted.is_finite() && metered > 0.0 {
            self.sums.add(now, METER_MEMORY_SECS, metered, counted.clamp(0.0, 2.0 * metered));
        }
        if self.sums.expected >= METER_MIN_UNITS {
            self.sums.update_split(METER_SPLIT_BELOW, METER_HEALED_FROM);
        }
        self.sums.is_split
    }

    /// Whether the counter appeared to be split at the last comparison.
    pub fn is_split(&self) -> bool {
        self.sums.is_split
    }

    /// The fraction of the metered use that totals hold; `None` while too little was metered.
    pub fn counted_fraction(&self) -> Option<f64> {
        (self.sums.expected >= METER_MIN_UNITS).then(|| self.sums.counted / self.sums.expected)
    }
}

/// Units that the counter had acknowledged as a call went out: a lower bound of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcknowledgedUnits {
    /// Units acknowledged to this gatekeeper.
    pub own: f64,
    /// Units acknowledged to the other gatekeepers, by the replicas of their usage.
    pub others: f64,
}

/// Comparison of a partition's totals with what it acknowledged, by the replicas of gatekeepers' usage.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaComparison {
    sums: DecayingComparison,
    /// Units acknowledged to others, decaying like the sums.
    others: f64,
    /// Number of answers, decaying like the sums.
    answers: f64,
}

impl ReplicaComparison {
    /// Adds the answer to a call; `total` excludes what that call itself added. Answers are ignored where nothing was
    /// acknowledged to others, or a value is not finite.
    pub fn add_answer(&mut self, now: f64, total: f64, acknowledged: AcknowledgedUnits) {
        let AcknowledgedUnits { own, others } = acknowledged;
        let expected = own + others;
        if !(total.is_finite() && expected.is_finite()) || others <= 0.0 || expected <= 0.0 {
            return;
        }
        let decay = self.sums.add(now, REPLICA_MEMORY_SECS, expected, total.clamp(0.0, expected));
        self.others = self.others * decay + others;
        self.answers = self.answers * decay + 1.0;
        if self.others >= REPLICA_MIN_UNITS && self.answers >= REPLICA_MIN_ANSWERS {
            self.sums.update_split(REPLICA_SPLIT_BELOW, REPLICA_HEALED_FROM);
        }
    }

    /// Whether totals lacked what was acknowledged to others when last compared, unless that is too long ago.
    pub fn is_split(&self, now: f64) -> bool {
        self.sums.is_split && now - self.sums.updated_at <= REPLICA_QUIET_SECS
    }
}

#[cfg(test)]
#[path = "split_detection_tests.rs"]
mod tests;
