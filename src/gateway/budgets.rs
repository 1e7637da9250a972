//! Hard ceilings that are divided over the fleet: what this gateway wants of each is handed out, what it was given handed
//! in, and the store of each ceiling follows its share. It owns how a part reaches a store; it must never refuse
//! anything, fill a store for a share that has only just grown, or go by a part past its time.

use crate::fleet::budget::{Ppm, TOTAL_PPM};
use crate::gateway::state::{Customer, Gateway};
use crate::identifiers::CustomerId;

/// Units asked are a rate over so many seconds: a demand that moves is followed within one.
const WANTS_S: f64 = 1.0;
/// So much more than what is asked is wanted: what is asked goes up and down.
const WANTS_MORE: f64 = 1.3;

/// What this gateway was given of one customer's ceiling.
#[derive(Clone, Debug, PartialEq)]
pub struct CeilingShare {
    /// Whose ceiling.
    pub customer: CustomerId,
    /// How much of what is divided.
    pub share: Ppm,
    /// Until then, in Unix seconds of this process's clock.
    pub expires_at: f64,
}

impl Customer {
    /// The customer's whole ceiling over this gateway's share of it, now: the even share, or, where ceilings are
    /// divided, the floor and what was given, while that is good.
    pub(crate) fn ways(&self, floor: Option<f64>, now: f64) -> f64 {
        let Some(floor) = floor else { return self.width };
        let given = if now < self.given_until { self.given * (1.0 - floor) } else { 0.0 };
        1.0 / (floor / self.width + given).max(1e-9)
    }
}

impl Gateway {
    /// From now on ceilings are divided, but for this part of the even shares.
    pub fn divide_ceilings(&mut self, floor: f64) {
        self.floor = Some(floor.clamp(0.0, 1.0));
    }

    /// A request of a customer came, whatever becomes of it.
    pub(crate) fn wanted(&mut self, id: &CustomerId, units: f64) {
        if let (Some(_), Some(c)) = (self.floor, self.customers.get_mut(id)) {
            c.wants.add(self.now, units, WANTS_S);
        }
    }

    /// What it wants of each ceiling beside its floor, in millionths of what is divided; nothing where none is asked
    /// for.
    pub fn ceiling_demand(&self) -> Vec<(CustomerId, Ppm)> {
        let Some(floor) = self.floor else { return Vec::new() };
        let wants = self.customers.iter().filter_map(|(id, c)| {
            let rate = self.s.plans[c.plan].ceiling_rate;
            let asked = WANTS_MORE * c.wants.rate(self.now, WANTS_S) / rate.max(1e-9);
            let part = (asked - floor / c.width) / (1.0 - floor).max(1e-9);
            let some = rate > 0.0 && (asked > 1e-3 || self.now < c.given_until);
            some.then(|| (id.clone(), (part.clamp(0.0, 1.0) * TOTAL_PPM as f64) as Ppm))
        });
        wants.collect()
    }

    /// What it was given. A share that grows begins empty, one that shrinks keeps what fits: so what all stores hold
    /// together never grows by a share that moves.
    pub fn assign_ceilings(&mut self, now: f64, parts: Vec<CeilingShare>) {
        self.now = self.now.max(now);
        let (now, floor) = (self.now, self.floor);
        for CeilingShare { customer, share: part, expires_at: until } in parts {
            self.ceiling_takes(&customer, 0.0, false); // its store is brought up to date by the share so far
            let Some(c) = self.customers.get_mut(&customer) else { continue };
            let plan = &self.s.plans[c.plan];
            let before = 1.0 / c.ways(floor, now);
            (c.given, c.given_until) = (part.min(TOTAL_PPM) as f64 / TOTAL_PPM as f64, until);
            let after = 1.0 / c.ways(floor, now);
            c.ceiling -= plan.ceiling_tolerance * (after - before).max(0.0);
            c.ceiling = c.ceiling.min(plan.ceiling_burst * after);
        }
    }
}
