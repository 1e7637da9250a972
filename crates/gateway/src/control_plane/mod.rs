//! The core role (control plane) as one deterministic state machine: events in, effects out. The time is passed in, as
//! seconds of a monotonic clock.
//!
//! One replicated log orders configuration changes, shutdown announcements of workers, changes of the core's membership
//! and records of share ceilings ([`configuration_service`], `replicated_log`, [`quota_lease`]). Reports of workers
//! spread between core nodes by gossip, without waiting for a disk ([`worker_membership`]). Edge nodes are sent the
//! state that they lack (`edge_sessions`).
//!
//! Invariants:
//! - A call is acknowledged only once enough core nodes hold its change on their disks to survive the losses that the
//!   settings tolerate. This holds for changes of the configuration and for the shutdowns of workers.
//! - A node without contact with a majority neither accepts workers' calls nor sends a full configuration. An edge node
//!   that has just started would take a stale configuration for the newest.
//! - A node that has just started accepts no heartbeat before it has applied what was committed before its start
//!   (`has_caught_up`). It would otherwise take the late heartbeat of a departed worker for that of a new one.

mod api_calls;
mod change_tracker;
pub mod configuration_service;
mod context;
mod edge_directory;
mod edge_sessions;
pub mod event_journal;
mod events;
mod in_flight_window;
mod peer_messages;
pub mod quota_counter;
pub mod quota_lease;
mod replicated_log;
mod snapshot;
mod status;
mod upkeep;
pub mod worker_membership;

use crate::configuration::ConfigState;
use crate::consensus::{NodeId, Raft, Term};
use crate::protocol::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, TenantLimit};
use crate::settings::Settings;
use crate::storage::LoadedState;
pub use api_calls::error_body;
use configuration_service::ConfigurationService;
pub use context::CoreContext;
use edge_directory::EdgeDirectory;
use edge_sessions::{PeerSession, TransferPacing};
pub use events::{ApiCommand, CallId, ConnectionId, Effect, Event};
use quota_lease::QuotaLease;
use replicated_log::LogDriver;
use snapshot::DecodedSnapshot;
pub use snapshot::SnapshotError;
use status::MemberStates;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use worker_membership::WorkerMembership;

/// Seconds between two [`Event::Tick`]s.
pub const TICK_SECS: f64 = 0.05;

/// Decodes the configuration in a snapshot of the log.
///
/// # Errors
/// The bytes are not a snapshot, or the snapshot comes from an unknown release.
pub fn decode_snapshot_config(data: &[u8]) -> Result<ConfigState, SnapshotError> {
    Ok(snapshot::decode(data)?.config)
}

/// The state of a core node.
pub struct CoreNode {
    /// State that all parts of the core role share: identity, settings, known core nodes, the current time.
    pub context: CoreContext,
    /// The replicated log.
    pub raft: Raft<LogCommand>,
    /// Operators' calls and the configuration that is applied here.
    pub configuration: ConfigurationService,
    /// The workers, as this node knows them.
    pub membership: WorkerMembership,
    /// The quota counter, while this node holds its lease.
    pub quota_lease: QuotaLease,
    /// The share ceilings recorded up to the last applied entry; `None` before the first record.
    recorded_ceilings: Option<Arc<ShareCeilings>>,
    log_driver: LogDriver,
    /// Inbound connections whose node has identified itself.
    sessions: BTreeMap<ConnectionId, PeerSession>,
    /// The core nodes that were last sent to the sessions.
    advertised: Vec<NodeLocation>,
    edges: EdgeDirectory,
    transfer_pacing: TransferPacing,
    /// Core nodes to which an outbound connection is up.
    connected_peers: BTreeSet<IpAddr>,
    member_states: MemberStates,
    /// Whether this node has applied all entries that were committed before it started.
    has_caught_up: bool,
    /// Time of the last tick, in seconds of the event clock.
    last_tick: f64,
    /// Time of the last pings to the other core nodes, in seconds of the event clock.
    last_ping: f64,
    /// Time of the last removal of stale core nodes, in seconds of the event clock.
    last_cleanup: f64,
    /// Set once this node can't continue, because a leader sent a snapshot that this release can't decode. The driver
    /// then ends the process.
    pub fatal_error: Option<SnapshotError>,
}

