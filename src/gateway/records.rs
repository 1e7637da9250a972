//! Bookkeeping around the decisions: a gateway at its start, the host list, calls that are out, customers by when they
//! are due. Nothing here decides.
use crate::gateway::attempts::{RETRY, SEEN_PRIOR};
use crate::gateway::choice::HEALTH_FADE;
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::upkeep::TICK;
use crate::gateway::window::PACE_FIRST;
use std::cmp::Reverse;
use std::time::Duration;

const IDLE: f64 = 60.0; // a customer not seen for this long, and with a full ceiling, is forgotten

impl Gateway {
    pub(super) fn call(&mut self, name: CounterKey, call: Call, amount: f64, window: f64, to: &mut Actions) {
        let keep = span((2.0 * window + 1.0).min(60.0));
        to.push(Action::AddToCounter { name: name.clone(), amount, ttl: keep });
        self.calls.entry(name).or_default().push_back(call);
    }

    pub(super) fn hosts_told(&mut self, scope: ListScope, entries: Vec<HostEntry>) {
        self.hosts.values_mut().for_each(|h| h.ready &= scope == ListScope::Update);
        let (now, mean) = (self.now, self.mean_latency());
        for e in entries {
            let ready = e.availability == Availability::Ready;
            let started = e.last_start.map(|t| t.as_secs_f64());
            let nominal = if e.nominal_capacity.is_finite() && e.nominal_capacity > 0.0 {
                e.nominal_capacity
            } else {
                1.0
            };
            let new = !self.hosts.contains_key(&e.host);
            let h = self.hosts.entry(e.host).or_default();
            if new || h.started != started {
                h.forget();
                // Not all gateways begin at once: each waits for its part of one request's share.
                (h.cold, h.cold_at) = (-self.rng.f64() * 0.5 * mean, now);
            }
            (h.zone, h.group, h.nominal_capacity, h.ready, h.started) =
                (e.zone, e.group, nominal, ready, started);
            h.kind = e.kind;
        }
        // What is known of a host outlives an empty list, or one that lost it for a moment.
        let fresh = |x: &Health| now - x.at < HEALTH_FADE;
        self.hosts.retain(|_, h| h.ready || h.out > 0 || h.health.iter().any(fresh));
        self.kinds.retain(|kind, _| self.hosts.values().any(|h| h.kind == *kind));
        self.table_until = now;
    }

    /// A gateway with these settings; the seed feeds its own generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut s = sane_settings(settings);
        // An unknown class is handled as one that must never run twice.
        let aim = s.classes.iter().map(|c| c.latency_target).max().unwrap_or(Duration::from_secs(1));
        s.classes.push(Class {
            name: String::new(),
            latency_target: aim,
            value: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::Once,
            key_retention: Duration::ZERO,
        });
        let seen = s.classes.iter().map(|c| c.first_guess(SEEN_PRIOR)).collect();
        Gateway {
            seen,
            pace: PACE_FIRST / f64::from(s.replicas),
            allowance: (1.0, 0.0),
            retries: RETRY.1,
            ..Gateway::blank(s, seed)
        }
    }

    pub(super) fn book(&mut self, id: &CustomerId, units: f64) {
        let Some(c) = self.customers.get_mut(id) else { return };
        (c.unsynced, c.own) = (c.unsynced + units, (c.own + units).max(0.0));
    }

    /// Queues a customer for when its next call is due, or for when the pace should have room.
    pub(crate) fn schedule(&mut self, id: &CustomerId) {
        let again = self.now + TICK.max(1.0 / self.pace.max(0.1));
        let Some(c) = self.customers.get_mut(id) else { return };
        let next = c.sync_at.min(c.open_at);
        let next = micros(if next <= self.now { again } else { next }).max(micros(self.now) + 1);
        if c.sync_at.min(c.open_at).is_finite() && next < c.queued.unwrap_or(u64::MAX) {
            c.queued = Some(next);
            self.due.push(Reverse((next, id.clone())));
        }
    }

    pub(super) fn sweep(&mut self) {
        let (now, s) = (self.now, &self.s);
        self.swept_at = now;
        self.customers.retain(|_, c| {
            let plan = &s.plans[c.plan];
            let fill = (plan.ceiling_burst + plan.ceiling_tolerance) / plan.ceiling_rate.max(1e-3);
            c.out > 0.0 || now - c.seen < IDLE.max(fill)
        });
    }
}
