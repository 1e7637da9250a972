//! Owns a gatekeeper's side of the quotas: its unsynced charges, the last window totals, what it was granted, and its
//! standing shares for when the counter can't be reached. Pure; time is passed in. It must never admit beyond what
//! it was granted or, out of touch, beyond its standing share, nor take a word of an older holder after a newer one's.

use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// What it goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdmissionConfig {
    /// Charges are told this often: seconds.
    pub sync_interval_secs: f64,
    /// Without an answer for so long, standing shares count, and grants no more: seconds.
    pub sync_timeout_secs: f64,
    /// Standing shares lapse so long after the last answer: seconds.
    pub share_lifetime_secs: f64,
    /// Part of a quota that may be passed by, from the settings...
    pub overshoot_ratio: f64,
    /// ...and requests beyond.
    pub overshoot_requests: f64,
    /// ...in every span of so many seconds.
    pub horizon_secs: f64,
}

/// Part of what a quota may be passed by that standing shares may save up, over all gatekeepers, in the time after
/// which they lapse (so 4/3 of it in any horizon)...
const SAVED_PART: f64 = 0.3;
/// ...and that tenants without a share here may spend in each horizon (twice in any), over all gatekeepers. The rest is
/// for what is on its way.
const START_PART: f64 = 0.2;
/// A share that may save up less than this much of a unit is spent by turns alone.
const ROUNDED: f64 = 0.5;
/// Time constant of what a tenant asks here: seconds.
const ASKS_S: f64 = 2.0;
/// A tenant that asks less often than this counts as quiet: requests a second.
const ASKS_LEAST: f64 = 0.05;
/// What was charged of units that were granted one by one, to requests that waited, is told within so many seconds.
const RARE_EVERY: f64 = 1.0;
/// What asks here is told when it differs by so much of what was told last and [`ASKS_STEP`].
const ASKS_PART: f64 = 0.5;
/// As the counter weighs it: requests a second.
const ASKS_STEP: f64 = 0.3;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It passes and is charged.
    Admit,
    /// The counter is to be asked first.
    WaitForGrant,
    /// Refused; come back after so many seconds.
    Reject(f64),
}

/// Was the counter asked for a request?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantState {
    /// Not yet.
    NotRequested,
    /// It has answered.
    Answered,
    /// It has not answered in time.
    TimedOut,
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
    /// How far it is in the turns by which a share worth less than a unit is spent, and the last one that was used.
    turns: f64,
    turn_used: f64,
    /// What the counter was told last and has answered to; what it was told since.
    said: Option<Said>,
    saying: Option<Said>,
    /// Is it to be told in any case?
    dirty: bool,
    /// Is it among those that syncs look through?
    live: bool,
    waits: u32,
}

/// What the counter was told.
#[derive(Clone, Copy, Debug)]
struct Said {
    at: f64,
    charged: i64,
    waits: u32,
    asks: f64,
}

impl Tenant {
    fn rate(&self, now: f64) -> f64 {
        self.asks * ((self.asks_at - now) / ASKS_S).exp()
    }

    /// The same, as it is told.
    fn asks(&self, now: f64) -> f64 {
        let rate = self.rate(now);
        if rate < ASKS_LEAST {
            0.0
        } else {
            rate
        }
    }

    /// Syncs look at it from now on.
    fn enlist(&mut self, name: &str, live: &mut BTreeSet<Arc<str>>) {
        if !std::mem::replace(&mut self.live, true) {
            live.insert(name.into());
        }
    }

    fn left(&self) -> u32 {
        self.until.saturating_sub(self.charged).clamp(0, u32::MAX.into()) as u32
    }

    /// Is there anything that the counter should know now?
    fn is_news(&self, now: f64, asks: f64) -> bool {
        if self.dirty || self.waits > 0 || self.saying.is_some() {
            return true;
        }
        let Some(said) = self.said else { return asks > 0.0 || self.left() > 0 };
        let late = now - said.at >= RARE_EVERY;
        // Units that were granted ahead are taken from others until they are told to be charged.
        let ahead = self.until > said.charged + i64::from(said.waits);
        if self.charged != said.charged && (ahead || late) || self.share <= 0.0 && asks > 0.0 && late {
            return true;
        }
        let moved = (asks - said.asks).abs() > ASKS_PART * (said.asks + ASKS_STEP);
        moved || asks == 0.0 && said.asks > 0.0
    }
}

