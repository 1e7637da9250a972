//! Host selection: the better of a few random candidates, without failing hosts and with a token bucket for cold ones;
//! and what outcomes show about hosts and connections. Only ready hosts of the host list are used.

use crate::gateway::interface::*;
use crate::gateway::rules::Actions;
use crate::gateway::state::*;
use crate::gateway::window::WORK_RATE_SECS;

/// A host is passed over for a class when more than this fraction of the class's recent attempts there failed.
const SUSPECT_FAILURE_RATIO: f64 = 0.3;
/// Outcomes that a failure ratio is averaged over, at the most.
const MAX_FAILURE_OUTCOMES: f64 = 6.0;
/// Successes assumed before the first outcome of a host and class, so that the first failure weighs one half.
const FAILURE_PRIOR: f64 = 1.0;
/// Time constant with which failures of a host are forgotten, in seconds, so that the host is tried again.
pub(super) const FAILURE_DECAY_SECS: f64 = 30.0;
/// A host that responded within this time, in seconds, is alive even if it refuses a connection.
const ALIVE_SECS: f64 = 1.0;
/// A rejection by a host at its capacity counts as this fraction of a failure.
const REJECTION_FAILURE: f64 = 0.3;
/// Weight of the newest outcome in the slowness of a host.
const SLOWNESS_WEIGHT: f64 = 0.18;
/// Time constant with which the slowness of a host returns to that of its hardware type, in seconds, so that a slow
/// host is tried again.
const SLOWNESS_DECAY_SECS: f64 = 8.0;
/// Weight of the newest outcome in the slowness of a hardware type.
const KIND_SLOWNESS_WEIGHT: f64 = 0.04;
/// Longest idle time of the first bucket of connections, in seconds; each further bucket reaches twice as far.
const MIN_IDLE_SECS: f64 = 0.5;
/// Successes assumed before the first outcome of a bucket of idle times.
const IDLE_PRIOR: f64 = 2.0;
/// Idle connections are renewed when their failure ratio exceeds that of active ones by more than this.
const MAX_IDLE_EXCESS: f64 = 0.25;
/// Time constant with which failures of idle connections are forgotten, in seconds. Timeouts of middleboxes rarely
/// change, and a handshake costs little.
const IDLE_DECAY_SECS: f64 = 300.0;
/// Random draws for the candidates of an attempt, at the least. With 8 an eligible host is found even if most fail.
const MIN_DRAWS: usize = 8;
/// Time for which the tables of draw weights are used, in seconds.
const DRAW_TABLE_SECS: f64 = 0.5;
/// Hosts that a gateway draws from, at the least, so that some remain when a zone is lost.
const MIN_SUBSET_HOSTS: f64 = 10.0;
/// Gateways that draw from each host, at the least, so that no gateway alone determines the load of a host.
const MIN_GATEWAYS_PER_HOST: f64 = 20.0;
/// Where crossing zones has a price, a remote host must promise a latency lower by this factor.
const CROSS_ZONE_ADVANTAGE: f64 = 1.5;
/// Capacity of a cold host's token bucket, in multiples of what is added to it during the overload duration.
const COLD_BURST: f64 = 1.0;
/// Largest request for a cold host, in multiples of the mean latency. A larger one could empty the token bucket.
const MAX_COLD_REQUEST: f64 = 1.5;

impl Gateway {
    /// Applies the zones' factors on the capacity of hosts; 0: the host takes no load.
    pub(super) fn apply_zone_factors(&mut self, factors: Vec<(HostId, f64)>) {
        for (id, factor) in factors {
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            if host.zone_factor == Some(0.0) && factor > 0.0 {
                // The zone is tried again: observations made while it was unreachable are not valid.
                host.reset_after_outage(self.now);
            }
            host.zone_factor = Some(sanitize(factor));
        }
        self.draw_tables_valid_until = self.now;
    }

    /// Fraction of its full capacity that a host has by the time since its start.
    pub(super) fn warm_fraction(&self, host: &Host) -> f64 {
        let Some(started_at) = host.started_at else { return 1.0 };
        let initial = sanitize(self.settings.cold_capacity_fraction).min(1.0);
        let warmup = self.settings.warmup.as_secs_f64().max(0.001);
        (initial + (1.0 - initial) * (self.now - started_at).max(0.0) / warmup).min(1.0)
    }

