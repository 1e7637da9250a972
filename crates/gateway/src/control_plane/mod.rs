//! The core role as one state machine: events in, effects out. One replicated log orders the operators' calls (`keeper`),
//! the core's members and the counter's posts (`seat`); the list of workers (`roster`) goes by word of mouth and waits
//! for no disk; gatekeepers hear what is news (`gates`). Pure; time is passed in. It must never acknowledge what too few
//! disks hold, nor speak for workers or hand out a whole configuration while it is out of touch with most of the core.

mod change_tracker;
pub mod configuration_service;
mod context;
mod edge_directory;
mod edge_sessions;
pub mod event_journal;
#[cfg(test)]
mod event_journal_tests;
mod in_flight_window;
pub mod quota_counter;
pub mod quota_lease;
mod replicated_log;
mod snapshot;
mod status;
pub mod worker_membership;

use crate::configuration::{ConfigChange, ConfigState};
use crate::consensus::{NodeId, Raft};
use crate::control_plane::event_journal::JournalEvent;
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::share_ceilings::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, OperatorRequest, PeerMessage, TenantLimit};
use crate::settings::Settings;
use crate::storage::{LoadedState, WriteBatch};
use configuration_service::ConfigurationService;
pub use context::CoreContext;
use edge_directory::EdgeDirectory;
use edge_sessions::{PeerSession, TransferPacing};
use quota_lease::QuotaLease;
use replicated_log::LogDriver;
use serde_json::{json, Value};
use status::MemberStates;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use worker_membership::WorkerMembership;

/// A connection that somebody opened to this process.
pub type ConnectionId = u64;
/// A call of a worker or an operator that waits for its answer.
pub type CallId = u64;

/// What a worker or an operator wants, decoded.
#[derive(Clone, Debug)]
pub enum ApiCommand {
    /// A worker lives.
    Heartbeat(Worker),
    /// A worker has left.
    Departure(String),
    /// Items change.
    Amend(Vec<crate::configuration::ConfigItem>),
    /// A call that changes items can't be read: why. Refused like any other, only in touch with most of the core.
    InvalidChange(String),
    /// Any other call that can't be read: why. Refused in the same way.
    Malformed(String),
    /// What stands?
    Read,
    /// What happened here?
    Journal,
    /// Who is of the core, who leads, how far is each?
    Status,
}

/// What happens to this process.
#[derive(Clone, Debug)]
pub enum Event {
    /// Some time has passed: comes every [`TICK`] seconds.
    Tick,
    /// A connection to a core machine came up.
    LinkUp(IpAddr),
    /// It went down.
    LinkDown(IpAddr),
    /// A core machine said this on the connection that this process opened to it.
    PeerMessage(IpAddr, PeerMessage),
    /// Somebody said this on a connection that it opened.
    SessionMessage(ConnectionId, PeerMessage),
    /// It closed that connection.
    SessionClosed(ConnectionId),
    /// A worker or an operator calls.
    ApiCall(CallId, ApiCommand),
    /// What was to be persisted under this number is synced, and all before it.
    Persisted(u64),
    /// This process is asked to end.
    Shutdown,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Keep a connection to this core machine open from now on.
    Connect(IpAddr),
    /// It is gone for good: no more.
    Disconnect(IpAddr),
    /// Say this on it.
    SendToPeer(IpAddr, PeerMessage),
    /// Say this on a connection that somebody opened.
    SendToSession(ConnectionId, PeerMessage),
    /// Answer a call.
    Respond(CallId, u16, Value),
    /// Write and sync, in this order.
    Persist(WriteBatch),
}

/// Seconds between two ticks.
pub const TICK: f64 = 0.05;
/// Seconds between two pings to a core machine.
const PING: f64 = 0.3;
/// This process was away if it did not tick for so long: seconds.
const AWAY: f64 = 0.5;
/// Machines that are gone are looked for this often: seconds.
const FORGET_EVERY: f64 = 5.0;