/// The quotas of all tenants at one gatekeeper.
#[derive(Clone, Debug)]
pub struct QuotaAdmission {
    terms: QuotaAdmissionConfig,
    node: Box<str>,
    tenants: BTreeMap<Arc<str>, Tenant>,
    /// When the last answered sync was sent.
    synced_at: f64,
    /// When the first one was.
    met_at: Option<f64>,
    /// The highest term of a holder that has answered.
    term: u64,
    /// When the next regular one is due.
    due: f64,
    /// The sync that was sent and not answered: number, when; of whom it told.
    asked: Option<(u64, f64)>,
    named: Vec<Arc<str>>,
    /// Of whom the next may have to tell.
    live: BTreeSet<Arc<str>>,
    waiting: BTreeSet<Arc<str>>,
    /// Is the counter to be told all anew?
    afresh: bool,
    number: u64,
    /// Is one wanted at once?
    wanted: bool,
    /// Gatekeepers at the most; 0: not known.
    gates: u32,
}

impl QuotaAdmission {
    /// The one of the gatekeeper of this name, which knows nothing: it admits nothing that is limited before its first
    /// sync.
    pub fn new(terms: QuotaAdmissionConfig, node: &str) -> Self {
        QuotaAdmission {
            terms,
            node: node.into(),
            tenants: BTreeMap::new(),
            synced_at: f64::NEG_INFINITY,
            met_at: None,
            term: 0,
            due: 0.0,
            asked: None,
            named: Vec::new(),
            live: BTreeSet::new(),
            waiting: BTreeSet::new(),
            afresh: false,
            number: 0,
            wanted: false,
            gates: 0,
        }
    }

    /// How many gatekeepers there are.
    pub fn set_edge_count(&mut self, gates: u32) {
        self.gates = gates;
    }

    /// Other terms from now on.
    pub fn update_config(&mut self, terms: QuotaAdmissionConfig) {
        self.terms = terms;
    }

    /// Have the standing shares lapsed, so that nothing limited can pass here?
    pub fn are_shares_lapsed(&self, now: f64) -> bool {
        now - self.synced_at > self.terms.share_lifetime_secs
    }

    /// Has the counter been silent for too long?
    pub fn is_disconnected(&self, now: f64) -> bool {
        now - self.synced_at > self.terms.sync_timeout_secs
    }

    /// The highest term that a holder has answered in.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// May a request of this tenant pass?
    pub fn admit(
        &mut self,
        now: f64,
        name: &Arc<str>,
        limit: &TenantLimit,
        asked: GrantState,
    ) -> AdmissionDecision {
        if limit.rate <= 0.0 {
            return AdmissionDecision::Admit;
        }
        let (apart, terms, saved_at) = (self.is_disconnected(now), self.terms, self.met_at.unwrap_or(now));
        let fresh = || Tenant { saved_at, turns: phase(&self.node, name), ..Tenant::default() };
        let t = self.tenants.entry(Arc::clone(name)).or_insert_with(fresh);
        if apart {
            // Told when it is in touch again. The next holder must not wait for long until nobody can spend what the last one granted.
            t.until = t.until.min(t.charged);
        }
        if asked == GrantState::NotRequested {
            t.asks = t.rate(now) + 1.0 / ASKS_S;
            t.asks_at = now;
        }
        t.enlist(name, &mut self.live);
        if t.charged < t.until {
            t.charged += 1;
            return AdmissionDecision::Admit;
        }
        if apart || asked == GrantState::TimedOut {
            return Self::by_share(now, t, limit, terms, (self.synced_at, self.gates));
        }
        if now < t.empty_until {
            return AdmissionDecision::Reject(t.empty_until - now);
        }
        if asked == GrantState::Answered {
            return AdmissionDecision::Reject(terms.sync_interval_secs);
        }
        self.wanted = true;
        t.waits += 1;
        self.waiting.insert(Arc::clone(name));
        AdmissionDecision::WaitForGrant
    }

