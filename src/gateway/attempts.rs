//! Attempts: dispatch, retries and hedging within the class's idempotency, the deadline and the retry budget, and the
//! final answer. A request that may have run is never sent again unless its class allows it.

use crate::gateway::interface::*;
use crate::gateway::rules::{Actions, Admission};
use crate::gateway::state::*;
use crate::gateway::window::WORK_RATE_SECS;
use std::cmp::Reverse;

/// An attempt times out or is hedged after this multiple of its expected latency.
const PATIENCE_LATENCIES: f64 = 8.0;
/// An attempt does not time out and is not hedged before this fraction of the latency target.
const MIN_PATIENCE_FRACTION: f64 = 0.25;
/// Retries per first attempt that the retry budget allows in the long run.
const RETRY_RATIO: f64 = 0.15;
/// Retries that the retry budget allows at once.
pub(super) const MAX_RETRY_TOKENS: f64 = 10.0;
/// An attempt of a class without value after its latency target times out this long before the target, in seconds.
const TARGET_MARGIN_SECS: f64 = 0.004;
/// Margin on the retention of idempotency keys in seconds: hosts count from the receipt of the key.
const KEY_RETENTION_MARGIN_SECS: f64 = 0.1;
/// Time constant of the rates of answers and timeouts, in seconds.
pub(super) const ANSWER_RATE_SECS: f64 = 4.0;
/// Weight of the newest answer in a class's averages, at the least.
const MIN_CLASS_STATS_WEIGHT: f64 = 0.02;
/// Answers that the initial averages of a class count for.
pub(crate) const INITIAL_ANSWERS: f64 = 4.0;

impl Gateway {
    /// Sends the next attempt of a request, if its class, its deadline and the hosts permit one.
    pub(super) fn send_attempt(&mut self, id: &RequestId, actions: &mut Actions) -> bool {
        let now = self.now;
        let Some(mut request) = self.requests.remove(id) else { return false };
        let work = self.expected_latency(request.class, request.units);
        let may_have_run = request.attempts.iter().find(|a| a.may_have_run || a.is_in_flight);
        let requirements = HostRequirements {
            class: request.class,
            work,
            key_origin: may_have_run.map(|a| (a.zone.clone(), a.group)),
            tried: request.attempts.iter().map(|a| a.host.clone()).collect(),
        };
        let host = if self.may_send(&request) { self.select_host(requirements) } else { None };
        let is_sent = host.is_some();
        if let Some(host) = host {
            let idle_bucket = self.prepare_connection(&host, actions);
            let class = &self.settings.classes[request.class];
            let cold_tokens = self
                .hosts
                .get(&host)
                .filter(|h| self.warm_fraction(h) < 1.0)
                .map(|h| self.available_cold_tokens(h));
            let (mut zone, mut group) = (String::new(), 0);
            if let Some(h) = self.hosts.get_mut(&host) {
                (zone, group) = (h.zone.clone(), h.group);
                (h.in_flight_work, h.in_flight) = (h.in_flight_work + work, h.in_flight + 1);
                match cold_tokens {
                    Some(tokens) => (h.cold_tokens, h.cold_tokens_at) = (tokens - work, now),
                    None => self.warm_work_rate.add(now, work, WORK_RATE_SECS),
                }
            }
            let time_left = request.deadline - now;
            let latency_target = class.latency_target.as_secs_f64();
            let to_target = request.arrived_at + latency_target - TARGET_MARGIN_SECS - now;
            let patience = (PATIENCE_LATENCIES * work).max(MIN_PATIENCE_FRACTION * latency_target);
            let is_repeatable = class.idempotency == Idempotency::Repeatable;
            let has_attempts_left = is_repeatable && request.max_attempts > request.attempts.len() + 1;
            let may_retry = has_attempts_left && self.retry_tokens >= 1.0 && patience + work < to_target;
            request.hedge_at = f64::INFINITY;
            if may_retry && self.settings.may_hedge && request.attempts.is_empty() {
                request.hedge_at = now + patience;
                self.hedge_timers.push(Reverse((micros(request.hedge_at), id.clone())));
            }
            let timeout = if may_retry && !self.settings.may_hedge { patience } else { to_target };
            // A class with value after its latency target waits until the client gives up.
            let has_timeout = timeout > 0.0
                && timeout < time_left
                && (timeout < to_target || class.late_value_fraction <= 0.0);
            let timeout = has_timeout.then(|| duration(timeout));
            actions.push(Action::Send { id: id.clone(), host: host.clone(), timeout });
            request.attempts.push(Attempt {
                host,
                is_in_flight: true,
                may_have_run: false,
                sent_at: now,
                work,
                zone,
                group,
                idle_bucket,
            });
            self.in_flight += 1;
            self.change_in_flight(&request.customer.clone(), 1.0);
        }
        self.requests.insert(id.clone(), request);
        is_sent
    }