impl CoreNode {
    /// Creates a core node at `now` from the state that was loaded from its disk.
    ///
    /// # Errors
    /// The snapshot on the disk can't be decoded.
    pub fn new(now: f64, settings: Settings, loaded: LoadedState) -> Result<Self, SnapshotError> {
        let context = CoreContext::new(now, settings);
        let decoded = match &loaded.raft_state.snapshot {
            Some(snapshot) if !snapshot.data.is_empty() => snapshot::decode(&snapshot.data)?,
            _ => DecodedSnapshot::default(),
        };
        let applied = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.index);
        let snapshot_bytes = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.data.len());
        let me = NodeId { ip: context.me.ip, disk: loaded.disk_id };
        let has_no_log = loaded.raft_state.entries.is_empty() && loaded.raft_state.snapshot.is_none();
        let raft = Raft::new(
            context.log_time(now),
            me,
            loaded.raft_state,
            replicated_log::raft_config(&context.settings),
        );
        let mut core = CoreNode {
            membership: WorkerMembership::new(&context.settings, now, loaded.workers, &decoded.shutdowns),
            configuration: ConfigurationService::new(decoded.config, decoded.shutdowns, applied),
            quota_lease: QuotaLease::new(&context.settings),
            raft,
            recorded_ceilings: decoded.ceilings,
            log_driver: LogDriver::new(snapshot_bytes),
            sessions: BTreeMap::new(),
            advertised: Vec::new(),
            edges: EdgeDirectory::default(),
            transfer_pacing: TransferPacing::default(),
            connected_peers: BTreeSet::new(),
            member_states: MemberStates::default(),
            has_caught_up: false,
            last_tick: now,
            last_ping: f64::NEG_INFINITY,
            last_cleanup: now,
            fatal_error: None,
            context,
        };
        // At the first start of the system each seed bootstraps the log with disk 0 of every seed. A seed that crashed
        // before the bootstrap was synced repeats it, although its settings no longer say that this is the first start.
        let settings = &core.context.settings;
        if has_no_log && loaded.disk_id == 0 && settings.is_seed() {
            let seeds = settings.seeds.iter().map(|s| NodeId { ip: s.ip(), disk: 0 }).collect();
            core.raft.bootstrap(core.context.log_time(now), seeds);
        }
        Ok(core)
    }

    /// Appends the first effects to `out`: connections to the known core nodes, and the first outputs of the log.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        out.extend(self.context.peers().into_iter().map(Effect::Connect));
        self.process_raft_outputs(self.context.now, out);
    }

    /// Handles an event at `now`, in seconds of a monotonic clock, and appends the effects to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        self.context.now = now;
        let first = out.len();
        self.dispatch(now, event, out);
        self.record_sent(&out[first..]);
    }

    fn dispatch(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::LinkUp(ip) => self.handle_link_up(ip, out),
            Event::LinkDown(ip) => self.handle_link_down(ip),
            Event::PeerMessage(ip, message) => self.handle_peer_message(now, ip, message, out),
            Event::SessionMessage(conn, message) => self.handle_session_message(now, conn, message, out),
            Event::SessionClosed(conn) => {
                self.sessions.remove(&conn);
            }
            Event::ApiCall(call, command) => self.handle_api_call(now, call, command, out),
            Event::Persisted(batch) => self.handle_persisted(now, batch, out),
            Event::Shutdown => self.shut_down(now, out),
        }
    }

    /// Releases the quota lease, transfers leadership, and announces that this node leaves, so that the leader can
    /// remove it from the voters.
    fn shut_down(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.quota_lease.release();
        let log_time = self.context.log_time(now);
        self.raft.transfer_leadership(log_time);
        self.process_raft_outputs(now, out);
        self.announce_leave(out);
    }

    /// Whether this node is the leader and another voter could take over.
    pub fn has_leadership_to_transfer(&self) -> bool {
        self.raft.is_leader() && self.context.voters.len() > 1
    }

    /// Whether this node has applied all entries that were committed before it started. Once it has, it stays so: what
    /// was committed later reaches it like any other entry.
    fn has_caught_up(&mut self, now: f64) -> bool {
        self.has_caught_up |= self.raft.has_current_state(self.context.log_time(now));
        self.has_caught_up
    }

    fn accepts_heartbeats(&mut self, now: f64) -> bool {
        self.has_caught_up(now) && self.context.has_majority(now)
    }

    /// The term in which this node holds the leader lease; `None` if it holds none.
    fn leased_term(&self, now: f64) -> Option<Term> {
        self.raft.holds_lease(self.context.log_time(now)).then(|| self.raft.term())
    }
}

/// The configured limit of a tenant.
fn tenant_limit(state: &ConfigState, tenant: &str) -> Option<TenantLimit> {
    let configured = state.tenant_rate(tenant)?;
    Some(TenantLimit { rate: configured.requests_per_sec, burst: configured.burst })
}
