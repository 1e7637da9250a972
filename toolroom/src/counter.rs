//! Owns the counter of quotas on the core: window totals by tenant that gatekeepers add to and read from, what each
//! gatekeeper may charge until it next syncs, and the standing share that it may spend when no counter can be reached.
//! Pure; time is passed in. It must never grant more than the quota has, whoever is lost or comes back.
//!
//! In any span t, what is granted comes to burst + rate x t at the most; what gatekeepers out of touch spend by their
//! standing shares is set aside, so it is part of that.

use crate::wire::{Charge, Total};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// What the counter goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A gatekeeper that has not synced for so long spends its standing share: seconds.
    pub overdue: f64,
    /// Standing shares lapse so long after the last sync: seconds.
    pub lapse: f64,
    /// Gatekeepers sync about this often: seconds.
    pub every: f64,
}

/// A tenant's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units on top.
    pub burst: f64,
}

impl Limit {
    /// Length of a window: about burst over rate.
    pub fn window(&self) -> f64 {
        (self.burst / self.rate.max(1e-9)).clamp(0.5, 20.0)
    }
}

/// What one gatekeeper holds of one tenant.
#[derive(Clone, Debug, Default)]
struct Part {
    /// Units charged, as last told.
    charged: i64,
    /// It may charge up to here.
    until: i64,
    /// Its standing share as told to it or by it, whichever is more.
    share: f64,
    /// Requests a second that ask there.
    asks: f64,
}

#[derive(Clone, Debug)]
struct Gate {
    life: u64,
    heard: f64,
    /// Up to when its standing shares are set aside.
    reserved: f64,
    parts: HashMap<Arc<str>, Part>,
}

/// A tenant's window.
#[derive(Clone, Debug)]
struct Window {
    number: i64,
    /// Units added in this window.
    total: f64,
    /// Units that may be granted now.
    store: f64,
    /// When the rate was last added.
    at: f64,
}

/// Shares as one holder tells the other core machines, so that the next one knows whom to expect.
pub type Shares = Vec<(String, u64, Vec<(String, f32)>)>;

/// The counter, while this machine holds it.
#[derive(Clone, Debug)]
pub struct Counter {
    terms: Terms,
    since: f64,
    /// Was it told by the last holder which gatekeepers hold standing shares?
    sure: bool,
    /// Tenants of which a gatekeeper brought a share that a holder gave it whom this one knows nothing of: others
    /// that this one has not met may hold shares, too.
    inherited: HashSet<Arc<str>>,
    gates: BTreeMap<Arc<str>, Gate>,
    windows: HashMap<Arc<str>, Window>,
}

impl Counter {
    /// Starts at `now` with nothing granted and empty stores: what a former holder granted is bounded by its own
    /// stores. `known`: the shares that it told last, and how long ago that was in seconds.
    pub fn new(terms: Terms, now: f64, known: Option<(&Shares, f64)>) -> Self {
        let (gates, windows, inherited) = (BTreeMap::new(), HashMap::new(), HashSet::new());
        let mut counter = Counter { terms, since: now, sure: known.is_some(), inherited, gates, windows };
        if let Some((shares, age)) = known {
            for (node, life, parts) in shares {
                let part = |share: f32| Part { share: f64::from(share), ..Part::default() };
                let parts =
                    parts.iter().map(|(tenant, share)| (tenant.as_str().into(), part(*share))).collect();
                let heard = now - age;
                counter.gates.insert(node.as_str().into(), Gate { life: *life, heard, reserved: now, parts });
            }
        }
        counter
    }

    /// Standing shares as they are held now.
    pub fn shares(&self) -> Shares {
        let parts = |g: &Gate| g.parts.iter().map(|(t, p)| (t.to_string(), p.share as f32)).collect();
        self.gates.iter().map(|(node, g)| (node.to_string(), g.life, parts(g))).collect()
    }

    /// Units a second that this holder may grant: all, or only the shares of those that it has met while there
    /// may be others that spend theirs out of its sight.
    fn rate(&self, now: f64, tenant: &str, limit: &Limit) -> f64 {
        let met = self.gates.values().filter_map(|g| g.parts.get(tenant)).map(|p| p.share).sum::<f64>();
        if self.knows(now, tenant) {
            return limit.rate;
        }
        met.min(limit.rate)
    }

    fn knows(&self, now: f64, tenant: &str) -> bool {
        self.sure || !self.inherited.contains(tenant) || now - self.since >= self.terms.lapse
    }

    /// Adds what the rate brings, and sets aside what gatekeepers out of touch may spend.
    fn turn(&mut self, now: f64, tenant: &Arc<str>, limit: &Limit) {
        let rate = self.rate(now, tenant, limit);
        let number = (now / limit.window()).floor() as i64;
        let at = self.since;
        let first = || Window { number, total: 0.0, store: 0.0, at };
        let window = self.windows.entry(Arc::clone(tenant)).or_insert_with(first);
        if window.number != number {
            (window.number, window.total) = (number, 0.0);
        }
        let parts = self.gates.values().filter_map(|g| g.parts.get(tenant));
        let liable: f64 = parts.map(|p| (p.until - p.charged).max(0) as f64).sum();
        let brim = (limit.burst.max(1.0) - liable).max(window.store);
        window.store = (window.store + rate * (now - window.at).max(0.0)).min(brim);
        window.at = now;
    }

