//! The quota: each request is charged its cost against its customer's global window total, which is told to
//! the counter and read from it. It must never decide where a request goes.
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::quota::share::QuotaLimits;
use crate::quota::{CallOutcome, CustomerWindow, LateTotal, Verdict, WindowSpan};

const SYNC_PART: f64 = 0.25; // sync after this part of the time that the rest lasts: dense near the limit
const SYNCS_A_WINDOW: f64 = 4.0; // several syncs a window, at the least...
const SYNC_MIN: f64 = 0.02; // ...but no closer: within a few round trips a total tells nothing new
const SOON_PART: f64 = 0.5; // past this part of its share a first total is wanted at once
const STALE_PART: f64 = 0.34; // a total older than this part of a window says too little of the others
const PACE_LEAST: f64 = 20.0; // calls a second over all gateways while the counter fails: it always drains...
pub(super) const PACE_FIRST: f64 = 500.0; // ...before anything is known of it...
const PACE_MOST: f64 = 4000.0; // ...and at the most
const PACE_UP: f64 = 0.3; // an answer in time adds so many calls a second...
const PACE_GROW: f64 = 0.04; // ...but no more than this part of the pace, where answers are few
const PACE_MISS: f64 = 0.15; // share of calls late, lost or turned away, about the last ten, past which...
const PACE_CUT: f64 = 0.7; // ...the pace is cut to this part...
const PACE_CUT_S: f64 = 0.1; // ...once in so long
const UNTOLD_MOST: f64 = 10.0; // told charges stand for so many untold ones at the most
const SHARE_GAIN: (f64, f64) = (1.44, 0.3); // shares: the first over second and cost beyond
const ROOM_LEAST: f64 = 0.25; // where no total tells, requests are drawn from so far beyond the guessed room
pub(super) const ASKED_S: f64 = 20.0; // time constant of what a customer asks at this gateway
const OVERDUE: f64 = 0.1; // ...and so does one whose next sync the pace holds back for this long
pub(super) const OPEN_TELL: f64 = 0.04; // attempts shorter than this are not worth a call
pub(super) const OPEN_WINDOW: f64 = 4.0; // attempts out are re-stated this often: what the dead left goes
pub(super) const FLOW_S: f64 = 1.5; // time constant of the rates of work sent and done

impl Customer {
    /// What the rate adds by now in this window.
    pub(super) fn added(&self, plan: &Plan, now: f64) -> f64 {
        plan.rate * self.elapsed(plan, now)
    }

    /// What may be spent in this window by now: what was left at its start and what the rate added, and never
    /// more than the burst on top of what is spent.
    pub(super) fn limit(&self, plan: &Plan, now: f64) -> f64 {
        (self.store + self.added(plan, now)).min(self.spent() + plan.burst)
    }
}

impl Gateway {
    /// Window length: about burst over rate, the same at every gateway.
    pub(crate) fn window_s(plan: &Plan) -> f64 {
        (plan.burst / plan.rate).clamp(0.5, 20.0)
    }

