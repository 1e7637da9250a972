//! The quota: each request is charged its cost against its customer's window, whose total over all gateways is kept by
//! the quota counter. This module does not select hosts.

use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::quota::share::QuotaLimits;
use crate::quota::{CallOutcome, CustomerWindow, LateTotal, Verdict, WindowSpan};

/// A customer is synced after this fraction of the time in which it would spend the rest of its quota, so that syncs
/// are dense near the limit.
const SYNC_TIME_FRACTION: f64 = 0.25;
/// Syncs per window and customer, at the least.
const MIN_SYNCS_PER_WINDOW: f64 = 4.0;
/// Interval between syncs of a customer in seconds, at the least. Within a few round trips the total hardly changes.
const MIN_SYNC_INTERVAL_SECS: f64 = 0.02;
/// A customer without a total is synced at once when it has spent this fraction of its share.
const FIRST_SYNC_SHARE: f64 = 0.5;
/// A total is stale after this fraction of the window, because other gateways have spent too much since.
const STALE_TOTAL_FRACTION: f64 = 0.34;
/// A total is also stale if the call rate delays the customer's next sync by more than this, in seconds.
const MAX_SYNC_DELAY_SECS: f64 = 0.1;
/// Calls per second over all gateways while the counter fails, so that charges are still reported at some time.
const MIN_CALL_RATE: f64 = 20.0;
/// Calls per second over all gateways before anything is known of the counter's capacity.
pub(super) const INITIAL_CALL_RATE: f64 = 500.0;
/// Calls per second over all gateways, at the most.
const MAX_CALL_RATE: f64 = 4000.0;
/// An answer in time raises the call rate by this many calls per second (additive increase).
const CALL_RATE_INCREMENT: f64 = 0.3;
/// Bound on that increase as a fraction of the call rate; it applies at low rates, where answers are few.
const MAX_CALL_RATE_GROWTH: f64 = 0.04;
/// The call rate is cut when more than this fraction of the last ten or so calls was late, lost or rejected.
const MAX_MISS_RATIO: f64 = 0.15;
/// Factor by which the call rate is cut (multiplicative decrease).
const CALL_RATE_CUT: f64 = 0.7;
/// Interval between cuts of the call rate in seconds, at the least. It is also the burst of the call rate's bucket.
const CALL_RATE_CUT_INTERVAL_SECS: f64 = 0.1;
/// Units that are sent to the counter are scaled by at most this factor to make up for units that are not sent.
const MAX_REPORT_FACTOR: f64 = 10.0;
/// Numerator of the factor on the admission probability where no total is known.
const ADMIT_GAIN: f64 = 1.44;
/// Added to a plan's excess cost in the denominator of that factor: plans whose excess is costly admit less.
const ADMIT_COST_OFFSET: f64 = 0.3;
/// Where no total is known, requests are admitted at random until the estimated usage exceeds the limit by this
/// fraction of the burst.
const ADMIT_MARGIN: f64 = 0.25;
/// Time constant of a customer's demand at this gateway, in seconds.
pub(super) const DEMAND_SECS: f64 = 20.0;
/// Delay after which a change of the attempts in flight is reported, in seconds. Shorter attempts do not justify a call.
pub(super) const CONCURRENCY_SYNC_SECS: f64 = 0.04;
/// Window of the concurrency counter in seconds. Each window starts at zero, which removes the attempts of gateways
/// that were killed.
pub(super) const CONCURRENCY_WINDOW_SECS: f64 = 4.0;
/// Time constant of the rates of work sent and of calls wanted, in seconds.
pub(super) const WORK_RATE_SECS: f64 = 1.5;

impl Customer {
    /// Units that the rate has added since the window began.
    pub(super) fn refilled(&self, plan: &Plan, now: f64) -> f64 {
        plan.rate * self.window_elapsed(plan, now)
    }

    /// Units that may be spent in the window by now: the opening balance and what the rate has added, but never more
    /// than the burst beyond what is spent.
    pub(super) fn limit(&self, plan: &Plan, now: f64) -> f64 {
        (self.opening_balance + self.refilled(plan, now)).min(self.spent() + plan.burst)
    }
}

impl Gateway {
    /// Window length in seconds: about burst over rate, identical at every gateway.
    pub(crate) fn window_secs(plan: &Plan) -> f64 {
        (plan.burst / plan.rate).clamp(0.5, 20.0)
    }

