//! The edge role as one state machine: [`Event`]s and requests in, [`Effect`]s out. The state machine performs no I/O and
//! reads no clock: the caller passes the time, in seconds of a monotonic clock, and performs the effects in the order in
//! which they were emitted.
//!
//! | concern | module |
//! | --- | --- |
//! | requests, from receipt to final response | `requests`, `request_state`, `time_limits`, `drain` |
//! | choice of workers and retries | `upstream_service`, `retry_budget`, `worker_updates` |
//! | quotas | `quota_admission`, `quota_sync` |
//! | links to core nodes, configuration | `core_links` |
//! | load reports between edge nodes | `load_table`, `load_sharing` |
//! | timers | `upkeep` |
//!
//! Invariants: the configuration in use never reverts to an older version, and a non-idempotent request that may have
//! run is never dispatched again (see [`request_state`]).

mod core_links;
#[cfg(test)]
mod core_links_tests;
pub mod drain;
mod events;
mod load_sharing;
pub mod load_table;
pub mod quota_admission;
mod quota_sync;
pub mod request_state;
pub mod requests;
pub mod retry_budget;
pub mod time_limits;
mod upkeep;
pub mod upstream_service;
mod worker_updates;

pub use events::{Effect, Event};

use crate::configuration::replica::ConfigReplica;
use crate::configuration::ActiveConfig;
use crate::discovery::{WorkerPhase, WorkerRegistry};
use crate::settings::Settings;
use core_links::{own_location, CoreLink};
use drain::Drain;
use load_table::{LoadTable, WorkerKey};
use quota_admission::QuotaAdmission;
use quota_sync::quota_config;
use requests::PendingRequest;
use retry_budget::RetryBudgetConfig;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use upstream_service::UpstreamService;
use whinstall::{identifiers, RequestId};

/// Longest time between two [`Event::Tick`]s, in seconds.
pub const TICK_SECS: f64 = 0.05;

/// The state machine of the edge role.
pub struct EdgeNode {
    settings: Settings,
    /// Incarnation number of this process; every start of the process uses a different one.
    pub incarnation: u64,
    /// The configuration as received from the core.
    replica: ConfigReplica,
    /// Parsed form of `replica`, by which requests are routed and admitted.
    pub active_config: Arc<ActiveConfig>,
    registry: WorkerRegistry,
    quota: QuotaAdmission,
    retry_budget: RetryBudgetConfig,
    services: BTreeMap<Arc<str>, UpstreamService>,
    /// Requests that are unanswered or have an attempt in flight.
    requests: HashMap<RequestId, PendingRequest>,
    links: BTreeMap<IpAddr, CoreLink>,
    loads: LoadTable,
    /// Ids of workers by their keys in load reports.
    worker_ids: HashMap<WorkerKey, Arc<str>>,
    /// Requests that wait for a quota grant, in the order of their arrival.
    awaiting_grant: Vec<RequestId>,
    /// Whether a core node has sent every live worker that a majority of the core knows.
    has_complete_workers: bool,
    /// Whether a quota leader has answered this incarnation.
    has_quota_answer: bool,
    /// Quota leader known when quota syncs were last considered; another one gets a full sync.
    last_quota_leader: Option<IpAddr>,
    /// When the core nodes were last pinged, in seconds of the clock that is passed in.
    last_ping_at: f64,
    /// Number of edge nodes that the core reports; 0 if unknown.
    edge_count: u32,
    rng: fastrand::Rng,
    /// Schedule of the graceful shutdown, once one has begun.
    drain: Option<Drain>,
}

/// Retry budget limits from the settings. Slack stays unavailable (`slack_available_at` is infinite) until the first event
/// sets the start time of this incarnation.
fn retry_budget_config(settings: &Settings) -> RetryBudgetConfig {
    let envelope = &settings.envelope;
    RetryBudgetConfig {
        ratio: envelope.retry_ratio,
        window_secs: envelope.retry_window.as_secs_f64(),
        slack: envelope.retry_slack,
        slack_available_at: f64::INFINITY,
    }
}

