//! The concurrency limit, which gateways share through the quota counter, and the hard ceiling, a token bucket at each
//! gateway that does not rely on the counter. Neither admits more because the counter does not answer.

use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::window::{CONCURRENCY_SYNC_SECS, CONCURRENCY_WINDOW_SECS, DEMAND_SECS};

/// Added to the age of a gateway in the estimate of a customer's demand, in seconds: one request is no rate.
const DEMAND_AGE_PRIOR_SECS: f64 = 8.0;
/// The request that is being decided counts with this fraction of its units in its customer's demand, because
/// customers of low demand send single requests.
const OWN_REQUEST_WEIGHT: f64 = 0.2;
/// Where a concurrency limit is below the number of gateways, the mean of the attempts in flight is held at this
/// fraction of it. The rest is for random variation.
const CONCURRENCY_TARGET: f64 = 0.5;
/// Time constant of the demand by which that is decided, in seconds: bursts last for seconds.
const BURST_DEMAND_SECS: f64 = 1.0;
/// Age up to which the other gateways' attempts in flight are current, in seconds: attempts last for tenths of a
/// second.
const CONCURRENCY_FRESH_SECS: f64 = 0.25;

impl Gateway {
    /// Whether the concurrency limit permits one more attempt: by the other gateways' last report if it is current,
    /// otherwise within the even share.
    ///
    /// A limit below the number of gateways does not give each of them a complete attempt. Attempts are not reported
    /// then, and requests are admitted at random, so that the expected number in flight over all gateways is a fraction
    /// of the limit; a minimum per gateway would add up over hundreds of gateways. A customer with uneven demand is
    /// limited by the gateway that receives most of it.
    pub(super) fn fits_concurrency_limit(&mut self, id: &CustomerId, units: f64) -> bool {
        let (now, demand) = (self.now, self.demand(id, units));
        let secs_per_unit = self.mean_secs_per_unit();
        let Some(customer) = self.customers.get_mut(id) else { return false };
        let plan = &self.settings.plans[customer.plan];
        let limit = f64::from(plan.max_concurrent);
        if limit > 0.0 && limit < customer.gateway_count {
            let demand = demand.max(customer.burst_demand.rate(now, BURST_DEMAND_SECS));
            let expected = secs_per_unit * customer.gateway_count * demand;
            customer.burst_demand.add(now, units, BURST_DEMAND_SECS);
            return self.rng.f64() * expected < CONCURRENCY_TARGET * limit
                || plan.excess_cost_fraction <= 0.0;
        }
        if limit == 0.0 || now - customer.remote_in_flight_at <= CONCURRENCY_FRESH_SECS {
            return limit == 0.0 || customer.in_flight + customer.remote_in_flight + 1.0 <= limit;
        }
        customer.concurrency_sync_at = customer.concurrency_sync_at.min(now);
        customer.in_flight < (limit / customer.gateway_count).floor()
    }

    /// Recent demand of a customer at this gateway, in units per second. `units`: those of the request that is being
    /// decided, which are part of the demand already.
    pub(super) fn demand(&self, id: &CustomerId, units: f64) -> f64 {
        let age = self.now - self.started_at.unwrap_or(self.now) + DEMAND_AGE_PRIOR_SECS;
        let rate = self.customers.get(id).map_or(0.0, |customer| customer.demand.rate(self.now, DEMAND_SECS));
        (rate - (1.0 - OWN_REQUEST_WEIGHT) * units / DEMAND_SECS).max(0.0)
            / (1.0 - (-age / DEMAND_SECS).exp())
    }

    /// Records that an attempt of a customer starts (`change` 1) or ends (`change` -1), and schedules its report.
    pub(super) fn change_in_flight(&mut self, id: &CustomerId, change: f64) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id) else { return };
        customer.in_flight = (customer.in_flight + change).max(0.0);
        let plan = &self.settings.plans[customer.plan];
        if f64::from(plan.max_concurrent) >= customer.gateway_count {
            // Where an attempt beyond the limit costs nothing, only long attempts justify a call.
            let delay =
                if plan.excess_cost_fraction > 0.0 { CONCURRENCY_SYNC_SECS } else { CONCURRENCY_FRESH_SECS };
            let is_outdated = change > 0.0 && now - customer.remote_in_flight_at > 2.0 * delay;
            let delay = if is_outdated { delay * 0.05 } else { delay };
            customer.concurrency_sync_at = customer.concurrency_sync_at.min(now + delay);
        }
    }

    /// Reports the change of the attempts in flight to the counter. Without a change, the counter is only read, and only
    /// while this gateway is at its share of the limit.
    pub(super) fn sync_concurrency(&mut self, id: &CustomerId, actions: &mut Actions) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id) else { return };
        let amount = customer.in_flight - customer.reported_in_flight;
        let limit = f64::from(self.settings.plans[customer.plan].max_concurrent);
        let is_at_share = customer.in_flight >= (limit / customer.gateway_count).floor();
        let is_outdated = now - customer.remote_in_flight_at > CONCURRENCY_FRESH_SECS / 2.0;
        if customer.is_concurrency_calling || (amount == 0.0 && !(is_at_share && is_outdated)) {
            customer.concurrency_sync_at =
                if customer.is_concurrency_calling { now + CONCURRENCY_SYNC_SECS } else { f64::INFINITY };
            return;
        }
        (customer.reported_in_flight, customer.is_concurrency_calling) = (customer.in_flight, true);
        customer.concurrency_sync_at = f64::INFINITY;
        let name = counter_key('o', id, customer.concurrency_window);
        let call = PendingCall {
            customer: id.clone(),
            window: customer.concurrency_window,
            amount,
            is_concurrency: true,
            held_request: None,
        };
        self.send_call(name, call, amount, CONCURRENCY_WINDOW_SECS, actions);
    }

    /// Whether the ceiling permits the units, which are taken from its token bucket if `take` is set.
    ///
    /// Each gateway holds its share of rate, burst and tolerance. The token bucket starts overdrawn by the tolerance,
    /// because a predecessor that was killed may have spent everything just before.
    pub(crate) fn fits_ceiling(&mut self, id: &CustomerId, units: f64, take: bool) -> bool {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id) else { return false };
        let plan = &self.settings.plans[customer.plan];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let divisor = customer.ceiling_divisor(self.ceiling_floor, now);
        let refill = plan.ceiling_rate / divisor * (now - customer.ceiling_tokens_at);
        customer.ceiling_tokens = (customer.ceiling_tokens + refill).min(plan.ceiling_burst / divisor);
        customer.ceiling_tokens_at = now;
        let fits =
            customer.ceiling_tokens - units >= -plan.ceiling_tolerance / divisor + 1e-6 && !self.is_exported;
        customer.ceiling_tokens -= if fits && take { units } else { 0.0 };
        fits
    }
}
