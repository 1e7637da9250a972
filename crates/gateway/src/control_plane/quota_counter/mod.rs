//! Owns the counter of quotas on the core: window totals by tenant that gatekeepers add to and read from, what each
//! gatekeeper may charge until it next syncs, and the standing share that it may spend when no counter can be reached.
//! Pure; time is passed in. It must never grant more than the quota has, whoever is lost or comes back.
//!
//! For each tenant a token bucket (burst, rate). What is granted and not charged yet, and what gatekeepers that are not
//! heard of may spend by their standing shares, is part of it; so over any span t no more is spent than
//! burst + rate x t, but for what docs/system.md names.
//!
//! Shares of all lives of gatekeepers sum to the rate at the most, over all holders: a share rises only as far as a
//! record of ceilings says that most of the core keeps ([`Counter::recorded`]), and a holder sets aside what earlier
//! holders gave until the life that has it syncs, is seen to have ended (its machine syncs with another life), or
//! lapses.

mod allocation;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod totals_tests;

use crate::protocol::{EdgeCeilings, ShareCeilings, TenantCeiling};
use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use allocation::{coarse, Allocation, AllocationTotals};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What the counter goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaCounterConfig {
    /// A gatekeeper that has not synced for so long spends its standing share, and no grants: seconds.
    pub overdue: f64,
    /// Standing shares lapse so long after the last sync: seconds.
    pub lapse: f64,
    /// Gatekeepers sync about this often: seconds.
    pub every: f64,
}

impl QuotaCounterConfig {
    /// From when on a gatekeeper may spend its standing share, if it stays silent. It counts from when it sent the last
    /// sync that it got an answer to, which may be the one before.
    fn spends_from(&self, gate: &EdgeAccount) -> f64 {
        gate.heard + (self.overdue - self.every - UNDER_WAY_S).max(0.0)
    }
}

#[derive(Clone, Debug)]
struct EdgeAccount {
    life: u64,
    heard: f64,
    /// Up to when its standing shares are set aside.
    reserved: f64,
    /// Was it heard of lately?
    in_touch: bool,
    /// Parts that come from the record.
    unmet: usize,
    parts: BTreeMap<TenantId, Allocation>,
}

/// A tenant's place in the counter's list.
type TenantId = usize;

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

/// What gatekeepers brought of a tenant that earlier holders gave.
#[derive(Clone, Copy, Debug, Default)]
struct Brought {
    /// Shares, units a second.
    shares: f64,
    /// Grants, units.
    grants: f64,
}

#[derive(Clone, Debug)]
struct Tenant {
    name: Arc<str>,
    window: Option<Window>,
    sums: AllocationTotals,
    brought: Brought,
    /// A gatekeeper brought a share that the record does not allow: it does not tell all.
    doubted: bool,
}

/// Parts by gatekeeper and tenant.
type Places = BTreeSet<(Arc<str>, TenantId)>;

/// Who held the counter before. What they granted is bounded by their own stores and may still be spent.
#[derive(Clone, Copy, Debug)]
pub enum PreviousLeaders<'a> {
    /// Nobody: all stores are full.
    None,
    /// Somebody, whose newest record among most of the core this is, of whatever age. Stores begin with one unit.
    Recorded(&'a ShareCeilings),
    /// Somebody whose record may be lost: until all other shares lapse, only what gatekeepers bring is granted.
    Unrecorded,
}

/// The counter, while this machine holds it.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    terms: QuotaCounterConfig,
    term: u64,
    since: f64,
    ticked: f64,
    /// Did nobody hold the counter before?
    first: bool,
    /// Does the record tell all that may hold shares?
    complete: bool,
    names: HashMap<Arc<str>, TenantId>,
    tenants: Vec<Tenant>,
    gates: BTreeMap<Arc<str>, EdgeAccount>,
    /// How many of them are in touch.
    in_touch: usize,
    /// Number of the last record; is there one; parts in it that most of the core may not keep yet.
    number: u64,
    told: bool,
    writing: Places,
    /// Ceilings that changed since, and gatekeepers that ended.
    news: Places,
    ended: BTreeSet<Arc<str>>,
}