    /// Whether a request may have another attempt, by its answer, its deadline and the idempotency of its class.
    pub(super) fn may_send(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let has_in_flight = request.attempts.iter().any(|a| a.is_in_flight);
        let may_have_run = request.attempts.iter().filter(|a| a.may_have_run || a.is_in_flight);
        if request.is_answered
            || request.deadline <= self.now
            || request.attempts.len() >= request.max_attempts
        {
            return false;
        }
        let may_hedge = self.settings.may_hedge && class.idempotency == Idempotency::Repeatable;
        if has_in_flight && !may_hedge {
            return false;
        }
        let first_sent_at = may_have_run.map(|a| a.sent_at).fold(f64::INFINITY, f64::min);
        match class.idempotency {
            Idempotency::Repeatable => true,
            Idempotency::ByKey(_) => {
                self.now + KEY_RETENTION_MARGIN_SECS < first_sent_at + class.key_retention.as_secs_f64()
            }
            Idempotency::Once => first_sent_at == f64::INFINITY,
        }
    }

    /// Retries a request that has no attempt in flight, or answers it.
    pub(super) fn retry_or_answer(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.settings.classes[request.class];
        let has_value = self.now < request.arrived_at + class.latency_target.as_secs_f64()
            || class.late_value_fraction > 0.0;
        let is_repeatable = class.idempotency == Idempotency::Repeatable;
        if has_value && self.retry_tokens >= 1.0 && self.send_attempt(id, actions) {
            self.retry_tokens -= 1.0;
            return;
        }
        let (id, Some(request)) = (id.clone(), self.requests.remove(id)) else { return };
        // A request that may run again is refused, so that its client receives a `Retry-After`.
        let may_have_run = !is_repeatable && request.attempts.iter().any(|a| a.may_have_run);
        let answer = if may_have_run { Action::Fail { id } } else { self.refusal(id, self.mean_latency()) };
        actions.push(answer);
    }

    /// Handles [`Event::AttemptFinished`].
    pub(super) fn on_attempt_finished(&mut self, event: Event, actions: &mut Actions) {
        let Event::AttemptFinished { id, attempt, host, ending, request_done, elapsed, cost, metered } =
            event
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(attempt as usize).filter(|a| a.is_in_flight);
        let Some(attempt) = attempt else { return };
        (attempt.is_in_flight, attempt.may_have_run) = (false, !ending.never_ran());
        let (work, idle_bucket) = (attempt.work, attempt.idle_bucket);
        let (class, units, customer) = (request.class, request.units, request.customer.clone());
        let is_ok = ending == Ending::Ok;
        let settles = is_ok && !std::mem::replace(&mut request.is_settled, is_ok);
        request.is_answered |= request_done;
        let is_answered = request.is_answered;
        let has_in_flight = request.attempts.iter().any(|a| a.is_in_flight);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(h) = self.hosts.get_mut(&host) {
            h.in_flight = h.in_flight.saturating_sub(1);
            h.in_flight_work = if h.in_flight == 0 { 0.0 } else { (h.in_flight_work - work).max(0.0) };
        }
        let latency = elapsed.as_secs_f64();
        self.record_outcome(&host, class, ending, (latency, work));
        self.record_connection_outcome(&host, idle_bucket, ending, actions);
        self.change_in_flight(&customer, -1.0);
        if let Some((c, metered)) = self.customers.get_mut(&customer).zip(metered) {
            c.quota_share.record_metered(self.now, metered);
        }
        if is_ok {
            self.answer_rate.add(self.now, 1.0, ANSWER_RATE_SECS);
            let stats = &mut self.class_stats[class];
            let weight = (1.0 / stats.answers).max(MIN_CLASS_STATS_WEIGHT);
            stats.latency += weight * (latency - stats.latency);
            stats.units += weight * (units.max(1.0) - stats.units);
            stats.answers += 1.0;
        } else if ending == Ending::Timeout {
            self.timeout_rate.add(self.now, 1.0, ANSWER_RATE_SECS);
        }
        if settles && self.settings.units_are_estimates && cost > 0.0 {
            self.roll_window(&customer);
            self.charge(&customer, sanitize(cost).min(self.settings.max_units.max(1.0)) - units);
        }
        self.schedule(&customer);
        if is_answered {
            self.finish(&id, actions);
        } else if !has_in_flight {
            self.retry_or_answer(&id, actions);
        }
    }

