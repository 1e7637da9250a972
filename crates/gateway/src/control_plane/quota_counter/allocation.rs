//! Owns what one gatekeeper holds of one tenant, and sums of that over gatekeepers. It must never let a kept sum drift
//! from what a walk over the parts gives: rates are whole numbers in it.

/// Rates in whole parts of a unit a second, so that sums of them that are kept stay exact.
const FINE: f64 = (1u64 << 20) as f64;

/// Errs upwards.
pub fn fine(rate: f64) -> i64 {
    (rate * FINE).ceil() as i64
}

pub fn coarse(rate: i64) -> f64 {
    rate as f64 / FINE
}

/// What one gatekeeper holds of one tenant.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    /// Was it told by this life to this holder? Else it comes from the record.
    pub met: bool,
    /// Units charged, as last told.
    pub charged: i64,
    /// Units that it may charge beyond these, at the most.
    pub granted: i64,
    /// Units that it was granted for requests that waited: charged as the answer arrives.
    pub going: i64,
    /// Its standing share at the most, units a second: what it said that it holds, or what it was told since.
    pub held: f64,
    /// What its share may rise to: as is to be recorded, as was recorded last, as most of the core keeps.
    pub ceiling: f64,
    pub written: f64,
    pub kept: f64,
    /// Units set aside for its share since it was last heard of.
    pub aside: f64,
    /// Requests a second that ask there.
    pub asks: f64,
}

/// Sums over the parts of a tenant, kept so that no sync walks all gatekeepers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationTotals {
    /// Units granted and not charged yet.
    pub granted: i64,
    /// Standing shares of lives that this holder has met.
    pub held: i64,
    /// Ceilings of those that it has not.
    pub strange: i64,
    /// Requests a second that ask at gatekeepers in touch.
    pub asks: i64,
}

impl AllocationTotals {
    pub fn count(&mut self, part: &Allocation, in_touch: bool, sign: i64) {
        self.granted += sign * part.granted;
        if !part.met {
            self.strange += sign * fine(part.ceiling);
            return;
        }
        self.held += sign * fine(part.held);
        if in_touch {
            self.asks += sign * fine(part.asks);
        }
    }
}
