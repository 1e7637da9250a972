//! The choice of a host: ready ones only, the better of two, failing ones left out, cold ones fed by a
//! budget; and what outcomes tell of hosts and connections. It must never choose one that is not on the list.
use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::window::FLOW_S;

const SUSPECT_AT: f64 = 0.3; // share of a class's failures at which its requests pass a host over
const HEALTH_MEMORY: f64 = 6.0; // outcomes that a host's failures are judged by; the first weighs one half
pub(super) const HEALTH_FADE: f64 = 30.0; // what is known of failures fades so, and the host is tried again
const HEARD_S: f64 = 1.0; // a host that answered so lately lives, whatever else it refuses
const SLOW_ALPHA: f64 = 0.18; // weight of the newest outcome in a host's slowness
const IDLE_LEAST: f64 = 0.5; // connections are told apart by how long they stood idle: up to this...
const IDLE_PRIOR: f64 = 2.0; // ...each further span twice as long; so many good outcomes are taken as given
const IDLE_EXCESS: f64 = 0.25; // so much more silence than on lively ones, and they are renewed...
const IDLE_FADE: f64 = 300.0; // ...until this fades: what forgets connections stays, a handshake is cheap
const KIND_ALPHA: f64 = 0.04; // weight of the newest outcome in the slowness of a kind of host
const DRAWS: usize = 8; // draws for two candidates that fit: finds one also with most hosts failing
const TABLE_S: f64 = 0.5; // the weights that candidates are drawn by are kept so long
const SUBSET_HOSTS: f64 = 10.0; // a gateway draws from so many hosts at least: some outlive a lost zone...
const SUBSET_SHARED: f64 = 20.0; // ...and from so many that so many gateways share each: none weighs much
const SLOW_FADE: f64 = 8.0; // what is known of a host's slowness fades so, and it is tried again
const CROSS_AT: f64 = 1.5; // where crossing zones is charged it must promise to be so many times quicker
const COLD_STORE: f64 = 1.0; // a cold host's store, as a part of its rate over the time it takes to fall
const COLD_LARGEST: f64 = 1.5; // largest request for it, in mean requests: one could spend the whole budget

impl Gateway {
    /// The halls' shares: a factor on each host's size, 0 for none.
    pub(super) fn halls_told(&mut self, parts: Vec<(HostId, f64)>) {
        for (id, part) in parts {
            let Some(h) = self.hosts.get_mut(&id) else { continue };
            if h.part == Some(0.0) && part > 0.0 {
                h.reached(self.now); // its hall is tried again: what was learnt in the cut says nothing
            }
            h.part = Some(sane(part));
        }
        self.table_until = self.now;
    }

    /// Part of its full capacity that a host surely has.
    pub(super) fn warmth(&self, h: &Host) -> f64 {
        let Some(started) = h.started else { return 1.0 };
        let share = sane(self.s.cold_capacity_fraction).min(1.0);
        let warm_after = self.s.warmup.as_secs_f64().max(0.001);
        (share + (1.0 - share) * (self.now - started).max(0.0) / warm_after).min(1.0)
    }

    /// Work a second that a cold host may be sent by this gateway: what its warm hosts take, by size, times
    /// the warmth: under the multiple at any load.
    pub(super) fn cold_rate(&self, h: &Host) -> f64 {
        let limit = self.s.overload_factor.clamp(0.5, 3.0) / 2.0;
        // No warm host left: none shows what this one can take, and it gets nothing.
        let warm = if self.warm_size > 0.0 { self.warm_size } else { f64::INFINITY };
        self.sent.rate(self.now, FLOW_S) * h.nominal_capacity / warm * self.warmth(h) * limit
    }

    /// What a cold host's store holds now; nothing before warm hosts have shown a rate.
    pub(super) fn cold_level(&self, h: &Host) -> f64 {
        let rate = self.cold_rate(h);
        let store = COLD_STORE * self.mean_latency().max(rate * self.s.overload_duration.as_secs_f64());
        Some(rate).filter(|r| *r > 0.0).map_or(-1.0, |r| (h.cold + r * (self.now - h.cold_at)).min(store))
    }

    /// Latency expected of a request, by its class and units.
    pub(super) fn expected(&self, class: usize, units: f64) -> f64 {
        let (latency, mean, _) = self.seen[class];
        latency * (0.2 + 0.8 * units / mean)
    }

    /// Latency of a host over what is expected; of one long not met, that of its kind.
    pub(super) fn slowness(&self, h: &Host) -> f64 {
        let kind = self.kinds.get(&h.kind).copied().unwrap_or(1.0);
        kind + (h.slow - kind) * ((h.slow_at - self.now) / SLOW_FADE).exp()
    }

