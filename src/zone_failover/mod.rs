//! Halls: which hall each node is in, what state each hall is in, and how this gatekeeper's load is to be
//! spread over them: tiers with locality weights and overprovisioning, a bounded spill, a slow way back. The
//! decision module goes on choosing the node within these shares and limits. Pure: time is passed in, no I/O;
//! it must never choose a node, retry or refuse a session itself.
//!
//! The states run: `Whole` or `Thinned` (by health) → `Lost` (silence on two nodes, no answer since) →
//! `Returning` (half open once the hold-off is over: its ramp starts at nothing, and silence on two nodes
//! makes it `Lost` again, with the hold-off doubled) → `Whole`/`Thinned` once the ramp is over. Gatekeepers
//! may not probe nodes, so the few first dispatches of the ramp are the trials. A gatekeeper whose own hall
//! answers while every other hall with nodes is lost is itself the one cut off: it spills nowhere
//! ([`Plan::isolated`]).

pub mod detection;
pub mod latency;
pub mod locality;
pub mod settings;
pub mod slow_start;

pub use detection::{HallState, Seen};
pub use settings::{Bound, HallKey, HallSettings};

use detection::{Evidence, HallSeen, NodeSeen};
use latency::Pressure;
use locality::TierInput;
use slow_start::Ramp;

/// A node as the server table tells it, for the halls.
#[derive(Clone, Debug, PartialEq)]
pub struct TableNode {
    /// Its name on the table.
    pub name: String,
    /// Its zone on the table.
    pub zone: String,
    /// Its address, where known.
    pub address: Option<std::net::IpAddr>,
    /// Its size compared to the others.
    pub nominal: f64,
    /// Does it take work?
    pub ready: bool,
}

/// What the halls hand the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// For each hall, by the order of [`Halls::names`]: its state and its part of this gatekeeper's load.
    pub halls: Vec<(HallState, f64)>,
    /// For each hall, the part of its capacity usable now: health, times the ramp while it returns.
    pub usable: Vec<f64>,
    /// Part of the load that fits in no hall: denied at once, dearest worth kept first.
    pub unplaced: f64,
    /// This gatekeeper's own hall answers and all the others are lost: it is the one cut off.
    pub isolated: bool,
}

/// The halls of one gatekeeper.
#[derive(Clone, Debug)]
pub struct Halls {
    settings: HallSettings,
    names: Vec<String>,
    own: Option<usize>,
    seen: Vec<HallSeen>,
    ramps: Vec<Ramp>,
    evidence: Evidence,
    pressure: Pressure,
    unit: f64,
}

impl Halls {
    /// Halls as the settings name them; `own_zone` is the gatekeeper's zone, `unit` a number in [0, 1) of
    /// this gatekeeper's own, for its jitter.
    pub fn new(settings: HallSettings, own_zone: &str, unit: f64, now: f64) -> Self {
        let names: Vec<String> = settings.halls.iter().map(|h| h.name.clone()).collect();
        let own_name = settings.own.clone().unwrap_or_else(|| own_zone.to_string());
        let mut halls = Halls {
            own: None,
            seen: names.iter().map(|_| HallSeen::new(now)).collect(),
            ramps: names.iter().map(|_| Ramp::new(&settings.ramp, unit)).collect(),
            names,
            settings,
            evidence: Evidence::default(),
            pressure: Pressure::default(),
            unit,
        };
        halls.own = halls.index_or_add(&own_name, now);
        halls
    }

    /// Does exactly the part that spills go far, or does the module go near first as ever? Near first, an own hall
    /// that returns would have all its load back at its first dispatch.
    pub fn draws_spill(&self) -> bool {
        let returning = self.own.is_some_and(|h| self.seen[h].state == HallState::Returning);
        returning || self.settings.bound == Bound::Rated
    }

    /// This gatekeeper's own hall, if it has one.
    pub fn own(&self) -> Option<usize> {
        self.own
    }

