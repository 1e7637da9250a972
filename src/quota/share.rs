//! What this gatekeeper takes for its part of a customer's quota, and for what all gatekeepers use of it, where no
//! total of the counter tells: the share that it had in earlier totals, fading towards the even share as they age,
//! and the meter in nodes' answers. It owns these estimates and how far each is believed; what is admitted on them
//! is the decision module's alone.

/// The even share counts for so much of a burst against earlier totals.
const PART_PRIOR: f64 = 0.5;
/// Time constant of the share in earlier totals, in seconds.
const PART_S: f64 = 30.0;
/// Part of its rate that a customer is taken to use, as if one unit here told so.
const GUESS_USE: f64 = 0.5;
/// Time constant of what the meter tells, in seconds: its periods are short...
const METER_S: f64 = 3.0;
/// ...and it is believed for about so long, in seconds.
const METER_FADE: f64 = 15.0;
/// The most that it is believed, in rates.
const METER_MOST: f64 = 10.0;
/// Under this part of its rate all that a customer uses is charged: beyond its quota some is served uncharged.
const INSIDE: f64 = 0.9;
/// What is asked here for more than this part of its rate is not surely inside its quota.
const ASKED_INSIDE: f64 = 0.5;
/// A whole request is to be earned within so many seconds, for the allowance to hold it back.
const EARN_S: f64 = 10.0;
/// Under this part its use is light. Of those just under their quota only the lulls would be compared, with totals
/// that hold a fifth more.
const LIGHT: f64 = 0.6;

/// One customer's estimates at one gatekeeper.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize), serde(default))]
pub struct Share {
    /// Units spent through this gatekeeper in windows whose totals were known, the old ones fading.
    mine: f64,
    /// Units spent over all gatekeepers in the same.
    ours: f64,
    /// What the meter told of its use over all gatekeepers, as a part of its rate, smoothed.
    metered: f64,
    /// When that was last told, in seconds.
    metered_at: f64,
    /// Units of the fallback allowance, and as of when.
    allowance: f64,
    allowance_at: Option<f64>,
}

impl Default for Share {
    fn default() -> Self {
        Share {
            mine: 0.0,
            ours: 0.0,
            metered: 0.0,
            metered_at: f64::NEG_INFINITY,
            allowance: 0.0,
            allowance_at: None,
        }
    }
}

impl Share {
    /// This gatekeeper's part of the quota, 0 to 1: the even share over `width` gatekeepers until earlier totals
    /// say more.
    pub fn part(&self, burst: f64, width: f64) -> f64 {
        let prior = PART_PRIOR * burst;
        (self.mine + prior / width) / (self.ours + prior).max(1e-9)
    }

    /// Units that all gatekeepers may have spent in `span` seconds, where no total tells: by what the meter told
    /// lately, else by the `own` units spent here at a gatekeeper whose part is `part`. At one of very many
    /// gatekeepers one unit tells next to nothing, and taken times their number it would empty a store that is
    /// nearly full.
    pub fn guess(&self, rate: f64, part: f64, own: f64, span: f64, now: f64) -> f64 {
        let prior = (GUESS_USE * rate * span).max(1e-9);
        let here = (1.0 + own) / (1.0 / prior + part);
        here + self.believed(now) * (self.metered * rate * span - here)
    }

    /// How far the meter is believed, 0 to 1.
    pub fn believed(&self, now: f64) -> f64 {
        ((self.metered_at - now) / METER_FADE).exp()
    }

    /// Learns the part from a window of `length` seconds that is over, of whose `spent` units `own` were spent
    /// here. Where none of its requests came through here in the `missed` windows since, the other gatekeepers are
    /// taken to have gone on as before.
    pub fn learn(&mut self, length: f64, missed: f64, own: f64, spent: f64) {
        let fade = (-length / PART_S).exp();
        self.mine = self.mine * fade.powf(1.0 + missed) + own.min(spent);
        self.ours = self.ours * fade + spent;
    }

    /// No total was known for `age`, as a part of the time that the share is believed without one: confidence
    /// fades, and the part goes towards the even one.
    pub fn forget(&mut self, age: f64) {
        let kept = (-age.max(0.0)).exp();
        (self.mine, self.ours) = (self.mine * kept, self.ours * kept);
    }

    /// The meter told of its use over all gatekeepers in the last period, as a part of its rate.
    pub fn metered(&mut self, now: f64, told: f64) {
        let told = if told.is_finite() { told.clamp(0.0, METER_MOST) } else { 0.0 };
        let kept = ((self.metered_at - now) / METER_S).exp();
        (self.metered, self.metered_at) = (kept * self.metered + (1.0 - kept) * told, now);
    }

    /// The fallback allowance, in units: this gatekeeper's part of the rate, and of the burst or one request of the
    /// `largest` units, whichever is more. Over all gatekeepers it adds up to the rate, and to no more at once than
    /// the burst or a largest request each. It starts from nothing when a total last told, else at `since` (the
    /// gatekeeper's start: a predecessor may have spent what there was): a customer not met before finds its even
    /// share.
    pub fn allowance(&mut self, now: f64, quota: (f64, f64), width: f64, largest: f64, since: f64) -> f64 {
        let (rate, burst) = quota;
        let part = self.part(burst, width);
        let from = self.allowance_at.replace(now).unwrap_or(since);
        let most = (burst * part).max(largest);
        self.allowance = (self.allowance + rate * part * (now - from).max(0.0)).min(most);
        self.allowance
    }

    /// A total tells at `now`: what is spent is known, and the allowance starts from nothing should that end.
    pub fn settle(&mut self, now: f64) {
        (self.allowance, self.allowance_at) = (0.0, Some(now));
    }

    /// Units were admitted: they are taken from the allowance, which owes nothing.
    pub fn take(&mut self, units: f64) {
        self.allowance = (self.allowance - units).max(0.0);
    }

    /// What the meter tells of its use, as a part of its rate, where it is believed and all of that use is charged.
    pub fn inside(&self, now: f64) -> Option<f64> {
        Some(self.metered).filter(|m| *m < INSIDE && self.believed(now) > 0.5)
    }

    /// Is it to be held to its allowance while no total tells? Not where the meter shows it inside its quota and it
    /// asks here (`asked` units a second, refused ones included) for no more than a part of its rate: the meter alone
    /// takes a heavy customer that was just refused for a light one. Nor where its part here is so thin that a
    /// request of the `largest` units takes long to earn: one of very many gatekeepers can hold no whole request
    /// back, and the room that is guessed decides by chance.
    pub fn is_held(&self, now: f64, asked: f64, quota: (f64, f64), width: f64, largest: f64) -> bool {
        let (rate, burst) = quota;
        let thin = rate * self.part(burst, width).max(1.0 / width) * EARN_S < largest;
        !thin && (self.inside(now).is_none() || asked > ASKED_INSIDE * rate)
    }

    /// What the meter tells of it where its use is so light that a meter that lags cannot have caught a lull of a heavy one: what
    /// totals may be compared with, in units a second.
    pub fn light(&self, now: f64, rate: f64) -> Option<f64> {
        self.inside(now).filter(|m| *m < LIGHT).map(|part| part * rate)
    }
}

#[cfg(test)]
#[path = "share_tests.rs"]
mod tests;