    /// Brings up to date what candidates are drawn by: ready hosts, by size, warmth and speed. A cold host
    /// gets its part of the fleet's capacity, however many gateways there are and however little they know.
    pub(super) fn refresh(&mut self) {
        if self.now < self.table_until {
            return;
        }
        self.table_until = self.now + TABLE_S;
        (self.warm_size, self.ready) = (0.0, 0.0);
        // Hosts on a ring, in an order of nobody's choosing, each as long as it has capacity.
        let mut rings: [Vec<(u64, f64, &HostId, &Host)>; 2] = Default::default();
        for (id, h) in self.hosts.iter().filter(|(_, h)| h.ready) {
            let warmth = self.warmth(h);
            self.ready += warmth;
            let far = self.s.cross_zone_price > 0.0 && h.zone != self.s.zone;
            rings[usize::from(far)].push((
                fnv1a(&id.0),
                h.nominal_capacity * warmth * h.part.unwrap_or(1.0),
                id,
                h,
            ));
        }
        let mut tables: [Vec<(f64, HostId)>; 2] = Default::default();
        for (ring, table) in rings.iter_mut().zip(&mut tables) {
            ring.sort_unstable_by_key(|x| (x.0, x.2));
            let whole: f64 = ring.iter().map(|x| x.1).sum();
            let part = (SUBSET_HOSTS / ring.len() as f64).max(SUBSET_SHARED / f64::from(self.s.replicas));
            // Golden steps: any number of gateways lies evenly on the ring, neighbours far apart.
            let (mut end, from) = (0.0, (f64::from(self.s.ordinal) * GOLDEN_RATIO_FRACTION).fract() * whole);
            let to = from + part.min(1.0) * whole;
            for (_, length, id, h) in ring.iter() {
                let covered = |at: f64| ((at + length).min(to) - at.max(from)).max(0.0);
                let mine = covered(end) + covered(end + whole);
                end += length;
                if mine > 1e-9 * length {
                    self.warm_size += if self.warmth(h) < 1.0 { 0.0 } else { mine };
                    let sum = table.last().map_or(0.0, |t| t.0);
                    table.push((sum + mine / self.slowness(h), (*id).clone()));
                }
            }
        }
        self.tables = tables;
    }

    /// The better of two candidates of a table, with its expected latency; the suspect only if all drawn are.
    pub(super) fn draw(&mut self, table: usize, need: &Need) -> Option<(HostId, f64)> {
        let sum = self.tables[table].last()?.0;
        let (mut best, mut found, mut resort) = (None::<(HostId, f64)>, 0, None);
        for _ in 0..DRAWS.max(2 * self.draws) {
            let at = self.rng.f64() * sum;
            let table = &self.tables[table];
            let id = &table[table.partition_point(|t| t.0 <= at).min(table.len() - 1)].1;
            let Some(h) = self.hosts.get(id).filter(|h| self.fits(id, h, need)) else { continue };
            let score = ((h.work + h.elsewhere) / (h.nominal_capacity * self.warmth(h)) + need.work)
                * self.slowness(h).max(1.0);
            if self.suspect(h, need.class) {
                resort = Some((id.clone(), score));
                continue;
            }
            if best.as_ref().is_none_or(|b| score < b.1) {
                best = Some((id.clone(), score));
            }
            found += 1;
            if found == self.draws {
                break;
            }
        }
        best.or(resort)
    }

    /// May this host be sent that request at all?
    pub(super) fn fits(&self, id: &HostId, h: &Host, need: &Need) -> bool {
        let in_group = match (&need.bound, self.s.classes[need.class].idempotency) {
            (Some(bound), Idempotency::ByKey(KeyScope::Zone)) => bound.0 == h.zone,
            (Some(bound), Idempotency::ByKey(KeyScope::Cell)) => bound.1 == h.group,
            _ => true,
        };
        let warm = self.warmth(h) >= 1.0
            || (self.cold_level(h) >= 0.0 && need.work <= COLD_LARGEST * self.mean_latency());
        h.ready && h.part != Some(0.0) && in_group && warm && !need.tried.contains(id)
    }

    /// The host for an attempt. With no new one to be had, a warm one that was tried already.
    pub(super) fn pick(&mut self, mut need: Need) -> Option<HostId> {
        self.refresh();
        let spill = self.spill.map(|part| self.rng.f64() < part);
        let chosen = match (self.draw(0, &need), self.draw(1, &need)) {
            (Some(near), Some(far)) if spill.unwrap_or(far.1 * CROSS_AT < near.1) => Some(far),
            (near, far) => near.or(far),
        };
        chosen.map(|c| c.0).or_else(|| {
            need.tried.clear();
            let last = self.hosts.iter().filter(|(id, h)| self.warmth(h) >= 1.0 && self.fits(id, h, &need));
            last.min_by(|a, b| a.1.work.total_cmp(&b.1.work)).map(|(id, _)| id.clone())
        })
    }

    /// Did a host lately fail much of this class? A thin sample decides only that others are drawn first.
    pub(super) fn suspect(&self, h: &Host, class: usize) -> bool {
        h.health.get(class).is_some_and(|x| x.fails * ((x.at - self.now) / HEALTH_FADE).exp() > SUSPECT_AT)
    }