    /// The halls by name, in the order of [`Plan::halls`].
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The hall of a node, by the settings; a zone that no hall names makes a hall of its own, last.
    pub fn hall_of(&self, node: &TableNode) -> Option<usize> {
        let by_name = |name: &str| self.names.iter().position(|n| n == name);
        match self.settings.key {
            HallKey::Zone => self
                .settings
                .halls
                .iter()
                .position(|h| h.zones.contains(&node.zone))
                .or_else(|| by_name(&node.zone)),
            HallKey::Networks => {
                let address = node.address?;
                self.settings.halls.iter().position(|h| h.networks.iter().any(|n| n.contains(&address)))
            }
        }
    }

    fn index_or_add(&mut self, name: &str, now: f64) -> Option<usize> {
        if name.is_empty() {
            return None;
        }
        if let Some(i) = self.names.iter().position(|n| n == name) {
            return Some(i);
        }
        if self.settings.key == HallKey::Networks {
            return None;
        }
        self.names.push(name.to_string());
        self.settings.halls.push(settings::HallDef::implied(name));
        self.seen.push(HallSeen::new(now));
        self.ramps.push(Ramp::new(&self.settings.ramp, self.unit));
        Some(self.names.len() - 1)
    }

    /// The server table, whole, as it stands now.
    pub fn table(&mut self, now: f64, nodes: &[TableNode]) {
        let mut placed = Vec::new();
        for node in nodes {
            let hall = match self.hall_of(node) {
                Some(h) => Some(h),
                None => self.index_or_add(&node.zone, now),
            };
            if let Some(hall) = hall {
                placed.push((node, hall));
            }
        }
        self.evidence.nodes.retain(|name, _| placed.iter().any(|(n, _)| n.name == *name));
        for (node, hall) in placed {
            let nominal = if node.nominal.is_finite() && node.nominal > 0.0 { node.nominal } else { 1.0 };
            let seen = self
                .evidence
                .nodes
                .entry(node.name.clone())
                .or_insert_with(|| NodeSeen { answered: f64::NEG_INFINITY, ..NodeSeen::default() });
            (seen.hall, seen.nominal, seen.ready) = (hall, nominal, node.ready);
        }
        for (h, hall) in self.seen.iter_mut().enumerate() {
            let up: f64 =
                self.evidence.nodes.values().filter(|n| n.hall == h && n.ready).map(|n| n.nominal).sum();
            hall.high_water = hall.high_water.max(up);
        }
        self.step(now);
    }

    /// A dispatch to `node` ended so.
    pub fn seen(&mut self, now: f64, node: &str, seen: Seen) {
        self.evidence.seen(now, node, seen);
        self.step(now);
    }

    /// A dispatch to `node` was served after `took` seconds.
    pub fn served(&mut self, now: f64, node: &str, took: f64) {
        if let Some(hall) = self.evidence.nodes.get(node).map(|n| n.hall) {
            self.pressure.answered(now, hall, took);
        }
    }

    /// Moves each hall's state on by the evidence at `now`.
    pub fn step(&mut self, now: f64) {
        let fresh = self.settings.notice.as_secs_f64();
        for h in 0..self.seen.len() {
            let reading = self.evidence.read(h, self.seen[h].high_water, now, fresh);
            let (hall, ramp) = (&mut self.seen[h], &mut self.ramps[h]);
            let hold = ramp.hold(&self.settings.ramp);
            let next = match hall.state {
                _ if hall.high_water <= 0.0 => HallState::Whole,
                // Half open after the hold-off: the ramp begins at nothing, and silence ends it again.
                HallState::Lost if now - hall.since >= hold => HallState::Returning,
                HallState::Lost => HallState::Lost,
                _ if reading.silent => HallState::Lost,
                HallState::Returning if !ramp.settle(now, &self.settings.ramp) => HallState::Returning,
                _ if reading.health < 1.0 - 1e-9 => HallState::Thinned,
                _ => HallState::Whole,
            };
            if next != hall.state {
                match next {
                    HallState::Lost => ramp.lost(now, &self.settings.ramp),
                    HallState::Returning => {
                        ramp.returning(now);
                        self.evidence.forget_silence(h);
                    }
                    _ => {}
                }
                (hall.state, hall.since) = (next, now);
            }
            if hall.state != HallState::Lost && hall.state != HallState::Returning {
                ramp.settle(now, &self.settings.ramp);
            }
        }
    }

    /// The state of a hall and since when.
    pub fn state(&self, hall: usize) -> Option<(HallState, f64)> {
        self.seen.get(hall).map(|h| (h.state, h.since))
    }