    /// Upkeep, some times a second: what gatekeepers out of touch may have spent since the last time is taken.
    pub fn tick(&mut self, now: f64, limits: &dyn Fn(&str) -> Option<Limit>) {
        let Terms { overdue, lapse, .. } = self.terms;
        let mut taken: Vec<(Arc<str>, f64)> = Vec::new();
        for gate in self.gates.values_mut().filter(|g| now - g.heard > overdue) {
            let span = (now.min(gate.heard + lapse) - gate.reserved).max(0.0);
            gate.reserved = now;
            taken.extend(gate.parts.iter().map(|(tenant, p)| (Arc::clone(tenant), p.share * span)));
        }
        for (tenant, units) in taken {
            let Some(limit) = limits(&tenant) else { continue };
            self.turn(now, &tenant, &limit);
            self.windows.entry(tenant).and_modify(|w| w.store -= units);
        }
        self.gates.retain(|_, g| now - g.heard < lapse);
    }

    /// A gatekeeper tells its charges; what holds for it from now on.
    pub fn sync(
        &mut self,
        now: f64,
        (node, life): (&str, u64),
        charges: &[Charge],
        limits: &dyn Fn(&str) -> Option<Limit>,
    ) -> Vec<Total> {
        self.tick(now, limits);
        let node: Arc<str> = node.into();
        let fresh = || Gate { life, heard: now, reserved: now, parts: HashMap::new() };
        let gate = self.gates.entry(Arc::clone(&node)).or_insert_with(fresh);
        if gate.life != life {
            // A new life: what the old one was granted is void, and so are its standing shares.
            *gate = fresh();
        }
        let overdue = now - gate.heard > self.terms.overdue;
        (gate.heard, gate.reserved) = (now, now);
        let mut out = Vec::new();
        for charge in charges {
            let tenant: Arc<str> = charge.tenant.as_str().into();
            let Some(limit) = limits(&tenant).filter(|l| l.rate > 0.0) else { continue };
            self.turn(now, &tenant, &limit);
            out.extend(self.settle(&node, &tenant, charge, overdue, &limit));
        }
        out
    }

    fn settle(
        &mut self,
        node: &Arc<str>,
        tenant: &Arc<str>,
        charge: &Charge,
        overdue: bool,
        limit: &Limit,
    ) -> Option<Total> {
        let known = self.windows.get(tenant).is_some_and(|w| self.knows(w.at, tenant));
        let parts = || self.gates.values().filter_map(|g| g.parts.get(tenant));
        let (shares, asks): (f64, f64) = (parts().map(|p| p.share).sum(), parts().map(|p| p.asks).sum());
        let gates = self.gates.len().max(1) as f64;
        let gate = self.gates.get_mut(node)?;
        let met = gate.parts.get(tenant).is_some_and(|p| p.until != 0 || p.charged != 0);
        let part = gate.parts.entry(Arc::clone(tenant)).or_default();
        if !met && charge.share > part.share as f32 {
            self.inherited.insert(Arc::clone(tenant));
        }
        let (others, other_asks) = (shares - part.share, (asks - part.asks).max(0.0));
        let window = self.windows.get_mut(tenant)?;
        if met {
            // What it was granted and did not charge comes back. What it charged beyond that, it did by its standing
            // share, which was set aside while it was overdue.
            window.total += (charge.charged - part.charged).max(0) as f64;
            let back = (part.until - charge.charged) as f64;
            window.store += if overdue { back.max(0.0) } else { back };
        }
        part.charged = charge.charged;
        part.asks = f64::from(charge.asks.max(0.0));
        part.share = part.share.max(f64::from(charge.share.max(0.0)));
        // Its part of what is there: by what is asked of it, and some for whoever asks next.
        let weight = part.asks + ASKS_FLOOR;
        let fair = weight / (weight + other_asks + ASKS_FLOOR * (gates - 1.0));
        let need = (part.asks * self.terms.every * AHEAD).floor().max(f64::from(charge.waits));
        // Whoever waits goes first: what is there is not kept for those who may ask.
        let grant =
            (window.store * fair).min(need).max(f64::from(charge.waits).min(window.store)).floor().max(0.0);
        window.store -= grant;
        part.until = part.charged + grant as i64;
        // Its standing share, within what the others hold. Who has not met all can't tell what is free: shares stay.
        let wanted = (limit.rate * fair).min((limit.rate - others).max(0.0));
        part.share = if known { wanted } else { part.share };
        let room = if window.store >= 1.0 || grant > 0.0 { 0.0 } else { (1.0 - window.store) / limit.rate };
        Some(Total {
            tenant: charge.tenant.clone(),
            total: window.total as f32,
            until: part.until,
            share: part.share as f32,
            empty_ms: (room * 1e3).ceil() as u32,
        })
    }
}

/// Requests a second that every gatekeeper is taken to be asked beside what it is: shares for whoever asks next.
const ASKS_FLOOR: f64 = 0.3;
/// A grant lasts for so many sync intervals at the gatekeeper's rate of requests.
const AHEAD: f64 = 4.0;
