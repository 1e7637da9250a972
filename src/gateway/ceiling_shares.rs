//! Hard ceilings that are divided over the fleet by demand: reports this gateway's demand for each ceiling, receives the
//! share that is assigned to it, and adjusts the ceiling's token bucket. This module never refuses a request. A token
//! bucket gains nothing when its share grows, and an assignment is not used after its time.

use crate::fleet::budget::{Ppm, TOTAL_PPM};
use crate::gateway::state::{Customer, Gateway};
use crate::identifiers::CustomerId;

/// Time constant of the demand for a ceiling, in seconds: a changed demand is followed within one second.
const CEILING_DEMAND_SECS: f64 = 1.0;
/// Factor by which the reported demand exceeds the measured one, because demand fluctuates.
const DEMAND_HEADROOM: f64 = 1.3;
/// Fraction of a ceiling's rate below which a demand is not reported, unless a share is assigned.
const MIN_REPORTED_DEMAND: f64 = 1e-3;

/// The share of one customer's ceiling that is assigned to this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct CeilingShare {
    /// The customer.
    pub customer: CustomerId,
    /// Fraction of the divided part of the ceiling, in millionths.
    pub share: Ppm,
    /// End of the assignment, in Unix seconds by the clock of this process.
    pub expires_at: f64,
}

impl Customer {
    /// The customer's complete ceiling divided by this gateway's share of it at `now`. The share is the even share or,
    /// if ceilings are divided, the floor and what is assigned and not expired.
    pub(crate) fn ceiling_divisor(&self, floor: Option<f64>, now: f64) -> f64 {
        let Some(floor) = floor else { return self.gateway_count };
        let assigned = if now < self.assigned_until { self.assigned_share * (1.0 - floor) } else { 0.0 };
        1.0 / (floor / self.gateway_count + assigned).max(1e-9)
    }
}

impl Gateway {
    /// Divides ceilings over the fleet from now on, except for the fraction `floor` of the even shares.
    pub fn divide_ceilings(&mut self, floor: f64) {
        self.ceiling_floor = Some(floor.clamp(0.0, 1.0));
    }

    /// Adds a request of a customer to its demand for the ceiling, whether it is admitted or not.
    pub(crate) fn record_ceiling_demand(&mut self, id: &CustomerId, units: f64) {
        if let (Some(_), Some(c)) = (self.ceiling_floor, self.customers.get_mut(id)) {
            c.ceiling_demand.add(self.now, units, CEILING_DEMAND_SECS);
        }
    }

    /// Demand for each ceiling beyond this gateway's floor, in millionths of the divided part. Ceilings without demand
    /// are left out.
    pub fn ceiling_demand(&self) -> Vec<(CustomerId, Ppm)> {
        let Some(floor) = self.ceiling_floor else { return Vec::new() };
        let demands = self.customers.iter().filter_map(|(id, c)| {
            let rate = self.settings.plans[c.plan].ceiling_rate;
            let demand =
                DEMAND_HEADROOM * c.ceiling_demand.rate(self.now, CEILING_DEMAND_SECS) / rate.max(1e-9);
            let share = (demand - floor / c.gateway_count) / (1.0 - floor).max(1e-9);
            let is_reported = rate > 0.0 && (demand > MIN_REPORTED_DEMAND || self.now < c.assigned_until);
            is_reported.then(|| (id.clone(), (share.clamp(0.0, 1.0) * TOTAL_PPM as f64) as Ppm))
        });
        demands.collect()
    }

    /// Applies the shares that are assigned to this gateway. The token bucket of a share that grows gains nothing, and
    /// that of a share that shrinks keeps what fits, so that moving a share never adds to the sum of all token buckets.
    pub fn assign_ceilings(&mut self, now: f64, shares: Vec<CeilingShare>) {
        self.now = self.now.max(now);
        let (now, floor) = (self.now, self.ceiling_floor);
        for CeilingShare { customer: id, share, expires_at } in shares {
            // Refills the token bucket by the share so far.
            self.fits_ceiling(&id, 0.0, false);
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let plan = &self.settings.plans[customer.plan];
            let before = 1.0 / customer.ceiling_divisor(floor, now);
            (customer.assigned_share, customer.assigned_until) =
                (share.min(TOTAL_PPM) as f64 / TOTAL_PPM as f64, expires_at);
            let after = 1.0 / customer.ceiling_divisor(floor, now);
            customer.ceiling_tokens -= plan.ceiling_tolerance * (after - before).max(0.0);
            customer.ceiling_tokens = customer.ceiling_tokens.min(plan.ceiling_burst * after);
        }
    }
}
