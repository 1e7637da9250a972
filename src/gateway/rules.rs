//! The events, and the ordinary path of a request through the decisions: quota (`window`), caps (`caps`),
//! pressure (`pressure`), host (`choice`), attempts (`attempts`), upkeep (`upkeep`). Types are in
//! `interface.rs`.
use crate::gateway::interface::*;
use crate::gateway::state::*;
use crate::gateway::window::ASKED_S;
use std::time::Duration;

const QUEUE_ALPHA: f64 = 0.1; // least weight of the newest request's sight of the attempts out

pub(super) type Actions = Vec<Action>;
pub(super) type Fate = Result<(), f64>;

impl Gateway {
    /// Takes an event at the time `now` and appends what to do.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = now.as_secs_f64().max(self.now);
        if self.started.is_none() {
            self.started = Some(self.now);
            actions.extend(self.s.subscribes_to_hosts.then_some(Action::Subscribe));
        }
        match event {
            Event::Hosts { scope, entries } => {
                if scope != ListScope::Unavailable {
                    self.hosts_told(scope, entries);
                } else if self.s.subscribes_to_hosts {
                    actions
                        .push(Action::SetTimer { after: Duration::from_secs(1), token: "subscribe".into() });
                }
            }
            Event::Request { .. } => self.request(event, actions),
            Event::ResponseStarted { id, .. } => {
                let now = self.now;
                self.requests.entry(id).and_modify(|r| (r.copy_at, r.deadline) = (f64::INFINITY, now));
            }
            Event::ClientDisconnected { id } => self.finish(&id, actions),
            Event::AttemptFinished { .. } => self.outcome(event, actions),
            Event::CounterReply { name, ending, total, elapsed: delay } => {
                if let Some((call, ok)) = self.counted(name, ending, total, delay.as_secs_f64()) {
                    self.schedule(&call.customer);
                    if let Some((id, cost)) = call.asks {
                        self.told(&id, &call.customer, cost, ok, actions);
                    }
                }
            }
            Event::LateCounterReply { name, total, elapsed: delay } => {
                self.counted_late(name, total, delay.as_secs_f64())
            }
            Event::Timer { token } if token == "tick" => self.timer_at = f64::INFINITY,
            Event::Timer { token } if token == "subscribe" => actions.push(Action::Subscribe),
            Event::ZoneShares { capacity_factors: parts, remote_share: spill, unassigned: unplaced } => {
                (self.spill, self.unplaced) = (spill, sane(unplaced).min(1.0));
                self.halls_told(parts);
            }
            Event::ProbeFinished { .. } | Event::Timer { .. } => {}
        }
        self.upkeep(actions);
    }

    pub(super) fn request(&mut self, e: Event, actions: &mut Actions) {
        self.serving = self.serving.or(Some(self.now));
        let Event::Request { id, class, plan, customer, budget, units, gateway_count: width } = e else {
            return;
        };
        if self.requests.contains_key(&id) {
            return;
        }
        let plan = self.s.plans.iter().position(|p| p.name == plan).filter(|_| !budget.is_zero());
        let (class, most) = (self.s.class(&class), self.s.max_attempts);
        let r = Request::new(class, customer, sane(units), (self.now, budget.as_secs_f64()), most);
        let fate = plan.map_or(Err(0.0), |plan| self.admit(&id, r, plan, width, actions));
        let Err(away) = fate else { return };
        actions.push(self.refuse(id, away));
    }

    /// The ordinary path. `Err`: refused at once, with advice where it helps.
    pub(super) fn admit(
        &mut self,
        id: &RequestId,
        mut r: Request,
        plan: usize,
        width: u32,
        to: &mut Actions,
    ) -> Fate {
        let (now, customer, units) = (self.now, &r.customer.clone(), r.units);
        let weight = (2.0 / f64::from(self.s.replicas)).clamp(QUEUE_ALPHA, 1.0);
        self.queue += weight * (f64::from(self.out) - self.queue);
        let p = &self.s.plans[plan];
        let (max_cost, limited) = (p.burst.max(self.s.max_units), p.rate > 0.0);
        let width = f64::from(if width == 0 { self.s.replicas } else { width });
        let phase = (fnv1a(&customer.0) >> 40) as f64 / (1u64 << 24) as f64;
        let phase_of = |at: f64| at / Self::window_s(p) + phase;
        let window = phase_of(now).floor();
        // Full when this gateway started: what the rate added to the window before went over the brim.
        let before = (phase_of(self.started.unwrap_or(now)) - window).max(0.0) * Self::window_s(p);
        let c = self.customers.entry(customer.clone()).or_insert_with(|| Customer {
            window: window as i64,
            store: p.burst - p.rate * before - self.elsewhere.owed(customer, window as i64, p),
            ceiling: -p.ceiling_tolerance / width,
            ceiling_at: self.started.unwrap_or(now),
            ..Customer::new(plan, width, phase)
        });
        c.asked.add(now, units, ASKED_S);
        c.seen = now;
        (c.plan, c.width) = (plan, c.width.max(width));
        self.turn(customer);
        self.look_up(customer, units);
        if limited && units > max_cost {
            return Err(0.0);
        }
        let room = self.ceiling_takes(customer, units, false) && self.open_fits(customer, units);
        let fits = self.quota_fits(customer, units);
        r.chance = fits.err().unwrap_or(1.0);
        let soon = r.deadline - now < 2.0 * self.s.counter_timeout.as_secs_f64();
        let inside = room && fits.unwrap_or(soon && self.rng.f64() < r.chance);
        let may = inside || self.spare(plan) && self.ceiling_takes(customer, units, false);
        if room && fits.is_err() && !soon {
            // Asked first: held for one answer of the counter, which always comes; then served or refused.
            self.requests.insert(id.clone(), r);
            self.book(customer, units);
            self.sync(customer, Some((id.clone(), units)), to);
            return Ok(());
        }
        if !may {
            self.flush_syncs(customer, to);
            let (p, c) = (&self.s.plans[plan], self.customers.get(customer).filter(|_| limited));
            return Err(c.map_or(0.0, |c| (c.spent() + units - c.limit(p, now)) / p.rate));
        }
        r.settled = !inside; // beyond the quota nothing is drawn, so nothing is settled
        self.requests.insert(id.clone(), r);
        self.proceed(id, to)?;
        self.charge(customer, if inside { units } else { 0.0 });
        self.flush_syncs(customer, to);
        Ok(())
    }
}