    /// Shares of load at `now`.
    pub fn plan(&self, now: f64) -> Plan {
        let fresh = self.settings.notice.as_secs_f64();
        let inputs: Vec<TierInput> = (0..self.seen.len())
            .map(|h| {
                let hall = &self.seen[h];
                let reading = self.evidence.read(h, hall.high_water, now, fresh);
                let health = match hall.state {
                    HallState::Lost => 0.0,
                    _ if hall.high_water <= 0.0 => 0.0,
                    _ => reading.health * self.ramps[h].factor(now, &self.settings.ramp),
                };
                TierInput { own: Some(h) == self.own, weight: self.settings.halls[h].weight, health }
            })
            .collect();
        let others_with_nodes =
            (0..self.seen.len()).filter(|&h| Some(h) != self.own && self.seen[h].high_water > 0.0);
        let own_answers = self.own.is_some_and(|h| self.seen[h].state != HallState::Lost);
        let isolated = own_answers && {
            let mut others = others_with_nodes.peekable();
            others.peek().is_some() && others.all(|h| self.seen[h].state == HallState::Lost)
        };
        let shares = locality::shares(&inputs, self.settings.overprovisioning);
        let halls = self.seen.iter().zip(shares.part).map(|(h, part)| (h.state, part)).collect();
        let usable = inputs.iter().map(|i| i.health).collect();
        Plan { halls, usable, unplaced: shares.unplaced, isolated }
    }
}

impl Halls {
    /// Capacity by hall: the sum of nominal sizes of its ready nodes on the table.
    pub fn capacity(&self) -> Vec<f64> {
        let mut cap = vec![0.0; self.seen.len()];
        for n in self.evidence.nodes.values().filter(|n| n.ready) {
            cap[n.hall] += n.nominal;
        }
        cap
    }

    /// The plan with spill bounded: a hall other than this gatekeeper's own takes no more than its headroom
    /// under `spill_use`, split over the gatekeepers that spill, of `rate` (what is offered to this gatekeeper
    /// a second, what it turns out for want of a place included: its dispatches alone would fall as it turns
    /// out, promise headroom that is not there and let the spill back in); the rest is unplaced. `node_rate`
    /// is what a node of size 1 serves a second; 0: not bounded. [`Bound::Measured`] enforces it only as far as the
    /// hall's answers show press. Use is taken as even over the fleet, from
    /// this gatekeeper's rate, and braked by the hall's answer times; the gatekeepers that spill are taken as
    /// those of the halls that are lost or thinned, by their capacity, as every gatekeeper sees the same.
    pub fn bounded(&self, now: f64, rate: f64, replicas: u32, node_rate: f64) -> (Plan, Vec<f64>) {
        let mut plan = self.plan(now);
        let cap = self.capacity();
        let high: Vec<f64> = self.seen.iter().map(|h| h.high_water).collect();
        let whole: f64 = high.iter().sum();
        let mut limits = vec![f64::INFINITY; cap.len()];
        if node_rate <= 0.0 || rate.is_nan() || rate <= 0.0 || whole <= 0.0 {
            return (plan, limits);
        }
        let replicas = f64::from(replicas.max(1));
        let used = (rate * replicas / (node_rate * whole)).max(0.0);
        let missing: f64 = (0..cap.len())
            .map(|h| (high[h] - cap[h] * f64::from(u8::from(plan.halls[h].0 != HallState::Lost))).max(0.0))
            .sum();
        let spillers = (replicas * missing / whole).ceil().max(1.0) as u32;
        for h in (0..cap.len()).filter(|&h| Some(h) != self.own) {
            let limit = locality::spill_limit(cap[h] * node_rate, used, self.settings.spill_use, spillers);
            limits[h] = limit * self.pressure.brake(now, h);
            let enforced = match self.settings.bound {
                Bound::Rated => 1.0,
                Bound::Measured => self.pressure.pressed(now, h),
            };
            let over = enforced * (plan.halls[h].1 - limits[h] / rate).max(0.0);
            plan.unplaced += over;
            plan.halls[h].1 -= over;
        }
        (plan, limits)
    }
}

#[cfg(test)]
mod tests;