    /// Ends an answered request: cancels the attempts in flight, and removes the request once there are none.
    pub(super) fn finish(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(id) else { return };
        (request.is_answered, request.hedge_at) = (true, f64::INFINITY);
        if request.attempts.iter().all(|a| !a.is_in_flight) {
            self.requests.remove(id);
        } else if self.settings.may_cancel {
            for (number, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.is_in_flight) {
                actions.push(Action::Cancel { id: id.clone(), attempt: number as u32 });
            }
        }
    }

    /// Sends the first attempt of a request that is within its quotas, unless the gateway is overloaded. A request that
    /// is not sent is removed.
    pub(super) fn dispatch(&mut self, id: &RequestId, actions: &mut Actions) -> Admission {
        let Some(request) = self.requests.get(id) else { return Err(0.0) };
        let (customer, class, units) = (request.customer.clone(), request.class, request.units);
        let time_left = request.deadline - self.now;
        let plan = self.customers.get(&customer).map_or(0, |c| c.plan);
        if self.is_overloaded(class, self.settings.plans[plan].price, units, time_left)
            || !self.send_attempt(id, actions)
        {
            self.requests.remove(id);
            // What is in flight now has ended by then.
            return Err(self.mean_latency());
        }
        self.fits_ceiling(&customer, units, true);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(MAX_RETRY_TOKENS);
        Ok(())
    }

    /// Decides a request that was held for an answer of the counter: by the total if `has_total`, otherwise by its
    /// admission probability. `cost` was charged when the counter was called and is taken back if the request is not
    /// sent within the quota.
    pub(super) fn decide_held_request(
        &mut self,
        id: &RequestId,
        customer: &CustomerId,
        cost: f64,
        has_total: bool,
        actions: &mut Actions,
    ) {
        self.roll_window(customer);
        let Some(c) = self.customers.get_mut(customer) else { return };
        let plan = c.plan;
        let held =
            self.requests.get(id).filter(|r| r.attempts.is_empty()).map(|r| (r.units, r.admit_probability));
        let is_within = c.spent() <= c.limit(&self.settings.plans[plan], self.now);
        let fits = held.is_some_and(|(_, probability)| match has_total {
            true => is_within,
            false => self.rng.f64() < probability,
        });
        let mut is_sent = false;
        if let Some((units, _)) = held {
            self.requests.entry(id.clone()).and_modify(|r| r.is_settled = !fits);
            let may_send = (fits || self.admits_excess(plan)) && self.fits_ceiling(customer, units, false);
            is_sent = may_send && self.dispatch(id, actions).is_ok();
        }
        if held.is_some() && !is_sent {
            self.requests.remove(id);
            actions.push(self.refusal(id.clone(), self.mean_latency()));
        }
        if !(fits && is_sent) {
            self.add_unsynced(customer, -cost);
            self.customers.entry(customer.clone()).and_modify(|c| c.sync_at = self.now);
        }
        self.send_due_syncs(customer, actions);
    }
}