    /// Out of touch: by the standing share, which the counter sets aside.
    fn by_share(
        now: f64,
        t: &mut Tenant,
        limit: &TenantLimit,
        terms: QuotaAdmissionConfig,
        (synced_at, gates): (f64, u32),
    ) -> AdmissionDecision {
        if now - synced_at > terms.share_lifetime_secs {
            return AdmissionDecision::Reject(terms.sync_interval_secs);
        }
        let part = t.share / limit.rate;
        let slack = terms.overshoot_ratio * (limit.rate * terms.horizon_secs + limit.burst)
            + terms.overshoot_requests;
        // A tenant that never asked here has no share: a small allowance, safe with so many gatekeepers.
        let start = if gates == 0 { 0.0 } else { START_PART * slack / f64::from(gates) };
        let (rate, depth, again) = match t.share > 0.0 {
            true => {
                (t.share, SAVED_PART * slack * part, SAVED_PART * slack * part / terms.share_lifetime_secs)
            }
            false => (start / terms.horizon_secs, start, start / terms.horizon_secs),
        };
        // In touch it saves up slowly, so that being cut off again and again brings no more.
        let touched = (synced_at - t.saved_at).max(0.0);
        let cut_off = (now - t.saved_at.max(synced_at + terms.sync_timeout_secs)).max(0.0);
        t.saved_at = now;
        if depth < 1.0 {
            if !Self::by_turns(t, again * touched, rate * cut_off, depth) {
                let missing = if depth < ROUNDED { t.turns.floor() + 1.0 - t.turns } else { 1.0 - t.saved };
                return AdmissionDecision::Reject((missing / rate.max(0.1)).min(2.0));
            }
        } else {
            if touched > 0.0 {
                t.saved = (t.saved + again * touched).min(depth);
            }
            t.saved = (t.saved + rate * cut_off).min(depth);
        }
        if t.saved < 1.0 {
            return AdmissionDecision::Reject(((1.0 - t.saved) / rate.max(0.1)).min(2.0));
        }
        t.saved -= 1.0;
        t.charged += 1;
        AdmissionDecision::Admit
    }

    /// Less than a unit may be saved up: a whole one at each of many gatekeepers would be more than all may spend. So each
    /// turn of the share brings a unit that counts for `depth` of the turn only; gatekeepers' turns are spread evenly, so
    /// about the sum of their depths can be spent at any moment. From half a unit on a whole one is saved up while cut off.
    fn by_turns(t: &mut Tenant, touched: f64, cut_off: f64, depth: f64) -> bool {
        let rounded = depth >= ROUNDED;
        t.turns += touched + if rounded { 0.0 } else { cut_off };
        let turn = t.turns.floor();
        let ready = turn > t.turn_used && t.turns - turn < depth;
        if touched > 0.0 || !rounded {
            t.saved = f64::from(u8::from(ready));
        }
        t.saved = (t.saved + if rounded { cut_off } else { 0.0 }).min(1.0);
        if t.saved >= 1.0 {
            t.turn_used = turn;
        }
        t.saved >= 1.0
    }

    /// Number of the sync whose answer decides on a request that is to wait from now on.
    pub fn next_request_id(&self) -> u64 {
        self.number + 1
    }

