//! Attempts: what the class allows, within the time and the retry budget; one final answer. It must never
//! send again what may have run and must not run twice.
use crate::gateway::interface::*;
use crate::gateway::rules::{Actions, Fate};
use crate::gateway::state::*;
use crate::gateway::window::FLOW_S;
use std::cmp::Reverse;

const PATIENCE: f64 = 8.0; // an attempt is given up or copied after this many times its expected latency...
const PATIENCE_AIM: f64 = 0.25; // ...but no sooner than this part of the aim
pub(super) const RETRY: (f64, f64) = (0.15, 10.0); // retry budget: further attempts per first one; at once
const AIM_MARGIN: f64 = 0.004; // an attempt ends this much before an aim past which nothing is earned
pub(super) const DONE_S: f64 = 4.0; // time constant of the answers a second: some ten
const SEEN_ALPHA: f64 = 0.02; // least weight of the newest answer in a class's latency and units...
pub(crate) const SEEN_PRIOR: f64 = 4.0; // ...as the first guess counts for no more than so many answers

impl Gateway {
    /// Sends a request's next attempt, if the rules and the hosts allow one.
    pub(super) fn send(&mut self, id: &RequestId, actions: &mut Actions) -> bool {
        let now = self.now;
        let Some(mut r) = self.requests.remove(id) else { return false };
        let work = self.expected(r.class, r.units);
        let bound = r.attempts.iter().find(|a| a.may_have_run || a.out).map(|a| (a.zone.clone(), a.group));
        let tried = r.attempts.iter().map(|a| a.host.clone()).collect();
        let need = Need { class: r.class, work, bound, tried };
        let host = if self.may_send(&r) { self.pick(need) } else { None };
        let sent = host.is_some();
        if let Some(host) = host {
            let idle = self.connect(&host, actions);
            let class = &self.s.classes[r.class];
            let cold = self.hosts.get(&host).filter(|h| self.warmth(h) < 1.0).map(|h| self.cold_level(h));
            let (mut zone, mut group) = (String::new(), 0);
            if let Some(h) = self.hosts.get_mut(&host) {
                (zone, group) = (h.zone.clone(), h.group);
                (h.work, h.out) = (h.work + work, h.out + 1);
                match cold {
                    Some(level) => (h.cold, h.cold_at) = (level - work, now),
                    None => self.sent.add(now, work, FLOW_S),
                }
            }
            let left = r.deadline - now;
            let to_aim = r.arrived + class.latency_target.as_secs_f64() - AIM_MARGIN - now;
            let patience = (PATIENCE * work).max(PATIENCE_AIM * class.latency_target.as_secs_f64());
            let repeatable = class.idempotency == Idempotency::Repeatable;
            let again = repeatable && r.most > r.attempts.len() + 1;
            let spare = again && self.retries >= 1.0 && patience + work < to_aim;
            r.copy_at = f64::INFINITY;
            if spare && self.s.may_hedge && r.attempts.is_empty() {
                r.copy_at = now + patience;
                self.copies.push(Reverse((micros(r.copy_at), id.clone())));
            }
            let timeout = if spare && !self.s.may_hedge { patience } else { to_aim };
            // Where lateness earns something, wait until the client gives up.
            let cut =
                timeout > 0.0 && timeout < left && (timeout < to_aim || class.late_value_fraction <= 0.0);
            let timeout = cut.then(|| span(timeout));
            actions.push(Action::Send { id: id.clone(), host: host.clone(), timeout });
            let (out, may_have_run, sent) = (true, false, now);
            r.attempts.push(Attempt { host, out, may_have_run, sent, work, zone, group, idle });
            self.out += 1;
            self.opened(&r.customer.clone(), 1.0);
        }
        self.requests.insert(id.clone(), r);
        sent
    }

    /// The idempotency table, exactly.
    pub(super) fn may_send(&self, r: &Request) -> bool {
        let class = &self.s.classes[r.class];
        let out = r.attempts.iter().any(|a| a.out);
        let ran = r.attempts.iter().filter(|a| a.may_have_run || a.out);
        if r.over || r.deadline <= self.now || r.attempts.len() >= r.most {
            return false;
        }
        if out && (!self.s.may_hedge || class.idempotency != Idempotency::Repeatable) {
            return false;
        }
        let first = ran.map(|a| a.sent).fold(f64::INFINITY, f64::min);
        match class.idempotency {
            Idempotency::Repeatable => true,
            // A margin for the way there: the host counts from when it saw the key.
            Idempotency::ByKey(_) => self.now + 0.1 < first + class.key_retention.as_secs_f64(),
            Idempotency::Once => first == f64::INFINITY,
        }
    }

