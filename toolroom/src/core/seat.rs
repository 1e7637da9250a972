//! Owns who holds the counter: one machine at a time, by promises of most of the core that lapse by themselves, on
//! steady clocks only. It must never answer a gatekeeper as holder when its promises may have lapsed.

use super::{Effect, Shared};
use crate::counter::{Counter, Limit, Shares, Terms};
use crate::journal::Fact;
use crate::settings::Settings;
use crate::wire::{Charge, Msg, Total};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// A promise lasts so long from when it is given: seconds.
const PROMISE: f64 = 1.2;
/// A holder relies on it for so long from when it asked: seconds. The rest is for clocks that differ in speed.
const RELY: f64 = 1.1;
/// Promises are asked for this often: seconds.
const CLAIM: f64 = 0.3;
/// Shares are told to the core this often: seconds.
const TELL: f64 = 1.0;
/// Charges come at least this often: seconds.
pub const SYNC_EVERY: f64 = 0.25;
/// A gatekeeper that is not heard of for so long may go by its standing shares: seconds.
pub const OVERDUE: f64 = 0.7;

/// Standing shares outlast this many of the quota's horizons.
const LAPSE_HORIZONS: f64 = 3.0;

/// How long standing shares last: seconds.
pub fn lapse(settings: &Settings) -> f64 {
    LAPSE_HORIZONS * settings.envelope.quota_horizon.as_secs_f64()
}

/// The counter's place on this machine.
pub struct Seat {
    terms: Terms,
    /// Whom this machine has promised to let alone, and until when.
    promise: Option<(IpAddr, f64)>,
    /// The claim that is out: its number, when it was sent, who has promised.
    claim: Option<(u64, f64, BTreeSet<IpAddr>)>,
    claim_at: f64,
    held_until: f64,
    counter: Option<Counter>,
    /// What the last holder told, and when.
    known: Option<(Shares, f64)>,
    tell_at: f64,
    ended: bool,
}

impl Seat {
    /// Nobody's.
    pub fn new(settings: &Settings) -> Self {
        let terms = Terms { overdue: OVERDUE, lapse: lapse(settings), every: SYNC_EVERY };
        let (promise, claim, counter, known) = (None, None, None, None);
        let (claim_at, held_until, tell_at, ended) = (0.0, 0.0, 0.0, false);
        Seat { terms, promise, claim, claim_at, held_until, counter, known, tell_at, ended }
    }

    /// Who holds the counter, as far as is known here.
    pub fn holder(&self, now: f64, me: IpAddr) -> Option<IpAddr> {
        if self.holds(now) {
            return Some(me);
        }
        self.promise.filter(|(ip, until)| *until > now && *ip != me).map(|p| p.0)
    }

    fn holds(&self, now: f64) -> bool {
        self.counter.is_some() && now < self.held_until && !self.ended
    }

    /// Another machine wants to hold the counter: for how many milliseconds it is promised to be the only one.
    pub fn claimed(&mut self, now: f64, ip: IpAddr) -> Option<u32> {
        if self.promise.is_some_and(|(other, until)| other != ip && until > now) {
            return None;
        }
        self.promise = Some((ip, now + PROMISE));
        Some((PROMISE * 1e3) as u32)
    }

    /// It goes.
    pub fn yielded(&mut self, ip: IpAddr) {
        self.promise = self.promise.filter(|p| p.0 != ip);
    }

    /// Another machine has promised, or not.
    pub fn promised(&mut self, now: f64, ip: IpAddr, ask: u64, ms: Option<u32>, shared: &mut Shared) {
        let Some((number, sent, yes)) = &mut self.claim else { return };
        if *number != ask || ms.is_none() {
            return;
        }
        yes.insert(ip);
        if 2 * yes.len() > shared.members.len() {
            let sent = *sent;
            self.take(now, sent, shared);
        }
    }

    /// Most of the core has promised what was asked at `sent`.
    fn take(&mut self, now: f64, sent: f64, shared: &mut Shared) {
        let held = self.holds(now);
        self.held_until = self.held_until.max(sent + RELY);
        if held || now >= self.held_until {
            return;
        }
        let known = self.known.as_ref().map(|(shares, at)| (shares, now - at));
        tracing::info!(sure = known.is_some(), "holds the counter");
        shared.journal.append(now, Fact::Holds(true));
        self.counter = Some(Counter::new(self.terms, now, known));
    }

    /// The holder told its shares.
    pub fn shares(&mut self, now: f64, shares: Shares) {
        self.known = Some((shares, now));
    }

    /// A gatekeeper's charges. `None`: the counter is not held here.
    pub fn sync(
        &mut self,
        now: f64,
        gate: (&str, u64),
        charges: &[Charge],
        limits: &dyn Fn(&str) -> Option<Limit>,
    ) -> Option<Vec<Total>> {
        if !self.holds(now) {
            return None;
        }
        Some(self.counter.as_mut()?.sync(now, gate, charges, limits))
    }

    /// This process ends: it holds nothing any more.
    pub fn end(&mut self) {
        (self.ended, self.counter) = (true, None);
    }

    /// Upkeep: claims, renewals, what others need to know.
    pub fn tick(
        &mut self,
        now: f64,
        shared: &mut Shared,
        limits: &dyn Fn(&str) -> Option<Limit>,
        out: &mut Vec<Effect>,
    ) {
        if self.ended {
            return;
        }
        if self.counter.is_some() && !self.holds(now) {
            tracing::warn!("no longer holds the counter");
            shared.journal.append(now, Fact::Holds(false));
            self.counter = None;
        }
        let me = shared.me.ip;
        let first = shared.members.keys().find(|ip| shared.touches(now, ip)) == Some(&me);
        let free = self.promise.is_none_or(|(ip, until)| ip == me || until <= now);
        if now >= self.claim_at && free && shared.majority(now) && (self.holds(now) || first) {
            // Two that claim at once don't go on to do so in step.
            self.claim_at = now + CLAIM * if self.holds(now) { 1.0 } else { 1.0 + fastrand::f64() };
            let ask = shared.number();
            self.promise = Some((me, now + PROMISE));
            self.claim = Some((ask, now, BTreeSet::from([me])));
            out.extend(shared.peers().into_iter().map(|ip| Effect::Send(ip, Msg::Claim { ask })));
            if shared.members.len() == 1 {
                self.take(now, now, shared);
            }
        }
        if !self.holds(now) {
            return;
        }
        let Some(counter) = &mut self.counter else { return };
        counter.tick(now, limits);
        if now >= self.tell_at {
            self.tell_at = now + TELL;
            let shares = counter.shares();
            self.known = Some((shares.clone(), now));
            out.extend(shared.peers().into_iter().map(|ip| Effect::Send(ip, Msg::Shares(shares.clone()))));
        }
    }
}