impl EdgeNode {
    /// Creates a node without configuration and workers. Every start of the process must pass a different `incarnation`.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let replica = ConfigReplica::default();
        EdgeNode {
            active_config: Arc::new(ActiveConfig::from_active_items(replica.active_items())),
            replica,
            registry: WorkerRegistry::default(),
            quota: QuotaAdmission::new(quota_config(&settings), &settings.node),
            retry_budget: retry_budget_config(&settings),
            services: BTreeMap::new(),
            requests: HashMap::new(),
            links: BTreeMap::new(),
            loads: LoadTable::new(own_location(&settings), incarnation),
            worker_ids: HashMap::new(),
            awaiting_grant: Vec::new(),
            has_complete_workers: false,
            has_quota_answer: false,
            last_quota_leader: None,
            last_ping_at: f64::NEG_INFINITY,
            edge_count: 0,
            rng: fastrand::Rng::with_seed(incarnation ^ identifiers::fnv1a(&settings.node)),
            drain: None,
            settings,
            incarnation,
        }
    }

    /// Emits the initial effects: connections to the seed nodes.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        for seed in self.settings.seeds.clone() {
            self.open_link(seed.ip(), out);
        }
    }

    /// Handles an event at `now`, in seconds of a monotonic clock.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        if self.retry_budget.slack_available_at == f64::INFINITY {
            // On a cold start of the deployment, no earlier incarnation can have spent slack in the current window.
            let window_secs = if self.settings.cold_start { 0.0 } else { self.retry_budget.window_secs };
            self.retry_budget.slack_available_at = now + window_secs;
        }
        match event {
            Event::Tick => self.on_tick(now, out),
            // Late events of a link that was closed are ignored: handling them would re-create the link's entry, and a
            // later `open_link` would then not connect.
            Event::LinkUp(ip) | Event::LinkDown(ip) | Event::CoreMessage(ip, _)
                if !self.links.contains_key(&ip) => {}
            Event::LinkUp(ip) => self.on_link_up(ip, out),
            Event::LinkDown(ip) => self.on_link_down(now, ip),
            Event::CoreMessage(ip, message) => self.on_core_message(now, ip, message, out),
            Event::PeerLoad(ip, report) => {
                let changes = self.loads.on_report(now, ip, report);
                self.apply_load_changes(changes);
            }
        }
    }

    /// Replaces the settings: connects to new seeds and applies new limits. Links to seeds that are no longer listed stay
    /// open until they are obsolete.
    pub fn update_settings(&mut self, settings: Settings, out: &mut Vec<Effect>) {
        for seed in &settings.seeds {
            self.open_link(seed.ip(), out);
        }
        let slack_available_at = self.retry_budget.slack_available_at;
        self.retry_budget = RetryBudgetConfig { slack_available_at, ..retry_budget_config(&settings) };
        self.settings = settings;
        self.quota.update_config(quota_config(&self.settings));
    }

    /// Whether the platform may route clients to this node: the node can serve, is not draining, and, if any tenant has a
    /// quota, its standing shares have not expired.
    pub fn is_ready(&self, now: f64) -> bool {
        let can_admit = !self.has_quotas() || !self.quota.are_shares_expired(now);
        self.drain.is_none() && self.can_serve() && can_admit
    }

    /// Whether the node has all that serving requires: a configuration; the complete list of workers, or a serving worker of
    /// every routed service; and, if any tenant has a quota, a first answer from the quota leader.
    pub fn can_serve(&self) -> bool {
        let mut routed_services = self.active_config.routes().flat_map(|r| {
            r.service_weights.iter().filter(|(_, weight)| *weight > 0.0).map(|(service, _)| service)
        });
        let has_worker = |service: &Arc<str>| {
            self.registry.workers().any(|w| w.service == *service && w.phase == WorkerPhase::Serving)
        };
        self.is_configured()
            && (self.has_complete_workers || routed_services.all(has_worker))
            && (self.has_quota_answer || !self.has_quotas())
    }

    fn has_quotas(&self) -> bool {
        self.active_config.tenants_by_label().values().any(|t| t.requests_per_sec > 0.0)
    }

    /// Whether a configuration has been received.
    pub fn is_configured(&self) -> bool {
        !self.replica.is_empty()
    }

    /// Number of other edge nodes known.
    #[cfg(test)]
    pub fn peer_count(&self) -> usize {
        self.loads.peer_count()
    }

    /// Whether this request is unanswered or has an attempt in flight.
    pub fn is_pending(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// Number of requests that are unanswered or have an attempt in flight.
    pub fn pending_count(&self) -> usize {
        self.requests.len()
    }
}