    /// Turns to the window of now; a new one restarts total and charges at nought. Windows are aligned on the
    /// clock, shifted by the customer's name: the heaviest do not all start at once.
    pub(super) fn turn(&mut self, id: &CustomerId) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id) else { return };
        let plan = &self.s.plans[c.plan];
        let window = (now / Self::window_s(plan) + c.phase).floor() as i64;
        if plan.rate > 0.0 && window != c.window {
            // Carry: what the last window took beyond the rate is owed, what it left is there to spend,
            // as in the store that the quota is. No total known: as if every gateway were asked alike.
            let turns = (window - c.window).clamp(1, 1000) as f64 * Self::window_s(plan);
            let told = c.told_at > (now - turns).max(c.seen - 0.5 * turns);
            let known = c.total.is_some() && told || self.elsewhere.fresh >= 1.0;
            let guess = c.guess(plan, c.own.min(c.asked.rate(now, ASKED_S) * turns), turns, now);
            let length = Self::window_s(plan);
            match known {
                true => c.share.learn_window(length, turns / length - 1.0, c.own, c.spent()),
                false => c.share.decay(turns / self.guard.settings().share_decay_secs),
            }
            let used = c.share.light_use(now, plan.rate).filter(|_| self.misses < PACE_MISS);
            let span = WindowSpan { start: (c.window as f64 - c.phase) * length, length_secs: length };
            self.guard.window_finished(now, || count_name('q', id, c.window), span, used);
            let spent = if known { c.spent() } else { c.spent().max(guess) };
            // What a silent counter was not told says nothing of how much the pace leaves out.
            self.untold.add(now, c.unsynced.max(0.0) * (1.0 - self.misses), ASKED_S);
            let left = c.store + plan.rate * turns - spent;
            c.earlier = if window == c.window + 1 { (spent - c.own).max(0.0) } else { 0.0 };
            c.earlier += (left - plan.burst).clamp(0.0, plan.rate * length); // what went over the brim
            c.store = left.clamp(-plan.burst, plan.burst);
            (c.window, c.total, c.sync_at) = (window, None, f64::INFINITY);
            (c.unsynced, c.calling, c.own, c.elsewhere, c.former) = (0.0, 0.0, 0.0, 0.0, 0.0);
        }
        let open_window = (now / OPEN_WINDOW + c.phase).floor() as i64;
        if open_window != c.open_window {
            // Re-state the attempts out: what a killed gateway left in the old count is gone with it.
            (c.open_window, c.open_told) = (open_window, 0.0);
            c.open_at = if c.out > 0.0 { now } else { c.open_at };
        }
    }

    /// Does a cost fit the window? Total, charges and cost within the limit; where the total is missing or
    /// stale (first sync, a silent or slow counter) the gateway's own charges within its share as well.
    /// `Err`: to be asked of the counter first, with the chance where it does not answer.
    pub(super) fn quota_fits(&mut self, id: &CustomerId, cost: f64) -> Result<bool, f64> {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id) else { return Ok(false) };
        let plan = &self.s.plans[c.plan];
        if plan.rate <= 0.0 {
            return Ok(true);
        }
        let recent = now - c.told_at <= STALE_PART * Self::window_s(plan);
        let trust = self.guard.has_fault() && self.guard.lacks_total(&count_name('q', id, c.window));
        let fresh = c.total.is_some() && recent && now - c.sync_at <= OVERDUE && !trust;
        let limit = c.limit(plan, now);
        let mut wanted = false;
        if fresh {
            c.store += (limit - c.store - c.added(plan, now)).min(0.0); // a full store gains nothing
        } else if c.calling == 0.0 {
            wanted = c.sync_at == f64::INFINITY;
            c.sync_at = c.sync_at.min(c.called_at + 4.0 * SYNC_MIN);
        }
        let fits = c.spent() + cost <= limit;
        // No fresh total: its share, and past it at random, by the room that is guessed to be left.
        let share = limit.max(0.0) * c.part(plan);
        let gain = SHARE_GAIN.0 / (SHARE_GAIN.1 + plan.excess_cost_fraction);
        let room = limit - c.guess(plan, c.own, c.elapsed(plan, now), now).max(c.spent()) - cost;
        let even = gain * (ROOM_LEAST + room / plan.burst.max(1e-9));
        let drawn = fits && !fresh && c.own + cost > share;
        let believed = c.share.meter_confidence(now);
        let below = share < cost.max(self.s.max_units);
        // No total to be had, or none to go by: fresh copies stand in, else what may be beyond is held back.
        let limits = QuotaLimits { rate: plan.rate, burst: plan.burst };
        let (top, asked) = (self.s.max_units, c.asked.rate(now, ASKED_S));
        let held = trust && c.share.is_limited_to_allowance(now, asked, limits, c.width, top);
        let shared = if trust { self.elsewhere.part(c.width) } else { 0.0 };
        if fresh {
            c.share.reset_allowance(now);
        } else if shared >= 1.0 || held && shared > 0.0 {
            c.share.reset_allowance(now);
            return Ok(limit * shared - c.spent() >= cost * (self.rng.f64() * c.width).max(1.0));
        } else if held {
            let since = self.started.unwrap_or(now);
            return Ok(fits && cost <= c.share.allowance(now, limits, c.width, top, since));
        }
        let ask = drawn && below && (even < 1.0 || believed < 0.5) && self.s.uses_counter;
        let ask = ask && self.guard.next_call_at(&count_name('q', id, c.window)) <= now;
        let ask = ask && self.draw_call() && self.may_call();
        let chance = if below { even } else { believed * even };
        let fits = ask || fits && (!drawn || self.rng.f64() < chance);
        if ask || wanted && !self.draw_call() {
            self.customers.entry(id.clone()).and_modify(|c| c.sync_at = f64::INFINITY);
        }
        Some(fits).filter(|_| !ask).ok_or(even)
    }

    /// Books units of this gateway in the window and sets when to tell.
    pub(super) fn charge(&mut self, id: &CustomerId, units: f64) {
        let (now, jitter) = (self.now, 0.8 + 0.4 * self.rng.f64());
        let Some(c) = self.customers.get_mut(id) else { return };
        let plan = &self.s.plans[c.plan];
        if plan.rate <= 0.0 || units == 0.0 {
            return;
        }
        c.unsynced += units;
        c.own = (c.own + units).max(0.0);
        c.share.spend_allowance(units);
        let known = c.total.is_some() && now - c.told_at <= STALE_PART * Self::window_s(plan);
        self.guard.record_admitted(|| count_name('q', id, c.window), units, known);
        let window = Self::window_s(plan);
        let elapsed = c.elapsed(plan, now).max(0.05);
        let (limit, spent) = (c.limit(plan, now), c.spent());
        let speed = (spent / elapsed).max(plan.rate);
        let rest = (SYNC_PART * (limit - spent).max(0.0) / speed).clamp(SYNC_MIN, window / SYNCS_A_WINDOW);
        let soon = c.total.is_none() && c.own > SOON_PART * limit * c.part(plan);
        let wait = if soon { 0.0 } else { rest * jitter };
        if c.sync_at == f64::INFINITY && !self.draw_call() {
            return;
        }
        self.customers.entry(id.clone()).and_modify(|c| c.sync_at = c.sync_at.min(now + wait));
    }

    /// May one more customer be due? Drawn, where more calls are wanted than the pace allows: what
    /// is not told when its window ends is made up for by `untold`.
    pub(super) fn draw_call(&mut self) -> bool {
        self.wants.add(self.now, 1.0, FLOW_S);
        self.rng.f64() * self.wants.rate(self.now, FLOW_S) < self.pace
    }

    /// Adds this gateway's charges and reads the total.
    pub(super) fn sync(&mut self, id: &CustomerId, asks: Option<(RequestId, f64)>, actions: &mut Actions) {
        let Some(c) = self.customers.get_mut(id) else { return };
        let window = Self::window_s(&self.s.plans[c.plan]);
        (c.sync_at, c.called_at) = (f64::INFINITY, self.now);
        let amount = std::mem::take(&mut c.unsynced);
        c.calling += amount;
        self.told.add(self.now, amount.max(0.0), ASKED_S);
        // Told for those whose turn did not come, too: totals keep the right mean at any pace.
        let untold = self.untold.rate(self.now, ASKED_S) / self.told.rate(self.now, ASKED_S).max(1e-9);
        let amount = amount * (1.0 + untold).min(UNTOLD_MOST);
        let name = count_name('q', id, c.window);
        let of = CustomerWindow { customer: id.clone(), window: c.window };
        let told = self.guard.call_sent(self.now, &name, of, amount, 2.0 * window + 1.0);
        let call = Call { customer: id.clone(), window: c.window, amount, open: false, asks };
        self.call(name, call, told, window, actions);
    }

    /// An answer of the counter. What may have been added is dropped, what was not is told again later.
    /// Silence and being turned away cut the pace of calls, as does an answer after half of the allowed wait.
    pub(super) fn counted(
        &mut self,
        name: CounterKey,
        ending: Ending,
        total: f64,
        delay: f64,
    ) -> Option<(Call, bool)> {
        let queue = self.calls.get_mut(&name)?;
        let told = queue.pop_front()?;
        if queue.is_empty() {
            self.calls.remove(&name);
        }
        let ok = ending == Ending::Ok && total.is_finite();
        let (now, replicas) = (self.now, f64::from(self.s.replicas));
        let wait = self.s.counter_timeout.as_secs_f64();
        let late = delay > 0.5 * wait;
        let verdict = match told.open {
            true => Verdict::Withheld,
            false => {
                let outcome = CallOutcome { ending, total, timeout_fraction: delay / wait };
                self.guard.call_finished(now, &name, told.amount, outcome)
            }
        };
        // A broken call or a spoilt answer says nothing of what the counter takes, nor does one lone silence.
        let spoilt =
            ending == Ending::Reset || (ending == Ending::Timeout && self.guard.answers_promptly(now));
        self.misses += 0.1 * (f64::from(u8::from(!ok || late)) - self.misses) * f64::from(u8::from(!spoilt));
        if ok && !late {
            self.answered = true;
            // Slow start up to where calls last began to fail, then step by step while more are wanted.
            let factor = if self.pace < self.pace_goal { 1.0 } else { PACE_GROW.min(PACE_UP / self.pace) };
            self.pace = (self.pace * (1.0 + factor)).min(PACE_MOST / replicas);
        } else if !spoilt && self.misses > PACE_MISS && now - self.cut_at > PACE_CUT_S {
            // A counter that answers some calls takes fewer; one that answers none tells nothing.
            if std::mem::take(&mut self.answered) {
                self.pace_goal = self.pace * PACE_CUT;
            }
            (self.pace, self.cut_at) = ((self.pace * PACE_CUT).max(PACE_LEAST / replicas), now);
        }
        let c = self.customers.get_mut(&told.customer)?;
        if told.open {
            c.open_calling = false;
            if told.window == c.open_window && ok {
                (c.others, c.others_at) = ((total - c.open_told).max(0.0), now);
            } else if told.window == c.open_window && ending.never_ran() {
                c.open_told -= told.amount;
                c.open_at = now + OPEN_TELL;
            }
        }
        if told.open || told.window != c.window {
            return Some((told, false));
        }
        c.calling = (c.calling - told.amount).max(0.0);
        match verdict {
            Verdict::Total(total) => (c.total, c.told_at) = (Some(total), now),
            Verdict::NotAdded => c.unsynced += told.amount,
            Verdict::Withheld | Verdict::Undetermined => {}
        }
        let again = if ok && !self.guard.wants_call(&name) { f64::INFINITY } else { now + 4.0 * SYNC_MIN };
        c.sync_at = c.sync_at.min(again);
        Some((told, matches!(verdict, Verdict::Total(_))))
    }

    /// A call that was given up was answered after all: what it proves is the least that is spent.
    pub(super) fn counted_late(&mut self, name: CounterKey, total: f64, delay: f64) {
        let now = self.now;
        let Some(LateTotal { customer_window, min_spent }) = self.guard.late_answer(now, &name, total) else {
            return;
        };
        let Some(c) =
            self.customers.get_mut(&customer_window.customer).filter(|c| c.window == customer_window.window)
        else {
            return;
        };
        c.total = Some(c.total.map_or(min_spent, |t| t.max(min_spent)));
        c.told_at = c.told_at.max(now - delay);
    }

    /// The pace of calls to the counter, whose capacity is told nowhere: a token bucket, its rate found by
    /// additive increase and multiplicative decrease. What must wait is told with the next call.
    pub(super) fn may_call(&mut self) -> bool {
        let (level, at) = self.allowance;
        let level = (level + self.pace * (self.now - at)).min(1.0 + self.pace * PACE_CUT_S);
        let may = level >= 1.0;
        self.allowance = (level - f64::from(u8::from(may)), self.now);
        may
    }

    pub(super) fn flush_syncs(&mut self, id: &CustomerId, actions: &mut Actions) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id).filter(|_| self.s.uses_counter) else { return };
        if c.sync_at <= now {
            c.sync_at = c.sync_at.max(self.guard.next_call_at(&count_name('q', id, c.window)));
        }
        let (quota, open) = (c.sync_at <= now, c.open_at <= now);
        if quota && self.may_call() {
            self.sync(id, None, actions);
        }
        if open && self.may_call() {
            self.sync_open(id, actions);
        }
        self.schedule(id);
    }
}
