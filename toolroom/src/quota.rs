//! Owns a gatekeeper's side of the quotas: its unsynced charges, the last window totals, what it was granted, and its
//! standing shares for when the counter can't be reached. Pure; time is passed in. It must never admit beyond what
//! it was granted or, out of touch, beyond its standing share.

use crate::counter::Limit;
use crate::wire::{Charge, Total};
use std::collections::HashMap;
use std::sync::Arc;

/// What it goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Charges are told this often: seconds.
    pub every: f64,
    /// Without an answer for so long, standing shares count: seconds.
    pub overdue: f64,
    /// Standing shares lapse so long after the last answer: seconds.
    pub lapse: f64,
    /// Part of a quota that may be passed by, from the settings...
    pub overshoot: f64,
    /// ...and requests beyond.
    pub margin: f64,
    /// ...in every span of so many seconds.
    pub horizon: f64,
}

/// Part of what a quota may be passed by that standing shares may save up, over all gatekeepers...
const SAVED_PART: f64 = 0.4;
/// ...and that tenants without a share here may spend in two horizons, over all gatekeepers. The rest is for what is on
/// its way.
const START_PART: f64 = 0.2;
/// Time constant of what a tenant asks here: seconds.
const ASKS_S: f64 = 2.0;
/// A tenant that asks less often than this is synced on demand: requests a second.
const ASKS_LEAST: f64 = 0.05;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It passes and is charged.
    Pass,
    /// The counter is to be asked first.
    Ask,
    /// Refused; come back after so many seconds.
    Refuse(f64),
}

/// Was the counter asked for a request?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Not yet.
    Not,
    /// It has answered.
    Answered,
    /// It has not answered in time.
    InVain,
}

#[derive(Clone, Debug, Default)]
struct Tenant {
    charged: i64,
    until: i64,
    /// The window's total over all gatekeepers, as last read, with the charges here that it includes.
    total: f64,
    share: f64,
    asks: f64,
    asks_at: f64,
    /// Full again then, as last told.
    empty_until: f64,
    /// Units saved up of the standing share, and as of when.
    saved: f64,
    saved_at: f64,
    /// Changed since the last sync?
    dirty: bool,
    waits: u32,
}

impl Tenant {
    fn rate(&self, now: f64) -> f64 {
        self.asks * ((self.asks_at - now) / ASKS_S).exp()
    }
}

/// The quotas of all tenants at one gatekeeper.
#[derive(Clone, Debug)]
pub struct Quota {
    terms: Terms,
    tenants: HashMap<Arc<str>, Tenant>,
    /// When the last answered sync was sent.
    synced_at: f64,
    /// When the next regular one is due.
    due: f64,
    /// Syncs sent and not answered: number, when.
    asked: Option<(u64, f64)>,
    number: u64,
    /// Is one wanted at once?
    wanted: bool,
    /// Gatekeepers at the most; 0: not known.
    gates: u32,
}

impl Quota {
    /// One that knows nothing: it admits nothing that is limited before its first sync.
    pub fn new(terms: Terms) -> Self {
        Quota {
            terms,
            tenants: HashMap::new(),
            synced_at: f64::NEG_INFINITY,
            due: 0.0,
            asked: None,
            number: 0,
            wanted: false,
            gates: 0,
        }
    }

    /// How many gatekeepers there are.
    pub fn gates(&mut self, gates: u32) {
        self.gates = gates;
    }