impl QuotaCounter {
    /// Starts at `now`, in this term.
    pub fn new(terms: QuotaCounterConfig, term: u64, now: f64, predecessors: PreviousLeaders) -> Self {
        let known = match predecessors {
            PreviousLeaders::Recorded(shares) => Some(shares),
            PreviousLeaders::None | PreviousLeaders::Unrecorded => None,
        };
        let mut counter = QuotaCounter {
            terms,
            term,
            since: now,
            ticked: now,
            first: matches!(predecessors, PreviousLeaders::None),
            complete: !matches!(predecessors, PreviousLeaders::Unrecorded),
            names: HashMap::new(),
            tenants: Vec::new(),
            gates: BTreeMap::new(),
            in_touch: 0,
            number: 0,
            told: false,
            writing: Places::new(),
            news: Places::new(),
            ended: BTreeSet::new(),
        };
        for EdgeCeilings { node, incarnation: life, ceilings: listed } in
            known.into_iter().flat_map(|k| &k.edges)
        {
            let mut parts = BTreeMap::new();
            for TenantCeiling { tenant: name, ceiling: share } in listed {
                let ceiling = f64::from(*share);
                let part = Allocation { held: ceiling, ceiling, kept: ceiling, ..Allocation::default() };
                let tenant = counter.tenant(name);
                counter.tenants[tenant].sums.count(&part, true, 1);
                parts.insert(tenant, part);
            }
            let unmet = parts.len();
            let gate = EdgeAccount { life: *life, heard: now, reserved: now, in_touch: true, unmet, parts };
            counter.in_touch += 1;
            counter.gates.insert(node.as_str().into(), gate);
        }
        counter
    }

    /// The place of a tenant of this name.
    fn tenant(&mut self, name: &str) -> TenantId {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let (name, id) = (Arc::<str>::from(name), self.tenants.len());
        self.names.insert(Arc::clone(&name), id);
        let (sums, brought) = (AllocationTotals::default(), Brought::default());
        self.tenants.push(Tenant { name, window: None, sums, brought, doubted: false });
        id
    }

    /// The term of this hold.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Has anything changed that is to be recorded?
    pub fn changed(&self) -> bool {
        !self.told || !self.news.is_empty() || !self.ended.is_empty()
    }

    /// A record of the ceilings as they are now, to be kept by most of the core; then [`Counter::recorded`]. The first
    /// tells all, others what changed.
    pub fn shares(&mut self) -> ShareCeilings {
        let whole = !std::mem::replace(&mut self.told, true);
        self.number += 1;
        let mut news = std::mem::take(&mut self.news);
        // One before this that most may not keep is told again.
        news.append(&mut self.writing);
        if whole {
            let all = |(node, gate): (&Arc<str>, &EdgeAccount)| {
                gate.parts.keys().map(|t| (Arc::clone(node), *t)).collect::<Vec<_>>()
            };
            news = self.gates.iter().flat_map(all).collect();
        }
        let mut gates: Vec<EdgeCeilings> = Vec::new();
        for (node, tenant) in &news {
            let Some(gate) = self.gates.get_mut(node) else { continue };
            let part = gate.parts.get_mut(tenant);
            let ceiling = part.map_or(0.0, |p| {
                p.written = p.ceiling;
                rounded_up(p.ceiling)
            });
            if gates.last().is_none_or(|g| *g.node != **node) {
                gates.push(EdgeCeilings {
                    node: node.to_string(),
                    incarnation: gate.life,
                    ceilings: Vec::new(),
                });
            }
            if let Some(edge) = gates.last_mut() {
                edge.ceilings.push(TenantCeiling { tenant: self.tenants[*tenant].name.to_string(), ceiling });
            }
        }
        gates.iter_mut().for_each(|g| g.ceilings.sort_by(|a, b| a.tenant.cmp(&b.tenant)));
        self.writing = news;
        let ended = std::mem::take(&mut self.ended).iter().map(|node| node.to_string()).collect();
        ShareCeilings {
            term: self.term,
            sequence: self.number,
            edges: gates,
            is_full: whole,
            ended_edges: ended,
        }
    }