    /// Work per second that this gateway may send to a cold host: the work that its warm hosts receive, in proportion
    /// to capacity and warm-up. This stays below the overload factor at any load.
    pub(super) fn cold_rate(&self, host: &Host) -> f64 {
        let limit = self.settings.overload_factor.clamp(0.5, 3.0) / 2.0;
        // Without warm hosts nothing shows what a cold one can take, so it receives no work.
        let warm_capacity = if self.warm_capacity > 0.0 { self.warm_capacity } else { f64::INFINITY };
        self.warm_work_rate.rate(self.now, WORK_RATE_SECS) * host.nominal_capacity / warm_capacity
            * self.warm_fraction(host)
            * limit
    }

    /// Work in a cold host's token bucket now; negative before warm hosts have shown a rate.
    pub(super) fn available_cold_tokens(&self, host: &Host) -> f64 {
        let rate = self.cold_rate(host);
        let overload_duration = self.settings.overload_duration.as_secs_f64();
        let max = COLD_BURST * self.mean_latency().max(rate * overload_duration);
        let refilled = |rate: f64| (host.cold_tokens + rate * (self.now - host.cold_tokens_at)).min(max);
        Some(rate).filter(|rate| *rate > 0.0).map_or(-1.0, refilled)
    }

    /// Expected latency of a request by its class and units, in seconds. A fifth of the mean does not depend on units.
    pub(super) fn expected_latency(&self, class: usize, units: f64) -> f64 {
        let stats = &self.class_stats[class];
        stats.latency * (0.2 + 0.8 * units / stats.units)
    }

    /// Ratio of actual to expected latency of a host; without recent observations, that of its hardware type.
    pub(super) fn current_slowness(&self, host: &Host) -> f64 {
        let kind = self.kind_slowness.get(&host.kind).copied().unwrap_or(1.0);
        kind + (host.slowness - kind) * ((host.slowness_at - self.now) / SLOWNESS_DECAY_SECS).exp()
    }

    /// Rebuilds the tables of draw weights if they are outdated: ready hosts by capacity, warm-up and speed.
    ///
    /// Each gateway draws from a subset of the hosts. Hosts lie on a ring in the order of their hash, each with a length
    /// of its capacity, and each gateway covers an arc of it. Together the gateways send a cold host its fraction of
    /// the load, however many gateways there are and however little each of them knows.
    pub(super) fn refresh_draw_tables(&mut self) {
        if self.now < self.draw_tables_valid_until {
            return;
        }
        self.draw_tables_valid_until = self.now + DRAW_TABLE_SECS;
        (self.warm_capacity, self.ready_hosts) = (0.0, 0.0);
        let mut rings: [Vec<(u64, f64, &HostId, &Host)>; 2] = Default::default();
        for (id, host) in self.hosts.iter().filter(|(_, host)| host.is_ready) {
            let warm_fraction = self.warm_fraction(host);
            self.ready_hosts += warm_fraction;
            let is_remote = self.settings.cross_zone_price > 0.0 && host.zone != self.settings.zone;
            let capacity = host.nominal_capacity * warm_fraction * host.zone_factor.unwrap_or(1.0);
            rings[usize::from(is_remote)].push((fnv1a(&id.0), capacity, id, host));
        }
        let mut tables: [Vec<(f64, HostId)>; 2] = Default::default();
        for (ring, table) in rings.iter_mut().zip(&mut tables) {
            ring.sort_unstable_by_key(|x| (x.0, x.2));
            let ring_length: f64 = ring.iter().map(|x| x.1).sum();
            let arc = (MIN_SUBSET_HOSTS / ring.len() as f64)
                .max(MIN_GATEWAYS_PER_HOST / f64::from(self.settings.replicas));
            // Steps of the golden ratio spread any number of gateways evenly over the ring.
            let start = (f64::from(self.settings.ordinal) * GOLDEN_RATIO_FRACTION).fract() * ring_length;
            let end = start + arc.min(1.0) * ring_length;
            let mut position = 0.0;
            for (_, length, id, host) in ring.iter() {
                let covered = |at: f64| ((at + length).min(end) - at.max(start)).max(0.0);
                let capacity = covered(position) + covered(position + ring_length);
                position += length;
                if capacity > 1e-9 * length {
                    self.warm_capacity += if self.warm_fraction(host) < 1.0 { 0.0 } else { capacity };
                    let sum = table.last().map_or(0.0, |t| t.0);
                    table.push((sum + capacity / self.current_slowness(host), (*id).clone()));
                }
            }
        }
        self.draw_tables = tables;
    }