/// Answer of a call that was not taken.
pub fn error_body(text: impl ToString) -> Value {
    json!({ "fault": text.to_string() })
}

/// The configuration in a snapshot of the log.
pub fn decode_snapshot_config(data: &[u8]) -> Result<ConfigState, String> {
    Ok(snapshot::decode(data)?.0)
}

/// The core role.
pub struct CoreNode {
    /// What its parts share.
    pub context: CoreContext,
    /// The replicated log.
    pub raft: Raft<LogCommand>,
    /// Configuration.
    pub configuration: ConfigurationService,
    /// Workers.
    pub membership: WorkerMembership,
    /// The counter.
    pub quota_lease: QuotaLease,
    /// The last record of shares that is applied.
    recorded_ceilings: Option<Arc<ShareCeilings>>,
    log_driver: LogDriver,
    sessions: BTreeMap<ConnectionId, PeerSession>,
    /// Core machines that callers were told of last.
    advertised: Vec<NodeLocation>,
    /// Gatekeepers.
    edges: EdgeDirectory,
    transfer_pacing: TransferPacing,
    /// Core machines to which a connection stands.
    connected_peers: BTreeSet<IpAddr>,
    member_states: MemberStates,
    last_tick: f64,
    last_ping: f64,
    last_cleanup: f64,
    /// Why this process can't go on, if so.
    pub fatal_error: Option<String>,
}

