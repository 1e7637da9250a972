//! The open cap, by the same counter, and the ceiling, a hard store at each gateway with no trust in it. It
//! must never let more through because the counter is silent.
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::window::{ASKED_S, OPEN_TELL, OPEN_WINDOW};

const ASKED_AGE: f64 = 8.0; // head start of a new gateway's age in it: one request is no rate
const ASKED_OWN: f64 = 0.2; // ...nor counts the one that is judged in full: light customers come once
const OPEN_PART: f64 = 0.5; // of a cap that gateways cannot share whole, let in so much: the rest is chance
const SURGE_S: f64 = 1.0; // time constant of what it asked just before: surges last seconds
const OPEN_FRESH: f64 = 0.25; // attempts last tenths of a second, so does news of them

impl Gateway {
    /// Is there room for one more attempt? By the others' last statement where it is fresh, else within the
    /// even share. A cap below the width is no whole attempt each: nobody tells, and requests are drawn so
    /// that what is asked here, everywhere and held as usual, comes to a part of the cap: no floor adds up
    /// over hundreds of gateways. Harm: a customer that asks unevenly is judged by the gateway it asks most.
    pub(super) fn open_fits(&mut self, id: &CustomerId, units: f64) -> bool {
        let (now, asked, hold) = (self.now, self.asked(id, units), self.hold());
        let Some(c) = self.customers.get_mut(id) else { return false };
        let cap = f64::from(self.s.plans[c.plan].max_concurrent);
        if cap > 0.0 && cap < c.width {
            let held = hold * c.width * asked.max(c.surge.rate(now, SURGE_S));
            c.surge.add(now, units, SURGE_S);
            return self.rng.f64() * held < OPEN_PART * cap
                || self.s.plans[c.plan].excess_cost_fraction <= 0.0;
        }
        if cap == 0.0 || now - c.others_at <= OPEN_FRESH {
            return cap == 0.0 || c.out + c.others + 1.0 <= cap;
        }
        c.open_at = c.open_at.min(now);
        c.out < (cap / c.width).floor()
    }

    /// Units a second that a customer lately asks at this gateway.
    pub(super) fn asked(&self, id: &CustomerId, units: f64) -> f64 {
        let age = self.now - self.started.unwrap_or(self.now) + ASKED_AGE;
        let rate = self.customers.get(id).map_or(0.0, |c| c.asked.rate(self.now, ASKED_S));
        (rate - (1.0 - ASKED_OWN) * units / ASKED_S).max(0.0) / (1.0 - (-age / ASKED_S).exp())
    }

    /// An attempt of a customer starts (+1) or ends (-1).
    pub(super) fn opened(&mut self, id: &CustomerId, by: f64) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id) else { return };
        c.out = (c.out + by).max(0.0);
        let plan = &self.s.plans[c.plan];
        if f64::from(plan.max_concurrent) >= c.width {
            // Where a try beyond the cap costs nothing, only long attempts are worth a call.
            let wait = if plan.excess_cost_fraction > 0.0 { OPEN_TELL } else { OPEN_FRESH };
            let wait = if by > 0.0 && now - c.others_at > 2.0 * wait { wait * 0.05 } else { wait };
            c.open_at = c.open_at.min(now + wait);
        }
    }

    /// Tells the counter what changed in the attempts out, or only reads while this gateway is at its share.
    pub(super) fn sync_open(&mut self, id: &CustomerId, actions: &mut Actions) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id) else { return };
        let amount = c.out - c.open_told;
        let at_share = c.out >= (f64::from(self.s.plans[c.plan].max_concurrent) / c.width).floor();
        if c.open_calling || (amount == 0.0 && !(at_share && now - c.others_at > OPEN_FRESH / 2.0)) {
            c.open_at = if c.open_calling { now + OPEN_TELL } else { f64::INFINITY };
            return;
        }
        (c.open_told, c.open_calling, c.open_at) = (c.out, true, f64::INFINITY);
        let name = count_name('o', id, c.open_window);
        let call = Call { customer: id.clone(), window: c.open_window, amount, open: true, asks: None };
        self.call(name, call, amount, OPEN_WINDOW, actions);
    }

    /// The ceiling's store at this gateway: the even share of rate, burst and tolerance, with no trust in the
    /// counter. It starts at its bottom, as a killed predecessor may have spent everything just before.
    pub(crate) fn ceiling_takes(&mut self, id: &CustomerId, units: f64, take: bool) -> bool {
        let now = self.now;
        let Some(c) = self.customers.get_mut(id) else { return false };
        let plan = &self.s.plans[c.plan];
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let ways = c.ways(self.floor, now);
        let fill = plan.ceiling_rate / ways * (now - c.ceiling_at);
        c.ceiling = (c.ceiling + fill).min(plan.ceiling_burst / ways);
        c.ceiling_at = now;
        let fits = c.ceiling - units >= -plan.ceiling_tolerance / ways + 1e-6 && !self.bequeathed;
        c.ceiling -= if fits && take { units } else { 0.0 };
        fits
    }
}