    /// Draws candidates from a table and returns the best with its expected latency in seconds. A suspect host is
    /// returned only if all eligible hosts that were drawn are suspect.
    pub(super) fn draw_host(
        &mut self,
        table: usize,
        requirements: &HostRequirements,
    ) -> Option<(HostId, f64)> {
        let sum = self.draw_tables[table].last()?.0;
        let (mut best, mut found, mut suspect) = (None::<(HostId, f64)>, 0, None);
        for _ in 0..MIN_DRAWS.max(2 * self.candidate_count) {
            let at = self.rng.f64() * sum;
            let table = &self.draw_tables[table];
            let id = &table[table.partition_point(|t| t.0 <= at).min(table.len() - 1)].1;
            let Some(host) = self.hosts.get(id).filter(|host| self.is_eligible(id, host, requirements))
            else {
                continue;
            };
            let queued =
                (host.in_flight_work + host.remote_work) / (host.nominal_capacity * self.warm_fraction(host));
            let latency = (queued + requirements.work) * self.current_slowness(host).max(1.0);
            if self.is_suspect(host, requirements.class) {
                suspect = Some((id.clone(), latency));
                continue;
            }
            if best.as_ref().is_none_or(|b| latency < b.1) {
                best = Some((id.clone(), latency));
            }
            found += 1;
            if found == self.candidate_count {
                break;
            }
        }
        best.or(suspect)
    }

    /// Whether a host may receive an attempt with these requirements.
    pub(super) fn is_eligible(&self, id: &HostId, host: &Host, requirements: &HostRequirements) -> bool {
        let idempotency = self.settings.classes[requirements.class].idempotency;
        let knows_key = match (&requirements.key_origin, idempotency) {
            (Some((zone, _)), Idempotency::ByKey(KeyScope::Zone)) => *zone == host.zone,
            (Some((_, group)), Idempotency::ByKey(KeyScope::Cell)) => *group == host.group,
            _ => true,
        };
        let has_capacity = self.warm_fraction(host) >= 1.0
            || (self.available_cold_tokens(host) >= 0.0
                && requirements.work <= MAX_COLD_REQUEST * self.mean_latency());
        host.is_ready
            && host.zone_factor != Some(0.0)
            && knows_key
            && has_capacity
            && !requirements.tried.contains(id)
    }

    /// Selects the host of an attempt. If no untried host is eligible, a warm one that was tried is used again.
    pub(super) fn select_host(&mut self, mut requirements: HostRequirements) -> Option<HostId> {
        self.refresh_draw_tables();
        let prefers_remote = self.remote_share.map(|share| self.rng.f64() < share);
        let selected = match (self.draw_host(0, &requirements), self.draw_host(1, &requirements)) {
            (Some(local), Some(remote))
                if prefers_remote.unwrap_or(remote.1 * CROSS_ZONE_ADVANTAGE < local.1) =>
            {
                Some(remote)
            }
            (local, remote) => local.or(remote),
        };
        selected.map(|c| c.0).or_else(|| {
            requirements.tried.clear();
            let eligible = self.hosts.iter().filter(|(id, host)| {
                self.warm_fraction(host) >= 1.0 && self.is_eligible(id, host, &requirements)
            });
            eligible
                .min_by(|a, b| a.1.in_flight_work.total_cmp(&b.1.in_flight_work))
                .map(|(id, _)| id.clone())
        })
    }

    /// Whether a host recently failed much of a class. The sample may be thin, so other hosts are only preferred.
    pub(super) fn is_suspect(&self, host: &Host, class: usize) -> bool {
        host.class_failures.get(class).is_some_and(|x| {
            x.failure_ratio * ((x.updated_at - self.now) / FAILURE_DECAY_SECS).exp() > SUSPECT_FAILURE_RATIO
        })
    }