    /// Most of the core keeps this record on their disks: shares may rise to what it says, if it is the last.
    pub fn recorded(&mut self, number: u64) {
        if number != self.number {
            return;
        }
        for (node, tenant) in std::mem::take(&mut self.writing) {
            let part = self.gates.get_mut(&node).and_then(|g| g.parts.get_mut(&tenant));
            if let Some(part) = part {
                part.kept = part.written.min(part.ceiling);
            }
        }
    }

    /// Units a second that lives which this holder has not met may spend, by shares of earlier holders.
    fn strangers(&self, now: f64, tenant: TenantId, rate: f64) -> f64 {
        if now - self.since >= self.terms.lapse {
            return 0.0;
        }
        let t = &self.tenants[tenant];
        // All shares of earlier holders sum to the rate, so what was not brought is all that others can have.
        let room = (rate - t.brought.shares).max(0.0);
        if !self.complete || t.doubted {
            return room;
        }
        coarse(t.sums.strange).min(room)
    }

    /// Adds what the rate brings, less what strangers may spend.
    fn turn(&mut self, now: f64, tenant: TenantId, limit: &TenantLimit) {
        let strangers = self.strangers(now, tenant, limit.rate);
        let number = (now / limit.window_secs()).floor() as i64;
        let mut burst = limit.burst.max(1.0);
        let at_first = match (self.first, self.complete) {
            (true, _) => burst,
            (false, true) => FIRST_UNITS,
            (false, false) => 0.0,
        };
        let t = &mut self.tenants[tenant];
        if !self.first && now - self.since < self.terms.overdue {
            // Grants of the last holder may still be out, as many as the burst less those that were brought.
            burst = burst.min((t.brought.grants + EARLY_S * limit.rate).max(1.0));
        }
        let at = self.since;
        let window = t.window.get_or_insert(Window { number, total: 0.0, store: at_first, at });
        if window.number != number {
            (window.number, window.total) = (number, 0.0);
        }
        let brim = (burst - t.sums.granted as f64).max(window.store);
        let rate = (limit.rate - strangers).max(0.0);
        window.store = (window.store + rate * (now - window.at).max(0.0)).min(brim);
        window.at = now;
    }

    /// Parts of this gatekeeper that come from the record go: it holds none of them any more.
    fn drop_unmet(&mut self, now: f64, node: &Arc<str>, limits: &dyn Fn(&str) -> Option<TenantLimit>) {
        let Some(gate) = self.gates.get(node).filter(|g| g.unmet > 0) else { return };
        let unmet: Vec<TenantId> = gate.parts.iter().filter(|(_, p)| !p.met).map(|(t, _)| *t).collect();
        for tenant in unmet {
            if let Some(limit) = limits(&self.tenants[tenant].name).filter(|l| l.rate > 0.0) {
                self.turn(now, tenant, &limit);
            }
            let Some(gate) = self.gates.get_mut(node) else { return };
            if let Some(part) = gate.parts.remove(&tenant) {
                self.tenants[tenant].sums.count(&part, gate.in_touch, -1);
                self.news.insert((Arc::clone(node), tenant));
            }
            gate.unmet -= 1;
        }
    }

    /// A life has ended, or its shares have lapsed. Its shares are free; what it was granted counts as spent.
    fn end(&mut self, now: f64, node: &Arc<str>, limits: &dyn Fn(&str) -> Option<TenantLimit>) {
        self.drop_unmet(now, node, limits);
        let Some(gate) = self.gates.remove(node) else { return };
        for (tenant, part) in &gate.parts {
            self.tenants[*tenant].sums.count(part, gate.in_touch, -1);
        }
        self.in_touch -= usize::from(gate.in_touch);
        self.ended.insert(Arc::clone(node));
    }