    /// Other terms from now on.
    pub fn retune(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Have the standing shares lapsed, so that nothing limited can pass here?
    pub fn is_lapsed(&self, now: f64) -> bool {
        now - self.synced_at > self.terms.lapse
    }

    /// Has the counter been silent for too long?
    pub fn is_apart(&self, now: f64) -> bool {
        now - self.synced_at > self.terms.overdue
    }

    /// May a request of this tenant pass?
    pub fn admit(&mut self, now: f64, name: &Arc<str>, limit: &Limit, asked: Asked) -> Verdict {
        if limit.rate <= 0.0 {
            return Verdict::Pass;
        }
        let (apart, terms) = (self.is_apart(now), self.terms);
        let t = self.tenants.entry(Arc::clone(name)).or_default();
        if asked == Asked::Not {
            t.asks = t.rate(now) + 1.0 / ASKS_S;
            t.asks_at = now;
        }
        t.dirty = true;
        if t.charged < t.until {
            t.charged += 1;
            return Verdict::Pass;
        }
        if apart || asked == Asked::InVain {
            return Self::by_share(now, t, limit, terms, (self.synced_at, self.gates));
        }
        if now < t.empty_until {
            return Verdict::Refuse(t.empty_until - now);
        }
        if asked == Asked::Answered {
            return Verdict::Refuse(terms.every);
        }
        self.wanted = true;
        t.waits += 1;
        Verdict::Ask
    }

    /// Out of touch: by the standing share, which the counter sets aside.
    fn by_share(
        now: f64,
        t: &mut Tenant,
        limit: &Limit,
        terms: Terms,
        (synced_at, gates): (f64, u32),
    ) -> Verdict {
        if now - synced_at > terms.lapse {
            return Verdict::Refuse(terms.every);
        }
        let part = t.share / limit.rate;
        let slack = terms.overshoot * (limit.rate * terms.horizon + limit.burst) + terms.margin;
        // A tenant that never asked here has no share: a small allowance, safe with so many gatekeepers.
        let start = if gates == 0 { 0.0 } else { START_PART * slack / f64::from(gates) };
        let (rate, depth) = match t.share > 0.0 {
            true => (t.share, SAVED_PART * slack * part),
            false => (start / terms.horizon, start),
        };
        if t.saved_at < synced_at {
            (t.saved, t.saved_at) = (depth, synced_at);
        }
        t.saved = (t.saved + rate * (now - t.saved_at)).min(depth.max(1.0));
        t.saved_at = now;
        if t.saved < 1.0 {
            return Verdict::Refuse(((1.0 - t.saved) / rate.max(0.1)).min(2.0));
        }
        t.saved -= 1.0;
        t.charged += 1;
        t.until = t.until.max(t.charged);
        Verdict::Pass
    }

    /// Number of the sync whose answer decides on a request that is to wait from now on.
    pub fn next_number(&self) -> u64 {
        self.number + 1
    }

    /// A charged request did not run: its unit comes back.
    pub fn take_back(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            (t.charged, t.dirty) = (t.charged - 1, true);
        }
    }

    /// A request that waited is decided, or its client has left.
    pub fn waited(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            t.waits = t.waits.saturating_sub(1);
        }
    }

    /// What to tell the counter now, if anything, with the number that the answer must carry.
    pub fn sync(&mut self, now: f64) -> Option<(u64, Vec<Charge>)> {
        let waiting = self.asked.is_some_and(|(_, at)| now - at < self.terms.overdue);
        if waiting || !(self.wanted || now >= self.due) {
            return None;
        }
        (self.wanted, self.due) = (false, now + self.terms.every);
        self.number += 1;
        self.asked = Some((self.number, now));
        let mut charges = Vec::new();
        for (name, t) in &mut self.tenants {
            let held = t.until > t.charged;
            if !t.dirty && !held {
                continue;
            }
            let asks = t.rate(now);
            let asks = if asks < ASKS_LEAST { 0.0 } else { asks };
            t.dirty = asks > 0.0;
            let (asks, share) = (asks as f32, t.share as f32);
            charges.push(Charge {
                tenant: name.to_string(),
                charged: t.charged,
                asks,
                share,
                waits: t.waits,
            });
        }
        Some((self.number, charges))
    }

    /// When a sync is next due, in the time that was passed in.
    pub fn next(&self, now: f64) -> f64 {
        match self.asked {
            Some((_, at)) if now - at < self.terms.overdue => at + self.terms.overdue,
            _ if self.wanted => now,
            _ => self.due,
        }
    }

    /// The counter's answer. `false`: not to anything asked last.
    pub fn told(&mut self, now: f64, number: u64, totals: &[Total]) -> bool {
        let Some((_, sent)) = self.asked.filter(|(n, _)| *n == number) else { return false };
        (self.asked, self.synced_at) = (None, sent);
        for total in totals {
            let Some(t) = self.tenants.get_mut(total.tenant.as_str()) else { continue };
            (t.until, t.share, t.total) =
                (total.until, f64::from(total.share.max(0.0)), f64::from(total.total));
            t.empty_until = if total.empty_ms > 0 { now + f64::from(total.empty_ms) / 1e3 } else { 0.0 };
        }
        true
    }

    /// The one that was asked does not hold the counter, or the way to it broke.
    pub fn unheld(&mut self, now: f64) {
        if self.asked.take().is_some() {
            self.due = self.due.min(now + 0.1);
        }
    }
}