    /// Passive health checking: records an outcome of a host. Failures count by class, because a host may fail one
    /// class and serve the others; a host that cannot be reached fails all of them.
    pub(super) fn record_outcome(
        &mut self,
        id: &HostId,
        class: usize,
        ending: Ending,
        (latency, work): (f64, f64),
    ) {
        let (now, classes) = (self.now, self.settings.classes.len());
        let valid = self.hosts.get(id).filter(|host| now - latency >= host.valid_since);
        let observed = valid.map(|host| (self.current_slowness(host), self.warm_fraction(host) < 1.0));
        let (Some(host), Some((slowness, is_cold))) = (self.hosts.get_mut(id), observed) else { return };
        if matches!(ending, Ending::Ok | Ending::Timeout) {
            // A timeout counts as a response that is at least this late.
            let ratio = (latency / work.max(1e-6)).clamp(0.2, 20.0);
            (host.slowness, host.slowness_at) = (slowness + SLOWNESS_WEIGHT * (ratio - slowness), now);
            let kind = self.kind_slowness.entry(host.kind.clone()).or_insert(1.0);
            *kind += if is_cold { 0.0 } else { KIND_SLOWNESS_WEIGHT * (ratio - *kind) };
        }
        // A host that responded just now and refuses a connection is alive: its connection table is full. A second
        // refusal without a response in between counts as a failure.
        let is_refused = ending == Ending::ConnectFailed;
        let is_alive = is_refused && now - host.last_response_at < ALIVE_SECS;
        host.last_response_at = match ending {
            Ending::Ok | Ending::Error | Ending::Full => now,
            _ if is_refused => f64::NEG_INFINITY,
            _ => host.last_response_at,
        };
        let failed = match ending {
            Ending::Ok => 0.0,
            Ending::ConnectFailed if is_alive => REJECTION_FAILURE,
            Ending::Error | Ending::ConnectFailed | Ending::Reset => 1.0,
            Ending::Full => REJECTION_FAILURE,
            // Timeouts count towards slowness, not failures.
            Ending::Timeout | Ending::Cancelled | Ending::NotSent => return,
        };
        let fails_all = is_refused && !is_alive;
        host.class_failures.resize_with(classes, FailureStats::default);
        for (_, x) in host.class_failures.iter_mut().enumerate().filter(|(c, _)| fails_all || *c == class) {
            x.record(now, failed, FAILURE_PRIOR, MAX_FAILURE_OUTCOMES, FAILURE_DECAY_SECS);
        }
    }

    /// Whether connections of this bucket of idle times must be renewed before use.
    ///
    /// Guards against middleboxes that forget idle connections and discard what is sent on them later (incident
    /// L53ec7e), and against hosts that close connections unnoticed. Outcomes are shared by all hosts, because each
    /// host is used only once in seconds, and compared with those on active connections, because slow hosts fail on
    /// both. A false alarm costs a handshake per attempt for some minutes.
    pub(super) fn is_idle_stale(&self, idle_bucket: usize) -> bool {
        let ratio = |x: &FailureStats| x.failure_ratio * ((x.updated_at - self.now) / IDLE_DECAY_SECS).exp();
        let max = ratio(&self.idle_failures[0]) + MAX_IDLE_EXCESS;
        self.idle_failures[1..=idle_bucket].iter().any(|x| ratio(x) > max)
    }

    /// Prepares the connection of an attempt and closes the idle ones if they must be renewed. Returns the connection's
    /// bucket of idle times; 0: it is new or active.
    pub(super) fn prepare_connection(&mut self, id: &HostId, actions: &mut Actions) -> usize {
        let host = self.hosts.get(id).map(|host| (host.connection_used_at, host.in_flight));
        let Some((used_at, in_flight)) = host else { return 0 };
        let bucket = |at: f64| ((self.now - at) / MIN_IDLE_SECS).max(0.5).log2().ceil().max(0.0) as usize;
        let idle_bucket = used_at.map_or(0, bucket).min(self.idle_failures.len() - 1);
        let renew = in_flight == 0 && self.is_idle_stale(idle_bucket);
        actions.extend(renew.then(|| Action::CloseIdle { host: id.clone() }));
        let used_at = if renew { self.now } else { used_at.unwrap_or(self.now) };
        self.hosts.entry(id.clone()).and_modify(|host| host.connection_used_at = Some(used_at));
        idle_bucket * usize::from(!renew)
    }

    /// Records what an outcome shows about its connection. An idle connection on which nothing came back is closed.
    pub(super) fn record_connection_outcome(
        &mut self,
        id: &HostId,
        idle_bucket: usize,
        ending: Ending,
        actions: &mut Actions,
    ) {
        let is_silent = match ending {
            Ending::Timeout | Ending::Reset => true,
            Ending::Ok | Ending::Error | Ending::Full => false,
            Ending::ConnectFailed | Ending::Cancelled | Ending::NotSent => return,
        };
        self.idle_failures[idle_bucket].record(
            self.now,
            f64::from(u8::from(is_silent)),
            IDLE_PRIOR,
            MAX_FAILURE_OUTCOMES,
            IDLE_DECAY_SECS,
        );
        let Some(host) = self.hosts.get_mut(id) else { return };
        let close = is_silent && idle_bucket > 0 && host.in_flight == 0;
        host.connection_used_at =
            if is_silent { host.connection_used_at.filter(|_| !close) } else { Some(self.now) };
        actions.extend(close.then(|| Action::CloseIdle { host: id.clone() }));
    }

    /// Ready hosts per gateway, cold ones weighted by their warm-up.
    pub(super) fn ready_hosts_per_gateway(&mut self) -> f64 {
        self.refresh_draw_tables();
        self.ready_hosts / f64::from(self.settings.replicas)
    }
}