    /// A gatekeeper is in touch from now on, or is not.
    fn touch(&mut self, node: &Arc<str>, in_touch: bool) {
        let Some(gate) = self.gates.get_mut(node).filter(|g| g.in_touch != in_touch) else { return };
        for (tenant, part) in &gate.parts {
            let sums = &mut self.tenants[*tenant].sums;
            sums.count(part, gate.in_touch, -1);
            sums.count(part, in_touch, 1);
        }
        gate.in_touch = in_touch;
        self.in_touch = if in_touch { self.in_touch + 1 } else { self.in_touch - 1 };
    }

    /// Upkeep, some times a second: what gatekeepers out of touch may have spent since the last time is set aside.
    pub fn tick(&mut self, now: f64, limits: &dyn Fn(&str) -> Option<TenantLimit>) {
        self.ticked = now;
        let silent = |(_, gate): &(&Arc<str>, &EdgeAccount)| now > self.terms.spends_from(gate);
        let nodes: Vec<Arc<str>> = self.gates.iter().filter(silent).map(|(n, _)| Arc::clone(n)).collect();
        self.set_aside(now, &nodes, limits);
        let QuotaCounterConfig { overdue, lapse, every } = self.terms;
        for node in nodes {
            let Some(gate) = self.gates.get(&node) else { continue };
            let silence = now - gate.heard;
            if silence > overdue {
                self.touch(&node, false);
            }
            if silence >= lapse + every {
                self.end(now, &node, limits);
            }
        }
    }

    /// Sets aside what gatekeepers may have spent by their shares that were silent for so long that they may do so.
    fn set_aside(&mut self, now: f64, nodes: &[Arc<str>], limits: &dyn Fn(&str) -> Option<TenantLimit>) {
        let QuotaCounterConfig { lapse, every, .. } = self.terms;
        let mut taken: BTreeMap<TenantId, f64> = BTreeMap::new();
        for node in nodes {
            let Some(gate) = self.gates.get_mut(node) else { continue };
            let from = gate.reserved.max(self.terms.spends_from(gate));
            let span = now.min(gate.heard + lapse + every) - from;
            if span <= 0.0 {
                continue;
            }
            gate.reserved = now;
            for (tenant, part) in gate.parts.iter_mut().filter(|(_, p)| p.met && p.held > 0.0) {
                part.aside += part.held * span;
                *taken.entry(*tenant).or_default() += part.held * span;
            }
        }
        for (tenant, units) in taken {
            let Some(limit) = limits(&self.tenants[tenant].name) else { continue };
            if self.tenants[tenant].window.is_none() {
                self.turn(now, tenant, &limit);
            }
            // First, so that nothing of it is lost at the brim that the rate brought in the same time.
            if let Some(window) = &mut self.tenants[tenant].window {
                window.store -= units;
            }
            self.turn(now, tenant, &limit);
        }
    }

    /// A gatekeeper tells its charges and the highest term that it knows; what holds for it from now on. `None`: there
    /// is a later holder.
    pub fn sync(
        &mut self,
        now: f64,
        (node, life): (&str, u64),
        term: u64,
        charges: &[TenantUsage],
        limits: &dyn Fn(&str) -> Option<TenantLimit>,
    ) -> Option<Vec<TenantGrant>> {
        if term > self.term {
            return None;
        }
        if now - self.ticked >= TICK {
            self.tick(now, limits);
        }
        let known = self.gates.get_key_value(node).map(|(name, _)| Arc::clone(name));
        let node: Arc<str> = known.unwrap_or_else(|| node.into());
        self.set_aside(now, std::slice::from_ref(&node), limits);
        if self.gates.get(&node).is_some_and(|g| g.life != life) {
            self.end(now, &node, limits);
        }
        if term == self.term {
            // It has had an answer of this term: what it held before and was not told again is void.
            self.drop_unmet(now, &node, limits);
        }
        if !self.gates.contains_key(&node) {
            let parts = BTreeMap::new();
            let fresh = EdgeAccount { life, heard: now, reserved: now, in_touch: true, unmet: 0, parts };
            self.gates.insert(Arc::clone(&node), fresh);
            self.in_touch += 1;
        }
        self.touch(&node, true);
        if let Some(gate) = self.gates.get_mut(&node) {
            (gate.heard, gate.reserved) = (now, now);
        }
        let mut out = Vec::with_capacity(charges.len());
        for charge in charges {
            let Some(limit) = limits(&charge.tenant).filter(|l| l.rate > 0.0) else { continue };
            let tenant = self.tenant(&charge.tenant);
            self.turn(now, tenant, &limit);
            out.extend(self.charge(now, &node, tenant, charge, &limit));
        }
        Some(out)
    }