    /// A charged request did not run: its unit comes back.
    pub fn refund(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            t.charged -= 1;
            t.enlist(name, &mut self.live);
        }
    }

    /// A request that waited is decided, or its client has left.
    pub fn grant_wait_ended(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            t.waits = t.waits.saturating_sub(1);
            if t.waits == 0 {
                self.waiting.remove(name);
            }
        }
    }

    /// Another machine holds the counter now: it is to be told all.
    pub fn resync_all(&mut self) {
        self.afresh = true;
    }

    /// What to tell the counter now, if anything, with the number that the answer must carry.
    pub fn begin_sync(&mut self, now: f64) -> Option<(u64, Vec<TenantUsage>)> {
        let waiting = self.asked.is_some_and(|(_, at)| now - at < self.terms.sync_timeout_secs);
        // One on demand shortly before the regular one is due is that, too.
        let due = if self.wanted { self.due - self.terms.sync_interval_secs / 2.0 } else { self.due };
        let apart = self.is_disconnected(now);
        let afresh = self.afresh || apart;
        if waiting || !(self.wanted || now >= due) {
            return None;
        }
        (self.wanted, self.afresh) = (false, false);
        if afresh {
            self.forget(now, apart);
        }
        // Asked for ahead of time: only of those for whom a request waits. After a silence, all: the holder may be new.
        let mut names = std::mem::take(&mut self.named);
        names.clear();
        if now >= due || afresh {
            self.due = now + self.terms.sync_interval_secs;
            names.extend(self.live.iter().cloned());
        } else {
            names.extend(self.waiting.iter().cloned());
        }
        self.number += 1;
        self.asked = Some((self.number, now));
        let mut charges = Vec::new();
        names.retain(|name| {
            let Some(t) = self.tenants.get_mut(name) else { return false };
            let (asks, left) = (t.asks(now), t.left());
            if !t.is_news(now, asks) {
                if asks <= 0.0 && left == 0 && t.said.is_none_or(|s| s.charged == t.charged) {
                    t.live = false;
                    self.live.remove(name);
                }
                return false;
            }
            t.dirty = false;
            t.saying = Some(Said { at: now, charged: t.charged, waits: t.waits, asks });
            charges.push(TenantUsage {
                tenant: name.to_string(),
                charged: t.charged,
                demand: asks as f32,
                standing_share: t.share as f32,
                unused_grant: left,
                waiting: t.waits,
            });
            true
        });
        self.named = names;
        Some((self.number, charges))
    }

    /// Nothing that was said counts any more; out of touch, grants go back and shares lapse.
    fn forget(&mut self, now: f64, apart: bool) {
        let lapsed = self.are_shares_lapsed(now);
        for (name, t) in &mut self.tenants {
            if apart && t.until > t.charged {
                (t.until, t.dirty) = (t.charged, true);
            }
            if lapsed {
                t.share = 0.0;
            }
            t.dirty |= t.saying.is_some() || t.said.is_some_and(|s| s.charged != t.charged);
            (t.said, t.saying) = (None, None);
            if t.is_news(now, t.asks(now)) {
                t.enlist(name, &mut self.live);
            }
        }
    }

    /// When a sync is next due, in the time that was passed in.
    pub fn next_sync_at(&self, now: f64) -> f64 {
        match self.asked {
            Some((_, at)) if now - at < self.terms.sync_timeout_secs => at + self.terms.sync_timeout_secs,
            _ if self.wanted => now,
            _ => self.due,
        }
    }

    /// The answer of the counter's holder in this term. `false`: not to anything asked last, or of an older holder than
    /// one that has answered; then nothing of it is taken.
    pub fn on_grants(&mut self, now: f64, number: u64, term: u64, totals: &[TenantGrant]) -> bool {
        if term < self.term {
            return false;
        }
        let Some((_, sent)) = self.asked.filter(|(n, _)| *n == number) else { return false };
        (self.asked, self.synced_at) = (None, sent);
        self.met_at.get_or_insert(sent);
        if term > self.term {
            // What older holders gave is void, but for what this one says. It knows nothing but what it was told by now.
            self.term = term;
            for t in self.tenants.values_mut() {
                (t.until, t.share, t.said) = (t.until.min(t.charged), 0.0, None);
            }
        }
        for total in totals {
            let Some(t) = self.tenants.get_mut(total.tenant.as_str()) else { continue };
            t.said = t.saying.take();
            // The counter has what it takes back only once it hears that this is so.
            let returned = total.charge_limit < t.until;
            if returned {
                t.enlist(&total.tenant, &mut self.live);
            }
            (t.until, t.share, t.total) =
                (total.charge_limit, f64::from(total.standing_share.max(0.0)), f64::from(total.window_total));
            t.dirty |= returned;
            t.empty_until =
                if total.retry_after_ms > 0 { now + f64::from(total.retry_after_ms) / 1e3 } else { 0.0 };
        }
        // Tenants that the counter knows no limit of.
        for name in &self.named {
            if let Some(t) = self.tenants.get_mut(name).filter(|t| t.saying.is_some()) {
                (t.said, t.saying) = (None, None);
            }
        }
        true
    }

    /// The one that was asked does not hold the counter, or the way to it broke.
    pub fn on_leader_lost(&mut self, now: f64) {
        if self.asked.take().is_some() {
            self.due = self.due.min(now + 0.1);
        }
    }
}

/// Where a gatekeeper's turns for a tenant begin, from 0 to 1: spread evenly over gatekeepers, the same in every life.
fn phase(node: &str, tenant: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (node, tenant).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