    /// Moves a customer to the current windows of its quota and of its concurrency limit. A new window starts without
    /// total and charges. Windows are aligned to the clock and shifted by the hash of the customer's name, so that they
    /// do not all begin at once.
    pub(super) fn roll_window(&mut self, id: &CustomerId) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id) else { return };
        let plan = &self.settings.plans[customer.plan];
        let window = (now / Self::window_secs(plan) + customer.window_offset).floor() as i64;
        if plan.rate > 0.0 && window != customer.window {
            // The new window starts with what the old one left or owes, as in the token bucket that the quota
            // describes. Without a known total, usage is estimated as if all gateways had the same demand.
            let span = (window - customer.window).clamp(1, 1000) as f64 * Self::window_secs(plan);
            let is_recent = customer.total_at > (now - span).max(customer.last_request_at - 0.5 * span);
            let is_known = customer.total.is_some() && is_recent || self.remote_usage.fresh_fraction >= 1.0;
            let own = customer.own_units.min(customer.demand.rate(now, DEMAND_SECS) * span);
            let estimate = customer.estimate_spent(plan, own, span, now);
            let length = Self::window_secs(plan);
            match is_known {
                true => customer.quota_share.learn_window(
                    length,
                    span / length - 1.0,
                    customer.own_units,
                    customer.spent(),
                ),
                false => customer.quota_share.decay(span / self.guard.settings().share_decay_secs),
            }
            let used =
                customer.quota_share.light_use(now, plan.rate).filter(|_| self.miss_ratio < MAX_MISS_RATIO);
            let window_span = WindowSpan {
                start: (customer.window as f64 - customer.window_offset) * length,
                length_secs: length,
            };
            self.guard.window_finished(now, || counter_key('q', id, customer.window), window_span, used);
            let spent = if is_known { customer.spent() } else { customer.spent().max(estimate) };
            // Units that were not sent because the counter fails are left out by the miss ratio: they do not show how
            // much the call rate leaves out.
            self.unreported_rate.add(
                now,
                customer.unsynced_units.max(0.0) * (1.0 - self.miss_ratio),
                DEMAND_SECS,
            );
            let left = customer.opening_balance + plan.rate * span - spent;
            customer.previous_remote_units =
                if window == customer.window + 1 { (spent - customer.own_units).max(0.0) } else { 0.0 };
            // Late charges to the old window first use up what exceeded the burst.
            customer.previous_remote_units += (left - plan.burst).clamp(0.0, plan.rate * length);
            customer.opening_balance = left.clamp(-plan.burst, plan.burst);
            (customer.window, customer.total, customer.sync_at) = (window, None, f64::INFINITY);
            (customer.unsynced_units, customer.calling_units, customer.own_units) = (0.0, 0.0, 0.0);
            (customer.remote_units, customer.predecessor_units) = (0.0, 0.0);
        }
        let concurrency_window = (now / CONCURRENCY_WINDOW_SECS + customer.window_offset).floor() as i64;
        if concurrency_window != customer.concurrency_window {
            // All attempts in flight are reported again. Those of a killed gateway remain in the old counter entry.
            (customer.concurrency_window, customer.reported_in_flight) = (concurrency_window, 0.0);
            customer.concurrency_sync_at =
                if customer.in_flight > 0.0 { now } else { customer.concurrency_sync_at };
        }
    }

    /// Whether a cost fits the quota: total, charges and cost must be within the limit. If the total is missing or
    /// stale (first sync, slow or failing counter), this gateway's own charges must also be within its share.
    ///
    /// `Err`: the counter must be asked first; the value is the admission probability if it does not answer.
    pub(super) fn fits_quota(&mut self, id: &CustomerId, cost: f64) -> Result<bool, f64> {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id) else { return Ok(false) };
        let plan = &self.settings.plans[customer.plan];
        if plan.rate <= 0.0 {
            return Ok(true);
        }
        let is_recent = now - customer.total_at <= STALE_TOTAL_FRACTION * Self::window_secs(plan);
        let lacks_total =
            self.guard.has_fault() && self.guard.lacks_total(&counter_key('q', id, customer.window));
        let is_fresh = customer.total.is_some()
            && is_recent
            && now - customer.sync_at <= MAX_SYNC_DELAY_SECS
            && !lacks_total;
        let limit = customer.limit(plan, now);
        let mut needs_sync = false;
        if is_fresh {
            // A full token bucket gains nothing: what the rate adds beyond the burst is lost.
            customer.opening_balance +=
                (limit - customer.opening_balance - customer.refilled(plan, now)).min(0.0);
        } else if customer.calling_units == 0.0 {
            needs_sync = customer.sync_at == f64::INFINITY;
            customer.sync_at = customer.sync_at.min(customer.last_sync_at + 4.0 * MIN_SYNC_INTERVAL_SECS);
        }
        let fits = customer.spent() + cost <= limit;
        // Without a fresh total the share is admitted, and beyond it a random part by the estimated remainder.
        let share = limit.max(0.0) * customer.quota_fraction(plan);
        let gain = ADMIT_GAIN / (ADMIT_COST_OFFSET + plan.excess_cost_fraction);
        let estimate =
            customer.estimate_spent(plan, customer.own_units, customer.window_elapsed(plan, now), now);
        let remainder = limit - estimate.max(customer.spent()) - cost;
        let probability = gain * (ADMIT_MARGIN + remainder / plan.burst.max(1e-9));
        let exceeds_share = fits && !is_fresh && customer.own_units + cost > share;
        let meter_confidence = customer.quota_share.meter_confidence(now);
        let is_share_small = share < cost.max(self.settings.max_units);
        // If the counter has no usable total, fresh replicas replace it; otherwise the customer is limited to its
        // allowance.
        let limits = QuotaLimits { rate: plan.rate, burst: plan.burst };
        let (max_units, demand) = (self.settings.max_units, customer.demand.rate(now, DEMAND_SECS));
        let is_limited = lacks_total
            && customer.quota_share.is_limited_to_allowance(
                now,
                demand,
                limits,
                customer.gateway_count,
                max_units,
            );
        let replicated =
            if lacks_total { self.remote_usage.quota_fraction(customer.gateway_count) } else { 0.0 };
        if is_fresh {
            customer.quota_share.reset_allowance(now);
        } else if replicated >= 1.0 || is_limited && replicated > 0.0 {
            customer.quota_share.reset_allowance(now);
            // The last units are admitted at random, because all gateways see them at once.
            return Ok(limit * replicated - customer.spent()
                >= cost * (self.rng.f64() * customer.gateway_count).max(1.0));
        } else if is_limited {
            let since = self.started_at.unwrap_or(now);
            let allowance =
                customer.quota_share.allowance(now, limits, customer.gateway_count, max_units, since);
            return Ok(fits && cost <= allowance);
        }
        let ask = exceeds_share
            && is_share_small
            && (probability < 1.0 || meter_confidence < 0.5)
            && self.settings.uses_counter;
        let ask = ask && self.guard.next_call_at(&counter_key('q', id, customer.window)) <= now;
        let ask = ask && self.draw_call() && self.take_call_token();
        let admit_probability = if is_share_small { probability } else { meter_confidence * probability };
        let fits = ask || fits && (!exceeds_share || self.rng.f64() < admit_probability);
        if ask || needs_sync && !self.draw_call() {
            self.customers.entry(id.clone()).and_modify(|customer| customer.sync_at = f64::INFINITY);
        }
        Some(fits).filter(|_| !ask).ok_or(probability)
    }

    /// Charges units to the customer's window and schedules the next sync.
    pub(super) fn charge(&mut self, id: &CustomerId, units: f64) {
        let (now, jitter) = (self.now, 0.8 + 0.4 * self.rng.f64());
        let Some(customer) = self.customers.get_mut(id) else { return };
        let plan = &self.settings.plans[customer.plan];
        if plan.rate <= 0.0 || units == 0.0 {
            return;
        }
        customer.unsynced_units += units;
        customer.own_units = (customer.own_units + units).max(0.0);
        customer.quota_share.spend_allowance(units);
        let is_known = customer.total.is_some()
            && now - customer.total_at <= STALE_TOTAL_FRACTION * Self::window_secs(plan);
        self.guard.record_admitted(|| counter_key('q', id, customer.window), units, is_known);
        let window = Self::window_secs(plan);
        let elapsed = customer.window_elapsed(plan, now).max(0.05);
        let (limit, spent) = (customer.limit(plan, now), customer.spent());
        let spending_rate = (spent / elapsed).max(plan.rate);
        let interval = (SYNC_TIME_FRACTION * (limit - spent).max(0.0) / spending_rate)
            .clamp(MIN_SYNC_INTERVAL_SECS, window / MIN_SYNCS_PER_WINDOW);
        let is_urgent = customer.total.is_none()
            && customer.own_units > FIRST_SYNC_SHARE * limit * customer.quota_fraction(plan);
        let delay = if is_urgent { 0.0 } else { interval * jitter };
        if customer.sync_at == f64::INFINITY && !self.draw_call() {
            return;
        }
        self.customers
            .entry(id.clone())
            .and_modify(|customer| customer.sync_at = customer.sync_at.min(now + delay));
    }

    /// Whether one more call may be scheduled: at random, if more calls are wanted than the call rate allows. Charges
    /// that are not reported before their window ends are made up for through `unreported_rate`.
    pub(super) fn draw_call(&mut self) -> bool {
        self.call_demand.add(self.now, 1.0, WORK_RATE_SECS);
        self.rng.f64() * self.call_demand.rate(self.now, WORK_RATE_SECS) < self.call_rate
    }

    /// Sends a customer's unsynced charges to the counter and requests the total. `held_request` is decided by the
    /// answer.
    pub(super) fn sync_units(
        &mut self,
        id: &CustomerId,
        held_request: Option<(RequestId, f64)>,
        actions: &mut Actions,
    ) {
        let Some(customer) = self.customers.get_mut(id) else { return };
        let window = Self::window_secs(&self.settings.plans[customer.plan]);
        (customer.sync_at, customer.last_sync_at) = (f64::INFINITY, self.now);
        let amount = std::mem::take(&mut customer.unsynced_units);
        customer.calling_units += amount;
        self.reported_rate.add(self.now, amount.max(0.0), DEMAND_SECS);
        // The amount also stands for charges that are never sent, so that totals have the right mean at any call rate.
        let unreported = self.unreported_rate.rate(self.now, DEMAND_SECS)
            / self.reported_rate.rate(self.now, DEMAND_SECS).max(1e-9);
        let amount = amount * (1.0 + unreported).min(MAX_REPORT_FACTOR);
        let name = counter_key('q', id, customer.window);
        let customer_window = CustomerWindow { customer: id.clone(), window: customer.window };
        let amount_sent = self.guard.call_sent(self.now, &name, customer_window, amount, 2.0 * window + 1.0);
        let call = PendingCall {
            customer: id.clone(),
            window: customer.window,
            amount,
            is_concurrency: false,
            held_request,
        };
        self.send_call(name, call, amount_sent, window, actions);
    }

    /// Handles the end of a call to the counter. An amount that may have been added is dropped; one that was certainly
    /// not added is sent again later. Calls that are lost, rejected or answered after half of their timeout cut the
    /// call rate.
    ///
    /// Returns the call and whether its total is usable.
    pub(super) fn on_counter_reply(
        &mut self,
        name: CounterKey,
        ending: Ending,
        total: f64,
        elapsed: f64,
    ) -> Option<(PendingCall, bool)> {
        let queue = self.pending_calls.get_mut(&name)?;
        let call = queue.pop_front()?;
        if queue.is_empty() {
            self.pending_calls.remove(&name);
        }
        let is_ok = ending == Ending::Ok && total.is_finite();
        let (now, replicas) = (self.now, f64::from(self.settings.replicas));
        let timeout = self.settings.counter_timeout.as_secs_f64();
        let is_late = elapsed > 0.5 * timeout;
        let verdict = match call.is_concurrency {
            true => Verdict::Withheld,
            false => {
                let outcome = CallOutcome { ending, total, timeout_fraction: elapsed / timeout };
                self.guard.call_finished(now, &name, call.amount, outcome)
            }
        };
        // A reset connection or an invalid answer does not indicate overload, nor does a single timeout of a counter
        // that otherwise answers promptly.
        let is_unrelated =
            ending == Ending::Reset || (ending == Ending::Timeout && self.guard.answers_promptly(now));
        self.miss_ratio += 0.1
            * (f64::from(u8::from(!is_ok || is_late)) - self.miss_ratio)
            * f64::from(u8::from(!is_unrelated));
        if is_ok && !is_late {
            self.was_answered_since_cut = true;
            // Slow start up to the rate at which calls last began to fail, then additive increase.
            let growth = match self.call_rate < self.call_rate_threshold {
                true => 1.0,
                false => MAX_CALL_RATE_GROWTH.min(CALL_RATE_INCREMENT / self.call_rate),
            };
            self.call_rate = (self.call_rate * (1.0 + growth)).min(MAX_CALL_RATE / replicas);
        } else if !is_unrelated
            && self.miss_ratio > MAX_MISS_RATIO
            && now - self.call_rate_cut_at > CALL_RATE_CUT_INTERVAL_SECS
        {
            // The threshold follows only a counter that answered some calls: one that answers none shows no capacity.
            if std::mem::take(&mut self.was_answered_since_cut) {
                self.call_rate_threshold = self.call_rate * CALL_RATE_CUT;
            }
            self.call_rate = (self.call_rate * CALL_RATE_CUT).max(MIN_CALL_RATE / replicas);
            self.call_rate_cut_at = now;
        }
        let customer = self.customers.get_mut(&call.customer)?;
        if call.is_concurrency {
            customer.is_concurrency_calling = false;
            if call.window == customer.concurrency_window && is_ok {
                (customer.remote_in_flight, customer.remote_in_flight_at) =
                    ((total - customer.reported_in_flight).max(0.0), now);
            } else if call.window == customer.concurrency_window && ending.never_ran() {
                customer.reported_in_flight -= call.amount;
                customer.concurrency_sync_at = now + CONCURRENCY_SYNC_SECS;
            }
        }
        if call.is_concurrency || call.window != customer.window {
            return Some((call, false));
        }
        customer.calling_units = (customer.calling_units - call.amount).max(0.0);
        match verdict {
            Verdict::Total(total) => (customer.total, customer.total_at) = (Some(total), now),
            Verdict::NotAdded => customer.unsynced_units += call.amount,
            Verdict::Withheld | Verdict::Undetermined => {}
        }
        let sync_at = match is_ok && !self.guard.wants_call(&name) {
            true => f64::INFINITY,
            false => now + 4.0 * MIN_SYNC_INTERVAL_SECS,
        };
        customer.sync_at = customer.sync_at.min(sync_at);
        Some((call, matches!(verdict, Verdict::Total(_))))
    }

    /// Handles the answer to a call that had timed out: its total is a lower bound on what is spent.
    pub(super) fn on_late_counter_reply(&mut self, name: CounterKey, total: f64, elapsed: f64) {
        let now = self.now;
        let Some(LateTotal { customer_window, min_spent }) = self.guard.late_answer(now, &name, total) else {
            return;
        };
        let Some(customer) = self
            .customers
            .get_mut(&customer_window.customer)
            .filter(|customer| customer.window == customer_window.window)
        else {
            return;
        };
        customer.total = Some(customer.total.map_or(min_spent, |t| t.max(min_spent)));
        customer.total_at = customer.total_at.max(now - elapsed);
    }

    /// Takes a token for a call to the counter, if there is one. The counter's capacity is unknown, so the rate of this
    /// token bucket follows additive increase and multiplicative decrease. Charges that get no token are sent with the
    /// next call.
    pub(super) fn take_call_token(&mut self) -> bool {
        let tokens = self.call_tokens + self.call_rate * (self.now - self.call_tokens_at);
        let tokens = tokens.min(1.0 + self.call_rate * CALL_RATE_CUT_INTERVAL_SECS);
        let is_taken = tokens >= 1.0;
        self.call_tokens = tokens - f64::from(u8::from(is_taken));
        self.call_tokens_at = self.now;
        is_taken
    }

    /// Sends the calls of a customer that are due and that the call rate allows, and schedules the next ones.
    pub(super) fn send_due_syncs(&mut self, id: &CustomerId, actions: &mut Actions) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(id).filter(|_| self.settings.uses_counter) else {
            return;
        };
        if customer.sync_at <= now {
            customer.sync_at =
                customer.sync_at.max(self.guard.next_call_at(&counter_key('q', id, customer.window)));
        }
        let (units_due, concurrency_due) = (customer.sync_at <= now, customer.concurrency_sync_at <= now);
        if units_due && self.take_call_token() {
            self.sync_units(id, None, actions);
        }
        if concurrency_due && self.take_call_token() {
            self.sync_concurrency(id, actions);
        }
        self.schedule(id);
    }
}