    /// Passive health: an outcome of a host. Failures count by class, as a host may fail one class and serve
    /// the others; one that cannot be reached fails all of them.
    pub(super) fn judge(&mut self, id: &HostId, class: usize, ending: Ending, (delay, work): (f64, f64)) {
        let (now, classes) = (self.now, self.s.classes.len());
        let known = self.hosts.get(id).filter(|h| now - delay >= h.since); // else it tells of another life
        let slow = known.map(|h| (self.slowness(h), self.warmth(h) < 1.0));
        let (Some(h), Some((slow, cold))) = (self.hosts.get_mut(id), slow) else { return };
        if matches!(ending, Ending::Ok | Ending::Timeout) {
            // Slowness: answers by what was expected of them, time-outs as answers at least that late.
            let ratio = (delay / work.max(1e-6)).clamp(0.2, 20.0);
            (h.slow, h.slow_at) = (slow + SLOW_ALPHA * (ratio - slow), now);
            let kind = self.kinds.entry(h.kind.clone()).or_insert(1.0);
            *kind += if cold { 0.0 } else { KIND_ALPHA * (ratio - *kind) };
        }
        // Refused by a host that answered just now: its table of connections is full, which is no failure.
        let refused = ending == Ending::ConnectFailed;
        let full = refused && now - h.heard < HEARD_S;
        h.heard = match ending {
            Ending::Ok | Ending::Error | Ending::Full => now,
            _ if refused => f64::NEG_INFINITY, // a second time without an answer in between it is one
            _ => h.heard,
        };
        let failed = match ending {
            Ending::Ok => 0.0,
            Ending::ConnectFailed if full => 0.3,
            Ending::Error | Ending::ConnectFailed | Ending::Reset => 1.0,
            Ending::Full => 0.3,
            Ending::Timeout | Ending::Cancelled | Ending::NotSent => return, // neither health nor failure
        };
        h.health.resize_with(classes, Health::default);
        for (_, x) in h.health.iter_mut().enumerate().filter(|(c, _)| refused && !full || *c == class) {
            x.note(now, failed, 1.0, HEALTH_MEMORY, HEALTH_FADE);
        }
    }

    /// Must a connection that stood idle so long be renewed before use? Guards against whatever forgets idle
    /// ones and swallows what comes on them later (incident L53ec7e), and peers that hang up unheard. Learned
    /// over all hosts, as one pair is met once in seconds, against outcomes on lively connections: slow hosts
    /// fail on both. Harm: a handshake an attempt for minutes after a false alarm.
    pub(super) fn stale(&self, idle: usize) -> bool {
        let share = |x: &Health| x.fails * ((x.at - self.now) / IDLE_FADE).exp();
        self.idle[1..=idle].iter().any(|x| share(x) > share(&self.idle[0]) + IDLE_EXCESS)
    }

    /// Chooses the connection for an attempt, closing the idle ones where they are not to be trusted; returns
    /// its span of idleness, 0 for a new or lively one.
    pub(super) fn connect(&mut self, id: &HostId, actions: &mut Actions) -> usize {
        let Some((used, out)) = self.hosts.get(id).map(|h| (h.used, h.out)) else { return 0 };
        let span = |at: f64| ((self.now - at) / IDLE_LEAST).max(0.5).log2().ceil().max(0.0) as usize;
        let idle = used.map_or(0, span).min(self.idle.len() - 1);
        let renew = out == 0 && self.stale(idle);
        actions.extend(renew.then(|| Action::CloseIdle { host: id.clone() }));
        let opened = if renew { self.now } else { used.unwrap_or(self.now) };
        self.hosts.entry(id.clone()).and_modify(|h| h.used = Some(opened));
        idle * usize::from(!renew)
    }

    /// What an outcome tells of its connection. One that stood idle and then stays silent is closed.
    pub(super) fn connection(&mut self, id: &HostId, idle: usize, ending: Ending, actions: &mut Actions) {
        let silent = match ending {
            Ending::Timeout | Ending::Reset => true,
            Ending::Ok | Ending::Error | Ending::Full => false,
            Ending::ConnectFailed | Ending::Cancelled | Ending::NotSent => return,
        };
        self.idle[idle].note(self.now, f64::from(u8::from(silent)), IDLE_PRIOR, HEALTH_MEMORY, IDLE_FADE);
        let Some(h) = self.hosts.get_mut(id) else { return };
        let close = silent && idle > 0 && h.out == 0;
        h.used = if silent { h.used.filter(|_| !close) } else { Some(self.now) };
        actions.extend(close.then(|| Action::CloseIdle { host: id.clone() }));
    }

    /// Ready hosts for each gateway, cold ones by their warmth.
    pub(super) fn ready_each(&mut self) -> f64 {
        self.refresh();
        self.ready / f64::from(self.s.replicas)
    }
}