    /// No attempt is out and the client is owed an answer: try again or end it.
    pub(super) fn again(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(r) = self.requests.get(id) else { return };
        let class = &self.s.classes[r.class];
        let in_time =
            self.now < r.arrived + class.latency_target.as_secs_f64() || class.late_value_fraction > 0.0;
        let repeatable = class.idempotency == Idempotency::Repeatable;
        if in_time && self.retries >= 1.0 && self.send(id, actions) {
            self.retries -= 1.0;
            return;
        }
        let (id, Some(r)) = (id.clone(), self.requests.remove(id)) else { return };
        // What may run again is given up with a refusal: its client hears when to come back.
        let spent = !repeatable && r.attempts.iter().any(|a| a.may_have_run);
        let answer = if spent { Action::Fail { id } } else { self.refuse(id, self.mean_latency()) };
        actions.push(answer);
    }

    pub(super) fn outcome(&mut self, e: Event, actions: &mut Actions) {
        let Event::AttemptFinished {
            id,
            attempt,
            host,
            ending,
            request_done: done,
            elapsed: delay,
            cost,
            metered,
        } = e
        else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        (a.out, a.may_have_run) = (false, !ending.never_ran());
        let (work, class, units, idle, customer) = (a.work, r.class, r.units, a.idle, r.customer.clone());
        let settle = ending == Ending::Ok && !std::mem::replace(&mut r.settled, ending == Ending::Ok);
        r.over |= done;
        let (over, out) = (r.over, r.attempts.iter().any(|a| a.out));
        self.out = self.out.saturating_sub(1);
        if let Some(h) = self.hosts.get_mut(&host) {
            h.out = h.out.saturating_sub(1);
            h.work = if h.out == 0 { 0.0 } else { (h.work - work).max(0.0) };
        }
        self.judge(&host, class, ending, (delay.as_secs_f64(), work));
        self.connection(&host, idle, ending, actions);
        self.opened(&customer, -1.0);
        if let Some((c, told)) = self.customers.get_mut(&customer).zip(metered) {
            c.share.record_metered(self.now, told);
        }
        if ending == Ending::Ok {
            self.done.add(self.now, 1.0, DONE_S);
            let (latency, mean, count) = &mut self.seen[class];
            let weight = (1.0 / *count).max(SEEN_ALPHA);
            *latency += weight * (delay.as_secs_f64() - *latency);
            *mean += weight * (units.max(1.0) - *mean);
            *count += 1.0;
        } else if ending == Ending::Timeout {
            self.lost.add(self.now, 1.0, DONE_S);
        }
        if settle && self.s.units_are_estimates && cost > 0.0 {
            self.turn(&customer);
            self.charge(&customer, sane(cost).min(self.s.max_units.max(1.0)) - units);
        }
        self.schedule(&customer);
        if over {
            self.finish(&id, actions);
        } else if !out {
            self.again(&id, actions);
        }
    }

    /// The request is over: call off what is still out, forget it once nothing is.
    pub(super) fn finish(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(r) = self.requests.get_mut(id) else { return };
        (r.over, r.copy_at) = (true, f64::INFINITY);
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(id);
        } else if self.s.may_cancel {
            for (number, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                actions.push(Action::Cancel { id: id.clone(), attempt: number as u32 });
            }
        }
    }

    pub(super) fn proceed(&mut self, id: &RequestId, to: &mut Actions) -> Fate {
        let Some(r) = self.requests.get(id) else { return Err(0.0) };
        let (customer, class, units, left) = (r.customer.clone(), r.class, r.units, r.deadline - self.now);
        let plan = self.customers.get(&customer).map_or(0, |c| c.plan);
        if self.pressed(class, self.s.plans[plan].price, units, left) || !self.send(id, to) {
            self.requests.remove(id);
            return Err(self.mean_latency()); // what is out now has ended by then
        }
        self.ceiling_takes(&customer, units, true);
        self.retries = (self.retries + RETRY.0).min(RETRY.1);
        Ok(())
    }

    /// The counter has answered for a request that was asked first, or not: then its chance decides.
    pub(super) fn told(
        &mut self,
        id: &RequestId,
        customer: &CustomerId,
        cost: f64,
        ok: bool,
        to: &mut Actions,
    ) {
        self.turn(customer);
        let Some(c) = self.customers.get_mut(customer) else { return };
        let plan = c.plan;
        let waits = self.requests.get(id).filter(|r| r.attempts.is_empty()).map(|r| (r.units, r.chance));
        let within = c.spent() <= c.limit(&self.s.plans[plan], self.now);
        let inside = waits.is_some_and(|w| if ok { within } else { self.rng.f64() < w.1 });
        let mut sent = false;
        if let Some((units, _)) = waits {
            self.requests.entry(id.clone()).and_modify(|r| r.settled = !inside);
            let may = (inside || self.spare(plan)) && self.ceiling_takes(customer, units, false);
            sent = may && self.proceed(id, to).is_ok();
        }
        if waits.is_some() && !sent {
            self.requests.remove(id);
            to.push(self.refuse(id.clone(), self.mean_latency()));
        }
        if !(inside && sent) {
            self.book(customer, -cost);
            self.customers.entry(customer.clone()).and_modify(|c| c.sync_at = self.now);
        }
        self.flush_syncs(customer, to);
    }
}