    /// What one gatekeeper tells of one tenant, and what holds for it.
    fn charge(
        &mut self,
        now: f64,
        node: &Arc<str>,
        tenant: TenantId,
        charge: &TenantUsage,
        limit: &TenantLimit,
    ) -> Option<TenantGrant> {
        let gate = self.gates.get_mut(node)?;
        let mut part = match gate.parts.remove(&tenant) {
            Some(part) => {
                gate.unmet -= usize::from(!part.met);
                self.tenants[tenant].sums.count(&part, gate.in_touch, -1);
                part
            }
            None => Allocation::default(),
        };
        // From here on the sums are those of all others.
        let before = part.ceiling;
        self.take_in(tenant, &mut part, charge);
        let total = self.give(now, tenant, &mut part, charge, limit);
        if part.ceiling != before {
            self.news.insert((Arc::clone(node), tenant));
        }
        let gate = self.gates.get_mut(node)?;
        self.tenants[tenant].sums.count(&part, gate.in_touch, 1);
        gate.parts.insert(tenant, part);
        total
    }

    /// Takes in what a gatekeeper says that it charged and holds.
    fn take_in(&mut self, tenant: TenantId, part: &mut Allocation, charge: &TenantUsage) {
        let t = &mut self.tenants[tenant];
        let Some(window) = &mut t.window else { return };
        let (share, left) = (f64::from(charge.standing_share.max(0.0)), i64::from(charge.unused_grant));
        if part.met {
            let charged = charge.charged - part.charged;
            window.total += charged.max(0) as f64;
            // What it was granted, and neither charged nor holds, comes back. What it charged beyond that, it did by its
            // standing share: some of that was set aside, the rest it had saved up, which the quota's slack allows and
            // for which there must be no debt.
            let given = part.granted + part.going;
            let back = given - charged - left;
            let beyond = (-back as f64 - part.aside).max(0.0);
            window.store +=
                if back < 0 { -beyond.min(window.store.max(0.0)) } else { back.min(given) as f64 };
        } else {
            t.brought.shares += share;
            t.brought.grants += left as f64;
            window.store -= left as f64;
            t.doubted |= share > part.ceiling;
        }
        (part.met, part.charged, part.aside) = (true, charge.charged, 0.0);
        (part.granted, part.going, part.held) = (left, 0, share);
        part.asks = f64::from(charge.demand.max(0.0));
        part.ceiling = part.ceiling.max(share);
    }

