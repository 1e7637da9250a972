//! How far a customer can run past its quota while the counter cannot be relied on: the bound as a formula, its
//! parts named, in units. It owns that arithmetic only; nothing here changes what is admitted. The derivation and
//! the figures for the brief's plans are in docs/quota.md.

/// What the bound needs of a customer and of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundInput {
    /// Gatekeepers through which the customer comes.
    pub width: f64,
    /// Its quota, in units a second.
    pub rate: f64,
    /// Units of it that may be used at once.
    pub burst: f64,
    /// What it asks over all gatekeepers, in units a second.
    pub asks: f64,
    /// Age of the last total as the trouble begins, in seconds: about the sync interval.
    pub age: f64,
    /// A total goes on being believed for this part of a window.
    pub stale_part: f64,
    /// Sum over its gatekeepers of the parts that they take for theirs; 1 where all learnt from the same totals.
    pub parts: f64,
    /// Largest request, in units.
    pub largest: f64,
}

/// Units beyond the quota, by what lets them in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorBound {
    /// While the last totals are still believed, each gatekeeper misses what the others spend.
    pub blind: f64,
    /// Parts that sum to more than one.
    pub parts: f64,
    /// One request past its part at each gatekeeper.
    pub grain: f64,
}

impl ErrorBound {
    /// The bound over `seconds` of trouble.
    pub fn over(i: &BoundInput, seconds: f64) -> Self {
        let width = i.width.max(1.0);
        let window = (i.burst / i.rate.max(1e-9)).clamp(0.5, 20.0);
        let blind_s = i.age + i.stale_part * window;
        // Of what comes in the blind time, each gatekeeper sees its own: the others' share of it goes unseen, once
        // for each of them, but no more than each could let in by what it believed to be left.
        let unseen = (width - 1.0) / width * i.asks * blind_s;
        ErrorBound {
            blind: unseen.min((width - 1.0) * i.burst),
            parts: (i.parts - 1.0).max(0.0) * i.rate * seconds,
            grain: width * i.largest,
        }
    }

    /// All of it, in units.
    pub fn units(&self) -> f64 {
        self.blind + self.parts + self.grain
    }

    /// As a part of what the quota allows in `seconds`, its burst included.
    pub fn part(&self, i: &BoundInput, seconds: f64) -> f64 {
        self.units() / (i.rate * seconds + i.burst).max(1e-9)
    }
}

#[cfg(test)]
#[path = "bound_tests.rs"]
mod tests;
