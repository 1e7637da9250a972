//! Bookkeeping around the decisions: the initial state, the host list, calls in flight and the schedule of customers.
//! Nothing here decides.

use crate::gateway::attempts::{INITIAL_ANSWERS, MAX_RETRY_TOKENS};
use crate::gateway::choice::FAILURE_DECAY_SECS;
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::upkeep::TICK_SECS;
use crate::gateway::window::INITIAL_CALL_RATE;
use std::cmp::Reverse;
use std::time::Duration;

/// A customer without requests for this time, in seconds, and with a full ceiling is forgotten.
const CUSTOMER_IDLE_SECS: f64 = 60.0;
/// Time to live of a counter entry in seconds, at the most.
const MAX_COUNTER_TTL_SECS: f64 = 60.0;

impl Gateway {
    /// Sends a call to the counter and records it as pending. `amount` is what the counter adds and `window_secs` the
    /// length of the entry's window.
    pub(super) fn send_call(
        &mut self,
        name: CounterKey,
        call: PendingCall,
        amount: f64,
        window_secs: f64,
        actions: &mut Actions,
    ) {
        let ttl = duration((2.0 * window_secs + 1.0).min(MAX_COUNTER_TTL_SECS));
        actions.push(Action::AddToCounter { name: name.clone(), amount, ttl });
        self.pending_calls.entry(name).or_default().push_back(call);
    }

    /// Applies a host list or changes to it.
    pub(super) fn update_hosts(&mut self, scope: ListScope, entries: Vec<HostEntry>) {
        self.hosts.values_mut().for_each(|h| h.is_ready &= scope == ListScope::Update);
        let (now, mean_latency) = (self.now, self.mean_latency());
        for entry in entries {
            let is_ready = entry.availability == Availability::Ready;
            let started_at = entry.last_start.map(|t| t.as_secs_f64());
            let nominal_capacity = if entry.nominal_capacity.is_finite() && entry.nominal_capacity > 0.0 {
                entry.nominal_capacity
            } else {
                1.0
            };
            let is_new = !self.hosts.contains_key(&entry.host);
            let host = self.hosts.entry(entry.host).or_default();
            if is_new || host.started_at != started_at {
                host.reset();
                // A random start keeps the gateways from sending a new host their first requests all at once.
                (host.cold_tokens, host.cold_tokens_at) = (-self.rng.f64() * 0.5 * mean_latency, now);
            }
            (host.zone, host.group, host.kind) = (entry.zone, entry.group, entry.kind);
            (host.nominal_capacity, host.is_ready, host.started_at) =
                (nominal_capacity, is_ready, started_at);
        }
        // Hosts with recent outcomes are kept, so that their failures outlast a list that is empty or lacks them for a
        // moment.
        let is_recent = |x: &FailureStats| now - x.updated_at < FAILURE_DECAY_SECS;
        self.hosts.retain(|_, h| h.is_ready || h.in_flight > 0 || h.class_failures.iter().any(is_recent));
        self.kind_slowness.retain(|kind, _| self.hosts.values().any(|h| h.kind == *kind));
        self.draw_tables_valid_until = now;
    }

    /// A gateway with these settings. `seed` determines its random decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut settings = sanitize_settings(settings);
        // Requests of an unknown class are executed at most once.
        let latency_target =
            settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(Duration::from_secs(1));
        settings.classes.push(Class {
            name: String::new(),
            latency_target,
            value: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::Once,
            key_retention: Duration::ZERO,
        });
        let class_stats = settings.classes.iter().map(|c| c.initial_stats(INITIAL_ANSWERS)).collect();
        Gateway {
            class_stats,
            call_rate: INITIAL_CALL_RATE / f64::from(settings.replicas),
            call_tokens: 1.0,
            call_tokens_at: 0.0,
            retry_tokens: MAX_RETRY_TOKENS,
            ..Gateway::blank(settings, seed)
        }
    }

    /// Adds units to a customer's charges without scheduling a sync.
    pub(super) fn add_unsynced(&mut self, id: &CustomerId, units: f64) {
        let Some(c) = self.customers.get_mut(id) else { return };
        (c.unsynced_units, c.own_units) = (c.unsynced_units + units, (c.own_units + units).max(0.0));
    }

    /// Schedules a customer for its next call. One that is overdue is scheduled for when the call rate should permit a
    /// call.
    pub(crate) fn schedule(&mut self, id: &CustomerId) {
        let retry_at = self.now + TICK_SECS.max(1.0 / self.call_rate.max(0.1));
        let Some(c) = self.customers.get_mut(id) else { return };
        let next = c.sync_at.min(c.concurrency_sync_at);
        let next_us = micros(if next <= self.now { retry_at } else { next }).max(micros(self.now) + 1);
        if next.is_finite() && next_us < c.timer_us.unwrap_or(u64::MAX) {
            c.timer_us = Some(next_us);
            self.customer_timers.push(Reverse((next_us, id.clone())));
        }
    }

    /// Removes customers that had no request for long, have no attempt in flight and whose ceiling is full again.
    pub(super) fn remove_idle_customers(&mut self) {
        let (now, settings) = (self.now, &self.settings);
        self.swept_at = now;
        self.customers.retain(|_, c| {
            let plan = &settings.plans[c.plan];
            let refill_secs = (plan.ceiling_burst + plan.ceiling_tolerance) / plan.ceiling_rate.max(1e-3);
            c.in_flight > 0.0 || now - c.last_request_at < CUSTOMER_IDLE_SECS.max(refill_secs)
        });
    }
}
