//! Event handling and the admission of a request: quota (`window`), concurrency limit and ceiling (`caps`), overload
//! (`pressure`), host (`choice`), attempts (`attempts`). Types are in `interface` and `state`.

use crate::gateway::interface::*;
use crate::gateway::state::*;
use crate::gateway::window::DEMAND_SECS;
use std::time::Duration;

/// Weight of the newest request in the mean number of attempts in flight, at the least.
const MIN_IN_FLIGHT_WEIGHT: f64 = 0.1;

pub(super) type Actions = Vec<Action>;

/// Whether a request is admitted. `Err`: refused; the value is the time in seconds after which the client may retry,
/// or 0 if unknown.
pub(super) type Admission = Result<(), f64>;

impl Gateway {
    /// Handles an event at the time `now` and appends the actions to execute. A time before that of the last event
    /// counts as that of the last event.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = now.as_secs_f64().max(self.now);
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            actions.extend(self.settings.subscribes_to_hosts.then_some(Action::Subscribe));
        }
        match event {
            Event::Hosts { scope, entries } => {
                if scope != ListScope::Unavailable {
                    self.update_hosts(scope, entries);
                } else if self.settings.subscribes_to_hosts {
                    actions
                        .push(Action::SetTimer { after: Duration::from_secs(1), token: "subscribe".into() });
                }
            }
            Event::Request { .. } => self.on_request(event, actions),
            Event::ResponseStarted { id, .. } => {
                let now = self.now;
                self.requests.entry(id).and_modify(|r| (r.hedge_at, r.deadline) = (f64::INFINITY, now));
            }
            Event::ClientDisconnected { id } => self.finish(&id, actions),
            Event::AttemptFinished { .. } => self.on_attempt_finished(event, actions),
            Event::CounterReply { name, ending, total, elapsed } => {
                let reply = self.on_counter_reply(name, ending, total, elapsed.as_secs_f64());
                if let Some((call, has_total)) = reply {
                    self.schedule(&call.customer);
                    if let Some((id, cost)) = call.held_request {
                        self.decide_held_request(&id, &call.customer, cost, has_total, actions);
                    }
                }
            }
            Event::LateCounterReply { name, total, elapsed } => {
                self.on_late_counter_reply(name, total, elapsed.as_secs_f64());
            }
            Event::Timer { token } if token == "tick" => self.timer_at = f64::INFINITY,
            Event::Timer { token } if token == "subscribe" => actions.push(Action::Subscribe),
            Event::ZoneShares { capacity_factors, remote_share, unassigned } => {
                (self.remote_share, self.unassigned) = (remote_share, sanitize(unassigned).min(1.0));
                self.apply_zone_factors(capacity_factors);
            }
            Event::ProbeFinished { .. } | Event::Timer { .. } => {}
        }
        self.run_timers(actions);
    }

    /// Handles [`Event::Request`]. A request whose identifier is in use is ignored.
    pub(super) fn on_request(&mut self, event: Event, actions: &mut Actions) {
        self.first_request_at = self.first_request_at.or(Some(self.now));
        let Event::Request { id, class, plan, customer, budget, units, gateway_count } = event else {
            return;
        };
        if self.requests.contains_key(&id) {
            return;
        }
        let plan = self.settings.plans.iter().position(|p| p.name == plan).filter(|_| !budget.is_zero());
        let (class, max_attempts) = (self.settings.class_index(&class), self.settings.max_attempts);
        let times = (self.now, budget.as_secs_f64());
        let request = Request::new(class, customer, sanitize(units), times, max_attempts);
        let admission = plan.map_or(Err(0.0), |plan| self.admit(&id, request, plan, gateway_count, actions));
        let Err(retry_after) = admission else { return };
        actions.push(self.refusal(id, retry_after));
    }

    /// Admits a request and sends its first attempt, holds it until the counter answers, or refuses it.
    pub(super) fn admit(
        &mut self,
        id: &RequestId,
        mut request: Request,
        plan_index: usize,
        gateway_count: u32,
        actions: &mut Actions,
    ) -> Admission {
        let (now, customer_id, units) = (self.now, &request.customer.clone(), request.units);
        let weight = (2.0 / f64::from(self.settings.replicas)).clamp(MIN_IN_FLIGHT_WEIGHT, 1.0);
        self.mean_in_flight += weight * (f64::from(self.in_flight) - self.mean_in_flight);
        let plan = &self.settings.plans[plan_index];
        let (max_cost, has_quota) = (plan.burst.max(self.settings.max_units), plan.rate > 0.0);
        let gateway_count =
            f64::from(if gateway_count == 0 { self.settings.replicas } else { gateway_count });
        let offset = (fnv1a(&customer_id.0) >> 40) as f64 / (1u64 << 24) as f64;
        let windows = |at: f64| at / Self::window_secs(plan) + offset;
        let window = windows(now).floor();
        // The bucket is full when the gateway starts, so what the rate added to this window before that is lost.
        let before_start =
            (windows(self.started_at.unwrap_or(now)) - window).max(0.0) * Self::window_secs(plan);
        let customer = self.customers.entry(customer_id.clone()).or_insert_with(|| Customer {
            window: window as i64,
            opening_balance: plan.burst
                - plan.rate * before_start
                - self.remote_usage.owed(customer_id, window as i64, plan),
            ceiling_tokens: -plan.ceiling_tolerance / gateway_count,
            ceiling_tokens_at: self.started_at.unwrap_or(now),
            ..Customer::new(plan_index, gateway_count, offset)
        });
        customer.demand.add(now, units, DEMAND_SECS);
        customer.last_request_at = now;
        (customer.plan, customer.gateway_count) = (plan_index, customer.gateway_count.max(gateway_count));
        self.roll_window(customer_id);
        self.merge_remote_usage(customer_id, units);
        if has_quota && units > max_cost {
            return Err(0.0);
        }
        let has_room =
            self.fits_ceiling(customer_id, units, false) && self.fits_concurrency_limit(customer_id, units);
        let quota = self.fits_quota(customer_id, units);
        request.admit_probability = quota.err().unwrap_or(1.0);
        let is_urgent = request.deadline - now < 2.0 * self.settings.counter_timeout.as_secs_f64();
        let fits = has_room && quota.unwrap_or(is_urgent && self.rng.f64() < request.admit_probability);
        let is_admitted =
            fits || self.admits_excess(plan_index) && self.fits_ceiling(customer_id, units, false);
        if has_room && quota.is_err() && !is_urgent {
            // The request is held until the call to the counter ends, which it always does.
            self.requests.insert(id.clone(), request);
            self.add_unsynced(customer_id, units);
            self.sync_units(customer_id, Some((id.clone(), units)), actions);
            return Ok(());
        }
        if !is_admitted {
            self.send_due_syncs(customer_id, actions);
            let plan = &self.settings.plans[plan_index];
            let customer = self.customers.get(customer_id).filter(|_| has_quota);
            return Err(customer
                .map_or(0.0, |customer| (customer.spent() + units - customer.limit(plan, now)) / plan.rate));
        }
        // A request beyond the quota is not charged, so its actual units need not be settled.
        request.is_settled = !fits;
        self.requests.insert(id.clone(), request);
        self.dispatch(id, actions)?;
        self.charge(customer_id, if fits { units } else { 0.0 });
        self.send_due_syncs(customer_id, actions);
        Ok(())
    }
}