impl CoreNode {
    /// Starts with what its disk holds.
    pub fn new(now: f64, settings: Settings, loaded: LoadedState) -> Result<Self, String> {
        let context = CoreContext::new(now, settings);
        let (state, recorded_ceilings) = match &loaded.raft_state.snapshot {
            Some(snapshot) if !snapshot.data.is_empty() => snapshot::decode(&snapshot.data)?,
            _ => (ConfigState::default(), None),
        };
        let applied = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.index);
        let snapshot_bytes = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.data.len());
        let me = NodeId { ip: context.me.ip, disk: loaded.disk_id };
        let is_empty = loaded.raft_state.entries.is_empty() && loaded.raft_state.snapshot.is_none();
        let raft = Raft::new(
            context.log_time(now),
            me,
            loaded.raft_state,
            replicated_log::tuning(&context.settings),
        );
        let mut core = CoreNode {
            configuration: ConfigurationService::new(state, applied),
            membership: WorkerMembership::new(&context.settings, now, loaded.workers),
            quota_lease: QuotaLease::new(&context.settings),
            raft,
            recorded_ceilings,
            log_driver: LogDriver::default(),
            sessions: BTreeMap::new(),
            advertised: Vec::new(),
            edges: EdgeDirectory::default(),
            transfer_pacing: TransferPacing::default(),
            connected_peers: BTreeSet::new(),
            member_states: MemberStates::default(),
            last_tick: now,
            last_ping: f64::NEG_INFINITY,
            last_cleanup: now,
            fatal_error: None,
            context,
        };
        core.log_driver.started(snapshot_bytes);
        // First start of the whole system: each seed bootstraps the log with disk 0 of every seed. A seed that crashed
        // before this was synced does so again, although its settings no longer say that this is the first start.
        let settings = &core.context.settings;
        if is_empty && loaded.disk_id == 0 && settings.is_seed() {
            let seeds = settings.seeds.iter().map(|s| NodeId { ip: s.ip(), disk: 0 }).collect();
            core.raft.bootstrap(core.context.log_time(now), seeds);
        }
        Ok(core)
    }

    /// What is to be done first.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        out.extend(self.context.peers().into_iter().map(Effect::Connect));
        self.log_out(self.context.now, out);
    }

    /// Takes an event at `now`, in seconds of a steady clock.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        self.context.now = now;
        let before = out.len();
        self.take(now, event, out);
        self.count(&out[before..]);
    }

    fn take(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::LinkUp(ip) => self.link_up(ip, out),
            Event::LinkDown(ip) => {
                self.context.last_heard.remove(&ip);
                self.connected_peers.remove(&ip);
            }
            Event::PeerMessage(ip, msg) => self.peer(now, ip, msg, out),
            Event::SessionMessage(conn, msg) => self.inbound(now, conn, msg, out),
            Event::SessionClosed(conn) => {
                self.sessions.remove(&conn);
            }
            Event::ApiCall(call, command) => self.call(now, call, command, out),
            Event::Persisted(put) => self.log_synced(now, put, out),
            Event::Shutdown => {
                self.quota_lease.end();
                let ms = self.context.log_time(now);
                self.raft.transfer_leadership(ms);
                self.log_out(now, out);
                self.tell_end(out);
            }
        }
    }

    /// Does this process still have what others wait for: the lead?
    pub fn has_leadership_to_transfer(&self) -> bool {
        self.raft.is_leader() && self.context.voters.len() > 1
    }

    fn link_up(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        self.connected_peers.insert(ip);
        let hello = PeerMessage::Hello {
            node: self.context.settings.node.clone(),
            incarnation: self.context.incarnation(),
            location: self.context.me.clone(),
            is_core: true,
        };
        out.push(Effect::SendToPeer(ip, hello));
        out.push(Effect::SendToPeer(ip, PeerMessage::CoreNodes(self.context.advertised_nodes())));
        let workers: Vec<Worker> = self.membership.registry.all().cloned().collect();
        if !workers.is_empty() {
            out.push(Effect::SendToPeer(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    /// Core machines are known, or more of them than before.
    fn learn_core_nodes(&mut self, members: Vec<NodeLocation>, out: &mut Vec<Effect>) {
        let mut news = false;
        for m in members {
            let (ip, zone) = (m.ip, m.zone.clone());
            let Some(new) = self.context.learn_node(m) else { continue };
            news = true;
            if new {
                tracing::info!(member = %ip, zone, "core machine met");
                out.push(Effect::Connect(ip));
            }
        }
        if news {
            self.advertise_core_nodes(out);
        }
    }

    /// Callers hear of core machines that they were not told of: one that is known is told only once it was heard.
    fn advertise_core_nodes(&mut self, out: &mut Vec<Effect>) {
        let all = self.context.advertised_nodes();
        if all != self.advertised {
            for conn in self.sessions.keys() {
                out.push(Effect::SendToSession(*conn, PeerMessage::CoreNodes(all.clone())));
            }
            self.advertised = all;
        }
    }

    /// What a core machine says on the connection that this process opened.
    fn peer(&mut self, now: f64, ip: IpAddr, msg: PeerMessage, out: &mut Vec<Effect>) {
        self.context.last_heard.insert(ip, now);
        match msg {
            PeerMessage::CoreNodes(members) => self.learn_core_nodes(members, out),
            PeerMessage::WorkersReplicated { request_id: ask } => {
                self.membership.held(ip, ask, &self.context, out)
            }
            PeerMessage::Ping { workers_digest: workers, .. } => self.digest(now, ip, workers, out),
            PeerMessage::ForwardResponse { request_id: ask, response: answer } => {
                self.configuration.told(ask, answer, &mut self.context, out)
            }
            _ => {}
        }
    }

    /// A core machine's digest of the workers: if they go on to differ it is told all.
    fn digest(&mut self, now: f64, ip: IpAddr, workers: u64, out: &mut Vec<Effect>) {
        if self.membership.differs(now, ip, workers) {
            let workers = self.membership.registry.all().cloned().collect();
            out.push(Effect::SendToPeer(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    fn inbound(&mut self, now: f64, conn: ConnectionId, msg: PeerMessage, out: &mut Vec<Effect>) {
        if let PeerMessage::Hello { node, incarnation: life, location: me, is_core: core } = msg {
            return self.hello(now, conn, (node, life, core), me, out);
        }
        let Some(caller) = self.sessions.get(&conn).cloned() else { return };
        if caller.member.is_none() {
            self.edges.heard(now, &caller.node);
        }
        match msg {
            PeerMessage::CoreNodes(members) => self.learn_core_nodes(members, out),
            PeerMessage::Consensus { from, to, message } => self.log_says(now, (from, to), message, out),
            PeerMessage::Join { id, forwarded: passed } => self.wants_to_join(now, id, passed, out),
            PeerMessage::Leave { id } => {
                let ms = self.context.log_time(now);
                self.raft.leave(ms, id);
                self.log_out(now, out);
            }
            PeerMessage::ForwardRequest { request_id: ask, request: wish } => {
                let parts = (&mut self.raft, &mut self.context);
                self.configuration.forwarded(now, (conn, ask), wish, parts, out);
                self.log_out(now, out);
            }
            PeerMessage::WorkerUpdates(workers) | PeerMessage::WorkerSnapshot { workers, .. } => {
                self.news(now, workers, false, out)
            }
            PeerMessage::ReplicateWorkers { request_id: ask, workers } => {
                self.news(now, workers, false, out);
                out.push(Effect::SendToSession(conn, PeerMessage::WorkersReplicated { request_id: ask }));
            }
            PeerMessage::Heartbeats(heard) => {
                // Some may be unknown here: the digests will differ, and the whole list comes.
                self.membership.alive(now, &heard);
            }
            PeerMessage::Ping { config_index: config, workers_digest: workers, received: heard } => {
                self.pinged(now, conn, (config, workers, heard), out)
            }
            PeerMessage::QuotaSync { request_id: ask, term, usage: charges } => {
                let limits = |name: &str| limit(&self.configuration.state, name);
                let lease = self.raft.holds_lease(self.context.log_time(now)).then(|| self.raft.term());
                let gate = (caller.node.as_str(), caller.life);
                let totals = self.quota_lease.sync(now, lease, gate, term, &charges, &limits);
                let (held, totals, term) = (totals.is_some(), totals.unwrap_or_default(), self.raft.term());
                out.push(Effect::SendToSession(
                    conn,
                    PeerMessage::QuotaGrants { request_id: ask, term, is_leader: held, grants: totals },
                ));
            }
            _ => {}
        }
    }

    /// Workers' news: what is new here goes to the gatekeepers, and to the core if it was told here first.
    fn news(&mut self, now: f64, workers: Vec<Worker>, first: bool, out: &mut Vec<Effect>) {
        let (changed, contested) = self.membership.merge(now, workers, &mut self.context.journal);
        self.persist_workers(&changed, out);
        if !changed.is_empty() {
            self.tell_workers(now, out);
        }
        // Somebody took for silent what was heard of here since.
        let tell = if first { changed } else { contested };
        if !tell.is_empty() {
            let peers = self.context.peers();
            out.extend(
                peers.into_iter().map(|ip| Effect::SendToPeer(ip, PeerMessage::WorkerUpdates(tell.clone()))),
            );
        }
    }

    /// Nobody waits for it: after a loss of power all are known at once again, as far as it got.
    fn persist_workers(&mut self, workers: &[Worker], out: &mut Vec<Effect>) {
        if !workers.is_empty() {
            let number = self.context.next_id();
            out.push(Effect::Persist(WriteBatch {
                sequence: number,
                workers: workers.to_vec(),
                ..WriteBatch::default()
            }));
        }
    }

    fn call(&mut self, now: f64, call: CallId, command: ApiCommand, out: &mut Vec<Effect>) {
        let wish = match command {
            ApiCommand::Amend(items) => OperatorRequest::Amend(ConfigChange::new(items)),
            ApiCommand::InvalidChange(why) => OperatorRequest::Reject(why),
            ApiCommand::Read => OperatorRequest::Read,
            ApiCommand::Journal => {
                return out.push(Effect::Respond(call, 200, self.context.journal.tell(now)))
            }
            ApiCommand::Status => return out.push(Effect::Respond(call, 200, self.status(now))),
            ApiCommand::Heartbeat(_) | ApiCommand::Departure(_) | ApiCommand::Malformed(_)
                if !self.context.has_majority(now) =>
            {
                return out.push(Effect::Respond(
                    call,
                    503,
                    error_body("out of touch with most of the core"),
                ));
            }
            ApiCommand::Malformed(why) => return out.push(Effect::Respond(call, 400, error_body(why))),
            ApiCommand::Heartbeat(worker) => {
                let leaving = worker.phase != WorkerPhase::Serving;
                self.news(now, vec![worker.clone()], true, out);
                self.membership.refreshed(&worker);
                return match leaving {
                    true => self.membership.hold(now, call, worker, &mut self.context, out),
                    false => out.push(Effect::Respond(call, 200, json!({}))),
                };
            }
            ApiCommand::Departure(id) => {
                let Some(worker) = self.membership.departed(&id) else {
                    return out.push(self.departure_of_unknown(now, call));
                };
                self.news(now, vec![worker.clone()], true, out);
                return self.membership.hold(now, call, worker, &mut self.context, out);
            }
        };
        self.configuration.call(now, call, wish, (&mut self.raft, &mut self.context), out);
        self.log_out(now, out);
    }

    /// The answer to the departure of a worker that is not on the list here.
    fn departure_of_unknown(&self, now: f64, call: CallId) -> Effect {
        if self.context.voters.len() > 1 && !self.membership.settled(now) {
            return Effect::Respond(call, 503, error_body("not every worker is known here yet"));
        }
        // Nobody knows it: nothing is to be taken away.
        Effect::Respond(call, 200, json!({}))
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        if now - self.last_tick > AWAY {
            // This process was away: others' silence tells nothing.
            tracing::warn!(seconds = now - self.last_tick, "was not running");
            self.context.journal.append(now, JournalEvent::Away(now - self.last_tick));
            self.membership.excuse(now);
        }
        self.last_tick = now;
        if now - self.last_ping >= PING {
            self.last_ping = now;
            let (config, workers) =
                (self.configuration.state.last_change_index(), self.membership.registry.digest());
            let ping = |ip| {
                Effect::SendToPeer(
                    ip,
                    PeerMessage::Ping { config_index: config, workers_digest: workers, received: 0 },
                )
            };
            out.extend(self.context.peers().into_iter().map(ping));
            self.advertise_core_nodes(out);
            self.note_standings(now);
        }
        if now - self.last_cleanup >= FORGET_EVERY {
            self.last_cleanup = now;
            let gone = self.context.forget_stale_nodes();
            self.connected_peers.retain(|ip| !gone.contains(ip));
            out.extend(gone.into_iter().map(Effect::Disconnect));
        }
        self.log_tick(now, out);
        self.configuration.tick(now, &mut self.context, out);
        let silent = self.membership.tick(now, &mut self.context, out);
        self.persist_workers(&silent, out);
        self.tick_gates(now, out);
        let limits = |name: &str| limit(&self.configuration.state, name);
        let lease = self.raft.holds_lease(self.context.log_time(now)).then(|| self.raft.term());
        let free = self.log_driver.recording.is_none();
        let record = self.recorded_ceilings.as_deref();
        if let Some(shares) = self.quota_lease.tick(now, lease, (record, free), &mut self.context, &limits) {
            self.record_shares(now, shares);
            self.log_out(now, out);
        }
    }

    /// Other settings from now on.
    pub fn retune(&mut self, settings: Settings, out: &mut Vec<Effect>) {
        let blank = |ip| NodeLocation { ip, zone: String::new(), region: String::new() };
        let seeds = settings.seeds.iter().map(|s| blank(s.ip())).collect();
        self.raft.set_config(replicated_log::tuning(&settings));
        self.context.settings = settings;
        let before = out.len();
        self.learn_core_nodes(seeds, out);
        self.count(&out[before..]);
    }
}

/// The limits of a tenant, as configured.
fn limit(state: &ConfigState, name: &str) -> Option<TenantLimit> {
    state.tenant_rate(name).map(|t| TenantLimit { rate: t.requests_per_sec, burst: t.burst })
}

#[cfg(test)]
#[path = "calls_tests.rs"]
mod calls_tests;