    /// What a gatekeeper may charge from now on, and its share; `part` is not among the sums.
    fn give(
        &mut self,
        now: f64,
        tenant: TenantId,
        part: &mut Allocation,
        charge: &TenantUsage,
        limit: &TenantLimit,
    ) -> Option<TenantGrant> {
        let strangers = self.strangers(now, tenant, limit.rate);
        let t = &mut self.tenants[tenant];
        let window = t.window.as_mut()?;
        // Its part of what is there: by what is asked of it, and some for whoever asks next.
        let others = ASKS_FLOOR * self.in_touch.saturating_sub(1) as f64;
        let weight = part.asks + ASKS_FLOOR;
        let asks = coarse(t.sums.asks);
        let fair = weight / (weight + asks + others);
        let (left, waits) = (part.granted as f64, f64::from(charge.waiting));
        let need = (part.asks * self.terms.every * AHEAD).floor().max(waits);
        // Whoever waits goes first: what is there is not kept for those who may ask.
        let more = (window.store * fair).min(need - left).max((waits - left).min(window.store));
        let more = more.floor().max(0.0);
        window.store -= more;
        // What it is to give back counts as its own until it says that it does not hold it any more.
        let may = if more > 0.0 { left + more } else { left.min(need) };
        // What waits is charged as the answer arrives.
        part.going = more.min(waits) as i64;
        part.granted = part.granted.max(may as i64 - part.going);
        // Its standing share, within what the others hold and what is on record.
        let all = part.asks + asks;
        let gates = self.in_touch.max(1) as f64;
        let even = ASKS_FLOOR.max(EVEN * all / gates);
        let wanted = limit.rate * (1.0 - RESERVE) * (part.asks + even) / (all + even * gates);
        if wanted > part.ceiling || wanted < part.ceiling / LOWERED {
            part.ceiling = step(wanted, limit.rate).max(part.held);
            part.kept = part.kept.min(part.ceiling);
        }
        let free = (limit.rate - strangers - coarse(t.sums.held)).max(0.0);
        let share = wanted.min(free).min(part.kept.max(part.held)) as f32;
        part.held = part.held.max(f64::from(share));
        let room = if window.store >= 1.0 || more > 0.0 { 0.0 } else { (1.0 - window.store) / limit.rate };
        Some(TenantGrant {
            tenant: charge.tenant.clone(),
            window_total: window.total as f32,
            charge_limit: charge.charged + may as i64,
            standing_share: share,
            retry_after_ms: (room * 1e3).ceil() as u32,
        })
    }

    /// All ceilings, as a record would tell them that is not of changes.
    #[cfg(test)]
    pub fn whole(&self) -> ShareCeilings {
        QuotaCounter { told: false, ..self.clone() }.shares()
    }

    /// The sums that are kept.
    #[cfg(test)]
    pub fn sums(&self) -> Vec<AllocationTotals> {
        self.tenants.iter().map(|t| t.sums).collect()
    }

    /// The same, walked anew.
    #[cfg(test)]
    pub fn walked(&self) -> Vec<AllocationTotals> {
        let walk = |id: TenantId| {
            let mut sums = AllocationTotals::default();
            for gate in self.gates.values() {
                gate.parts.get(&id).into_iter().for_each(|p| sums.count(p, gate.in_touch, 1));
            }
            sums
        };
        (0..self.tenants.len()).map(walk).collect()
    }
}

/// A ceiling with some room above this share, in coarse steps so that it seldom changes.
fn step(share: f64, rate: f64) -> f64 {
    let part = (share * ROOM / rate).max(1e-4);
    (rate * part.log2().ceil().exp2()).min(rate)
}

fn rounded_up(x: f64) -> f32 {
    let near = x as f32;
    if f64::from(near) < x {
        near.next_up()
    } else {
        near
    }
}

/// Requests a second that every gatekeeper is taken to be asked beside what it is: shares for whoever asks next.
const ASKS_FLOOR: f64 = 0.3;
/// Shares go by what asks, and by so much of the mean over gatekeepers in touch: what asks at one varies by chance.
const EVEN: f64 = 1.0;
/// This part of the rate is kept out of what shares aim at, so that one can rise at once while others come down later.
const RESERVE: f64 = 0.05;
/// A grant lasts for so many sync intervals at the gatekeeper's rate of requests.
const AHEAD: f64 = 4.0;
/// Ceilings have so much room above what is wanted when they are set...
const ROOM: f64 = 1.3;
/// ...and come down once they are so many times what is wanted.
const LOWERED: f64 = 4.0;
/// Beside grants that were brought, so many seconds of the rate are there while others may hold the last holder's.
const EARLY_S: f64 = 0.1;
/// A later holder's stores begin with so many units: a request that waits then is served if its tenant seldom asks.
const FIRST_UNITS: f64 = 1.0;
/// An answer is under way for so long at the most, where it arrives: seconds.
const UNDER_WAY_S: f64 = 0.1;
/// Upkeep is done this often at the most: seconds.
const TICK: f64 = 0.05;
