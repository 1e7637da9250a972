//! The edge role as one state machine: events in, effects out. What it knows comes from the core (`control`), what it
//! decides of requests is in `desk`, each service's decision module in `service`. Pure; time is passed in. It must
//! never go back behind a version that it has served by, and never send a worker what it may have run.

pub mod drain;
pub mod load_table;
pub mod quota_admission;
#[cfg(test)]
mod quota_slack_tests;
pub mod request_state;
pub mod requests;
pub mod retry_budget;
pub mod upstream_service;

use crate::configuration::replica::{ConfigReplica, ReplicaUpdate};
use crate::configuration::{ActiveConfig, ItemKind};
use crate::discovery::{MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
use crate::protocol::{
    standing_share_expiry_secs, LoadReport, NodeLocation, PeerMessage, QUOTA_CONTACT_TIMEOUT_SECS,
    QUOTA_SYNC_INTERVAL_SECS,
};
use crate::settings::Settings;
use drain::Drain;
use load_table::LoadTable;
use quota_admission::QuotaAdmission;
use requests::{FinalResponse, PendingRequest};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use upstream_service::UpstreamService;
use whinstall::{identifiers, HostId, RequestId};

/// What happens to this process.
#[derive(Clone, Debug)]
pub enum Event {
    /// Some time has passed: comes when [`Edge::next`] says, and every [`TICK_SECS`] seconds.
    Tick,
    /// A connection to a core machine came up.
    LinkUp(IpAddr),
    /// It went down.
    LinkDown(IpAddr),
    /// A core machine said this.
    CoreMessage(IpAddr, PeerMessage),
    /// Another gatekeeper has this out.
    PeerLoad(IpAddr, LoadReport),
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Keep a connection to this core machine open from now on.
    Connect(IpAddr),
    /// It is gone for good: no more.
    Disconnect(IpAddr),
    /// Say this on it.
    Send(IpAddr, PeerMessage),
    /// Send an attempt of a request to a worker.
    Dispatch {
        /// Which request.
        id: RequestId,
        /// Which attempt of it.
        attempt: u32,
        /// The worker's life.
        worker: HostId,
        /// Where it listens.
        address: SocketAddr,
        /// Seconds after which it is given up.
        timeout_secs: f64,
    },
    /// Give up an attempt.
    CancelAttempt(RequestId, u32),
    /// The final answer to a request.
    Respond(RequestId, FinalResponse),
    /// Close idle connections to a worker.
    CloseIdleConnections(HostId),
    /// Tell these gatekeepers, in a datagram each.
    SendLoadReport(Vec<IpAddr>, LoadReport),
}

/// Seconds between two ticks.
pub const TICK_SECS: f64 = 0.05;
/// Seconds between two pings to a core machine.
const PING: f64 = 0.5;
/// A core machine's word on who holds the counter counts for so long: seconds.
const WORD: f64 = 1.6;
/// Workers that ended are remembered for so long: seconds.
const KEEP: f64 = 60.0;
/// Core machines that are gone are forgotten after so long: seconds.
const FORGET: f64 = 60.0;

#[derive(Clone, Debug, Default)]
struct CoreLink {
    up: bool,
    heard: f64,
    holder: Option<IpAddr>,
    gates: u32,
    /// Core machines that it knows.
    others: Vec<IpAddr>,
    /// Gatekeepers that it named, and their zones.
    gatekeepers: BTreeMap<IpAddr, Arc<str>>,
    /// Messages that were heard since this came up.
    messages: u64,
    /// When it was last heard on any connection, or first wanted.
    since: f64,
}

/// The edge role.
pub struct EdgeNode {
    settings: Settings,
    /// What tells this life from others.
    pub incarnation: u64,
    items: ConfigReplica,
    /// What is served by.
    pub active_config: Arc<ActiveConfig>,
    registry: WorkerRegistry,
    quota: QuotaAdmission,
    budget: retry_budget::RetryBudgetConfig,
    services: BTreeMap<Arc<str>, UpstreamService>,
    requests: HashMap<RequestId, PendingRequest>,
    links: BTreeMap<IpAddr, CoreLink>,
    loads: LoadTable,
    /// Workers by their short names.
    names: HashMap<u32, Arc<str>>,
    /// Requests that wait for the counter.
    waiting: Vec<RequestId>,
    workers_known: bool,
    synced: bool,
    /// Who was taken for the counter's holder last.
    counted_by: Option<IpAddr>,
    pinged: f64,
    gates: u32,
    rng: fastrand::Rng,
    /// Since the process was asked to end.
    drain: Option<Drain>,
}

fn quota_terms(settings: &Settings) -> quota_admission::QuotaAdmissionConfig {
    let e = &settings.envelope;
    quota_admission::QuotaAdmissionConfig {
        sync_interval_secs: QUOTA_SYNC_INTERVAL_SECS,
        sync_timeout_secs: QUOTA_CONTACT_TIMEOUT_SECS,
        share_lifetime_secs: standing_share_expiry_secs(settings),
        overshoot_ratio: e.quota_overshoot,
        overshoot_requests: e.quota_margin,
        horizon_secs: e.quota_horizon.as_secs_f64(),
    }
}

fn budget_terms(settings: &Settings) -> retry_budget::RetryBudgetConfig {
    let e = &settings.envelope;
    let (ratio, window, slack) = (e.retry_ratio, e.retry_window.as_secs_f64(), e.retry_slack);
    // As long as it is not known when this life began.
    retry_budget::RetryBudgetConfig { ratio, window, slack, slack_from: f64::INFINITY }
}

impl EdgeNode {
    /// One that knows nothing yet; `life` differs for each start.
    pub fn new(settings: Settings, life: u64) -> Self {
        let (terms, budget) = (quota_terms(&settings), budget_terms(&settings));
        let items = ConfigReplica::default();
        EdgeNode {
            active_config: Arc::new(ActiveConfig::from_active_items(items.active_items())),
            items,
            registry: WorkerRegistry::default(),
            quota: QuotaAdmission::new(terms, &settings.node),
            budget,
            services: BTreeMap::new(),
            requests: HashMap::new(),
            links: BTreeMap::new(),
            loads: LoadTable::new(
                NodeLocation {
                    ip: settings.ip,
                    zone: settings.zone.clone(),
                    region: settings.region.clone(),
                },
                life,
            ),
            names: HashMap::new(),
            waiting: Vec::new(),
            workers_known: false,
            synced: false,
            counted_by: None,
            pinged: f64::NEG_INFINITY,
            gates: 0,
            rng: fastrand::Rng::with_seed(life ^ identifiers::fnv1a(&settings.node)),
            drain: None,
            settings,
            incarnation: life,
        }
    }

    /// What is to be done first.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        for seed in self.settings.seeds.clone() {
            self.reach(seed.ip(), out);
        }
    }

    fn reach(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        self.links.entry(ip).or_insert_with(|| {
            out.push(Effect::Connect(ip));
            CoreLink::default()
        });
    }

    /// Can clients be served? Once the configuration and its workers are known and the counter was met.
    pub fn is_ready(&self, now: f64) -> bool {
        let limited = self.active_config.tenants_by_label().values().any(|t| t.requests_per_sec > 0.0);
        self.drain.is_none() && self.can_serve() && !(limited && self.quota.are_shares_lapsed(now))
    }

    /// The same without regard to an end.
    pub fn can_serve(&self) -> bool {
        let mut routed = self
            .active_config
            .routes()
            .flat_map(|r| r.service_weights.iter().filter(|m| m.1 > 0.0).map(|m| &m.0));
        let limited = self.active_config.tenants_by_label().values().any(|t| t.requests_per_sec > 0.0);
        let has = |service: &Arc<str>| {
            self.registry.all().any(|w| w.service == *service && w.phase == WorkerPhase::Serving)
        };
        !self.items.is_empty() && (self.workers_known || routed.all(has)) && (self.synced || !limited)
    }

    /// Is any configuration known?
    pub fn is_configured(&self) -> bool {
        !self.items.is_empty()
    }

    /// Other gatekeepers that are known.
    #[cfg(test)]
    pub fn peer_count(&self) -> usize {
        self.loads.others()
    }

    /// Is this request not over yet?
    pub fn is_pending(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// Requests that are owed an answer or have an attempt out.
    pub fn pending_count(&self) -> usize {
        self.requests.len()
    }

    /// Other settings from now on: other seeds are reached for, other bounds hold.
    pub fn update_settings(&mut self, settings: Settings, out: &mut Vec<Effect>) {
        for seed in &settings.seeds {
            self.reach(seed.ip(), out);
        }
        let slack_from = self.budget.slack_from;
        (self.budget, self.settings) = (budget_terms(&settings), settings);
        self.budget.slack_from = slack_from;
        self.quota.update_config(quota_terms(&self.settings));
    }

    /// Takes an event at `now`, in seconds of a steady clock.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        if self.budget.slack_from == f64::INFINITY {
            // The first event. At the first start of all there was no life before.
            self.budget.slack_from = if self.settings.cold_start { now } else { now + self.budget.window };
        }
        match event {
            Event::Tick => self.tick(now, out),
            // The last of a connection that was given up: kept as one, it would not be opened again.
            Event::LinkUp(ip) | Event::LinkDown(ip) | Event::CoreMessage(ip, _)
                if !self.links.contains_key(&ip) => {}
            Event::LinkUp(ip) => {
                let s = &self.settings;
                let me = NodeLocation { ip: s.ip, zone: s.zone.clone(), region: s.region.clone() };
                let hello = PeerMessage::Hello {
                    node: s.node.clone(),
                    incarnation: self.incarnation,
                    location: me,
                    is_core: false,
                };
                let link = self.links.entry(ip).or_default();
                (link.up, link.messages) = (true, 0);
                out.push(Effect::Send(ip, hello));
                out.push(Effect::Send(ip, self.ping_message(ip)));
            }
            Event::LinkDown(ip) => {
                let link = std::mem::take(self.links.entry(ip).or_default());
                let (lost, since, gatekeepers) = (link.holder == Some(ip), link.since, link.gatekeepers);
                // Whom it named counts on until others do: a core that is lost takes nobody away.
                self.links.insert(ip, CoreLink { since, gatekeepers, ..CoreLink::default() });
                if lost {
                    self.quota.on_leader_lost(now);
                }
            }
            Event::CoreMessage(ip, msg) => self.core(now, ip, msg, out),
            Event::PeerLoad(ip, load) => {
                let news = self.loads.told(now, ip, load);
                self.heard_loads(news);
            }
        }
    }

    fn heard_loads(&mut self, news: Vec<(u32, u32)>) {
        for (key, out) in news {
            let Some(worker) = self.names.get(&key).and_then(|id| self.registry.get(id)) else { continue };
            if let Some(service) = self.services.get_mut(&worker.service) {
                service.elsewhere(&worker.id, out);
            }
        }
    }

    /// Tells the others what is out here, if it is time.
    fn tell_loads(&mut self, now: f64, out: &mut Vec<Effect>) {
        if let Some((to, load)) = self.loads.tell(now) {
            out.push(Effect::SendLoadReport(to, load));
        }
    }

    /// What it holds, and how much of what this core machine said it has heard.
    pub fn ping_message(&self, ip: IpAddr) -> PeerMessage {
        let heard = self.links.get(&ip).map_or(0, |l| l.messages);
        PeerMessage::Ping {
            config_index: self.items.index(),
            workers_digest: self.registry.digest(),
            received: heard,
        }
    }

    /// What a core machine says of gatekeepers; the others are those that any says are there.
    fn gatekeepers(&mut self, ip: IpAddr, whole: bool, here: Vec<(String, Vec<IpAddr>)>, gone: &[IpAddr]) {
        let link = self.links.entry(ip).or_default();
        if whole {
            link.gatekeepers.clear();
        }
        for (zone, ips) in here {
            let zone: Arc<str> = zone.into();
            link.gatekeepers.extend(ips.into_iter().map(|ip| (ip, Arc::clone(&zone))));
        }
        for ip in gone {
            link.gatekeepers.remove(ip);
        }
        let named = self.links.values().filter(|l| l.up).flat_map(|l| &l.gatekeepers);
        let all: BTreeMap<IpAddr, &str> = named.map(|(ip, zone)| (*ip, &**zone)).collect();
        self.loads.gates(all);
    }

    fn core(&mut self, now: f64, ip: IpAddr, msg: PeerMessage, out: &mut Vec<Effect>) {
        let link = self.links.entry(ip).or_default();
        (link.heard, link.since) = (now, now);
        link.messages += 1;
        match msg {
            PeerMessage::CoreNodes(members) => {
                link.others = members.iter().map(|m| m.ip).collect();
                for NodeLocation { ip, .. } in members {
                    self.reach(ip, out);
                }
            }
            PeerMessage::Pong {
                quota_leader: holder, edge_count: gates, workers_complete: settled, ..
            } => {
                (link.holder, link.gates) = (holder, gates);
                self.workers_known |= settled;
                let most = self.links.values().map(|l| l.gates).max().unwrap_or(0);
                // Fewer only once every core machine that is in touch says so.
                if most != self.gates {
                    self.gates = most;
                    self.quota.set_edge_count(most);
                    self.services.values_mut().for_each(|s| s.set_edge_count(most));
                }
                self.sync(now, out);
            }
            PeerMessage::EdgeNodes { is_full: whole, present: here, removed: gone } => {
                self.gatekeepers(ip, whole, here, &gone)
            }
            PeerMessage::ConfigUpdate { previous: from, index, items } => {
                let count = items.len();
                let whole = from.is_none();
                let kinds: BTreeSet<ItemKind> = items.iter().map(|i| i.kind).collect();
                match self.items.apply_update(from, index, items) {
                    ReplicaUpdate::Applied => {
                        let view = match whole {
                            true => ActiveConfig::from_active_items(self.items.active_items()),
                            false => self.active_config.with_changed_kinds(self.items.active_items(), &kinds),
                        };
                        self.active_config = Arc::new(view);
                        tracing::info!(index, items = count, "configuration in force");
                    }
                    // Told again, by whoever speaks for all.
                    ReplicaUpdate::Gap => {}
                    ReplicaUpdate::Stale => return,
                }
                if whole || self.items.index() < index {
                    // What is large is not to wait for the next ping: the core goes on once it was heard.
                    out.push(Effect::Send(ip, self.ping_message(ip)));
                }
            }
            PeerMessage::WorkerUpdates(workers) => self.workers(now, workers, out),
            PeerMessage::WorkerSnapshot { workers, complete: settled } => {
                if settled {
                    self.workers_known = true;
                    self.missing(now, &workers, out);
                }
                self.workers(now, workers, out);
            }
            PeerMessage::QuotaGrants { request_id: ask, term, is_leader: true, grants: totals } => {
                if self.quota.on_grants(now, ask, term, &totals) {
                    self.synced = true;
                    self.decide_waiting(now, ask, out);
                }
                self.sync(now, out);
            }
            PeerMessage::QuotaGrants { is_leader: false, .. } => {
                self.links.entry(ip).or_default().holder = None;
                self.quota.on_leader_lost(now);
            }
            _ => {}
        }
    }

    /// Workers that a settled core machine does not know: they are silent.
    fn missing(&mut self, now: f64, told: &[Worker], out: &mut Vec<Effect>) {
        let known: std::collections::HashSet<&str> = told.iter().map(|w| &*w.id).collect();
        let gone =
            self.registry.all().filter(|w| w.phase <= WorkerPhase::Draining && !known.contains(&*w.id));
        let gone: Vec<Worker> =
            gone.map(|w| Worker { phase: WorkerPhase::Unresponsive, ..w.clone() }).collect();
        if !gone.is_empty() {
            tracing::info!(workers = gone.len(), "workers that the core does not know any more");
            self.workers(now, gone, out);
        }
    }

    fn workers(&mut self, now: f64, workers: Vec<Worker>, out: &mut Vec<Effect>) {
        let mut touched: Vec<Arc<str>> = Vec::new();
        for worker in workers {
            let (id, service) = (worker.id.clone(), worker.service.clone());
            self.names.insert(load_table::key(&id), id.clone());
            if self.registry.merge(now, worker, KEEP) != MergeOutcome::Changed {
                continue;
            }
            if self.registry.get(&id).is_some_and(|w| w.phase != WorkerPhase::Serving) {
                out.push(Effect::CloseIdleConnections(HostId(id)));
            }
            if !touched.contains(&service) {
                touched.push(service);
            }
        }
        for service in touched {
            self.refresh(now, &service, out);
        }
    }

    /// Tells a service's module its workers.
    fn refresh(&mut self, now: f64, name: &Arc<str>, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.service(name);
        if let Some(service) = self.services.get_mut(name) {
            service.workers(now, &self.registry, &mut actions);
            for worker in self.registry.all().filter(|w| w.service == *name) {
                service.elsewhere(&worker.id, self.loads.elsewhere(&worker.id));
            }
        }
        self.carry_out(now, name, actions, out);
    }

    /// The service of this name, made if need be.
    fn service(&mut self, name: &Arc<str>) {
        if !self.services.contains_key(name) {
            let ordinal = (identifiers::fnv1a(&self.settings.node) >> 40) as u32;
            let seed = self.rng.u64(..);
            let made = UpstreamService::new(Arc::clone(name), &self.settings.zone, ordinal, self.gates, seed);
            self.services.insert(Arc::clone(name), made);
        }
    }

    /// May this worker be sent to right now?
    pub fn is_serving(&self, worker: &HostId) -> bool {
        self.registry.get(&worker.0).is_some_and(|w| w.phase == WorkerPhase::Serving)
    }

    /// Who holds the counter, by the freshest word of the core.
    fn holder(&self, now: f64) -> Option<IpAddr> {
        let fresh = self.links.iter().filter(|(_, l)| l.up && now - l.heard <= WORD);
        let own = fresh.clone().find(|(ip, l)| l.holder == Some(**ip)).map(|(ip, _)| *ip);
        own.or_else(|| {
            let mut words = fresh.filter_map(|(_, l)| l.holder);
            words.find(|ip| self.links.get(ip).is_some_and(|l| l.up))
        })
    }

    /// Tells the counter what is due.
    fn sync(&mut self, now: f64, out: &mut Vec<Effect>) {
        let Some(holder) = self.holder(now) else { return };
        if self.counted_by.replace(holder) != Some(holder) {
            self.quota.resync_all();
        }
        if let Some((ask, charges)) = self.quota.begin_sync(now) {
            out.push(Effect::Send(
                holder,
                PeerMessage::QuotaSync { request_id: ask, term: self.quota.term(), usage: charges },
            ));
        }
    }

    /// When a tick is wanted next at the latest.
    pub fn next_wakeup(&self, now: f64) -> f64 {
        let modules = self.services.values().map(|s| s.due);
        modules
            .fold(now + TICK_SECS, f64::min)
            .min(self.loads.next().max(now))
            .min(self.quota.next_sync_at(now).max(now + 0.005))
    }

    /// Core machines that were replaced are not reached for any more: not heard for long, no seeds, and named by nobody. A
    /// connection alone tells nothing: the address may be somebody else's by now.
    fn forget(&mut self, now: f64, out: &mut Vec<Effect>) {
        for link in self.links.values_mut().filter(|l| l.since == 0.0) {
            link.since = now;
        }
        let named = |ip: &IpAddr| self.links.values().any(|l| l.up && l.others.contains(ip));
        let seed = |ip: &IpAddr| self.settings.seeds.iter().any(|s| s.ip() == *ip);
        let gone = |(ip, l): &(&IpAddr, &CoreLink)| now - l.since > FORGET && !seed(ip) && !named(ip);
        let gone: Vec<IpAddr> = self.links.iter().filter(gone).map(|(ip, _)| *ip).collect();
        for ip in gone {
            self.links.remove(&ip);
            out.push(Effect::Disconnect(ip));
        }
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        // Who holds the counter is asked for more often until it is known.
        let every = if self.holder(now).is_some() { PING } else { PING / 5.0 };
        if now - self.pinged >= every {
            self.pinged = now;
            let up = self.links.iter().filter(|(_, l)| l.up).map(|(ip, _)| *ip);
            out.extend(up.map(|ip| Effect::Send(ip, self.ping_message(ip))));
            self.forget(now, out);
            self.registry.sweep(now);
            let news = self.loads.sweep(now);
            self.heard_loads(news);
            if self.names.len() > 4 * self.registry.all().count() + 64 {
                let registry = &self.registry;
                self.names.retain(|_, id| registry.get(id).is_some());
            }
        }
        self.sync(now, out);
        self.decide_waiting(now, 0, out);
        self.tell_loads(now, out);
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            let mut actions = Vec::new();
            if let Some(service) = self.services.get_mut(&name).filter(|s| now >= s.due) {
                let further = service.further(now, &self.budget, self.gates);
                service.tick(now, further, &mut actions);
            }
            self.carry_out(now, &name, actions, out);
        }
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod links_tests;
