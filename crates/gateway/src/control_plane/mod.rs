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
use crate::protocol::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, OperatorRequest, PeerMessage, TenantLimit};
use crate::settings::Settings;
use crate::storage::{LoadedState, WriteBatch};
use configuration_service::ConfigurationService;
pub use context::CoreContext;
use edge_directory::EdgeDirectory;
use edge_sessions::{HeldState, PeerSession, TransferPacing};
use quota_counter::EdgeIdentity;
use quota_lease::{CeilingLog, QuotaLease};
use replicated_log::LogDriver;
use serde_json::{json, Value};
use status::MemberStates;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use worker_membership::{MergedWorkers, WorkerMembership};

/// A connection that somebody opened to this process.
pub type ConnectionId = u64;
/// A call of a worker or an operator that waits for its answer.
pub type CallId = u64;

/// What a worker or an operator wants, decoded.
#[derive(Clone, Debug)]
pub enum ApiCommand {
    /// A worker lives.
    Beat(Worker),
    /// A worker has left.
    Departure(String),
    /// Items change.
    Amend(Vec<crate::configuration::ConfigItem>),
    /// A call that changes items can't be read: why. Refused like any other, only in touch with most of the core.
    Unreadable(String),
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
    Peer(IpAddr, PeerMessage),
    /// Somebody said this on a connection that it opened.
    Inbound(ConnectionId, PeerMessage),
    /// It closed that connection.
    Closed(ConnectionId),
    /// A worker or an operator calls.
    Call(CallId, ApiCommand),
    /// What was to be persisted under this number is synced, and all before it.
    Disk(u64),
    /// This process is asked to end.
    Ending,
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
    /// Say this on a connection that somebody opened.
    Return(ConnectionId, PeerMessage),
    /// Answer a call.
    Reply(CallId, u16, Value),
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
pub fn snapshot_state(data: &[u8]) -> Result<ConfigState, String> {
    Ok(snapshot::decode(data)?.0)
}

/// The core role.
pub struct CoreNode {
    /// What its parts share.
    pub shared: CoreContext,
    /// The replicated log.
    pub raft: Raft<LogCommand>,
    /// Configuration.
    pub keeper: ConfigurationService,
    /// Workers.
    pub roster: WorkerMembership,
    /// The counter.
    pub seat: QuotaLease,
    /// The last record of shares that is applied.
    record: Option<Arc<ShareCeilings>>,
    log_side: LogDriver,
    callers: BTreeMap<ConnectionId, PeerSession>,
    /// Core machines that callers were told of last.
    told: Vec<NodeLocation>,
    /// Gatekeepers.
    gates: EdgeDirectory,
    pace: TransferPacing,
    /// Core machines to which a connection stands.
    connected: BTreeSet<IpAddr>,
    standings: MemberStates,
    ticked: f64,
    pinged: f64,
    forgot: f64,
    /// Why this process can't go on, if so.
    pub broken: Option<String>,
}

impl CoreNode {
    /// Starts with what its disk holds.
    pub fn new(now: f64, settings: Settings, held: LoadedState) -> Result<Self, String> {
        let shared = CoreContext::new(now, settings);
        let (state, record) = match &held.raft.snapshot {
            Some(held) if !held.data.is_empty() => snapshot::decode(&held.data)?,
            _ => (ConfigState::default(), None),
        };
        let applied = held.raft.snapshot.as_ref().map_or(0, |s| s.index);
        let snapshot = held.raft.snapshot.as_ref().map_or(0, |s| s.data.len());
        let me = NodeId { ip: shared.me.ip, disk: held.disk };
        let blank = held.raft.log.is_empty() && held.raft.snapshot.is_none();
        let raft = Raft::new(shared.ms(now), me, held.raft, replicated_log::tuning(&shared.settings));
        let mut core = CoreNode {
            keeper: ConfigurationService::new(state, applied),
            roster: WorkerMembership::new(&shared.settings, now, held.workers),
            seat: QuotaLease::new(&shared.settings),
            raft,
            record,
            log_side: LogDriver::default(),
            callers: BTreeMap::new(),
            told: Vec::new(),
            gates: EdgeDirectory::default(),
            pace: TransferPacing::default(),
            connected: BTreeSet::new(),
            standings: MemberStates::default(),
            ticked: now,
            pinged: f64::NEG_INFINITY,
            forgot: now,
            broken: None,
            shared,
        };
        core.log_side.started(snapshot);
        // The whole system starts for the first time: the seeds begin, each with its first disk. One that died before
        // this was synced begins so again, though it isn't told any more that it is the first start.
        let s = &core.shared.settings;
        if blank && held.disk == 0 && s.is_seed() {
            let seeds = s.seeds.iter().map(|s| NodeId { ip: s.ip(), disk: 0 }).collect();
            core.raft.bootstrap(core.shared.ms(now), seeds);
        }
        Ok(core)
    }

    /// What is to be done first.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        out.extend(self.shared.peers().into_iter().map(Effect::Connect));
        self.log_out(self.shared.now, out);
    }

    /// Takes an event at `now`, in seconds of a steady clock.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        self.shared.now = now;
        let before = out.len();
        self.take(now, event, out);
        self.record_sent(&out[before..]);
    }

    fn take(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::LinkUp(ip) => self.link_up(ip, out),
            Event::LinkDown(ip) => {
                self.shared.heard.remove(&ip);
                self.connected.remove(&ip);
            }
            Event::Peer(ip, msg) => self.peer(now, ip, msg, out),
            Event::Inbound(conn, msg) => self.inbound(now, conn, msg, out),
            Event::Closed(conn) => {
                self.callers.remove(&conn);
            }
            Event::Call(call, command) => self.call(now, call, command, out),
            Event::Disk(put) => self.log_synced(now, put, out),
            Event::Ending => {
                self.seat.release();
                let ms = self.shared.ms(now);
                self.raft.transfer(ms);
                self.log_out(now, out);
                self.tell_end(out);
            }
        }
    }

    /// Does this process still have what others wait for: the lead?
    pub fn leads(&self) -> bool {
        self.raft.leads() && self.shared.voters.len() > 1
    }

    fn link_up(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        self.connected.insert(ip);
        let hello = PeerMessage::Hello {
            node: self.shared.settings.node.clone(),
            incarnation: self.shared.life(),
            location: self.shared.me.clone(),
            is_core: true,
        };
        out.push(Effect::Send(ip, hello));
        out.push(Effect::Send(ip, PeerMessage::CoreNodes(self.shared.told())));
        let workers: Vec<Worker> = self.roster.registry.workers().cloned().collect();
        if !workers.is_empty() {
            out.push(Effect::Send(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    /// Core machines are known, or more of them than before.
    fn meet(&mut self, members: Vec<NodeLocation>, out: &mut Vec<Effect>) {
        let mut news = false;
        for m in members {
            let (ip, zone) = (m.ip, m.zone.clone());
            let Some(new) = self.shared.meet(m) else { continue };
            news = true;
            if new {
                tracing::info!(member = %ip, zone, "core machine met");
                out.push(Effect::Connect(ip));
            }
        }
        if news {
            self.tell_members(out);
        }
    }

    /// Callers hear of core machines that they were not told of: one that is known is told only once it was heard.
    fn tell_members(&mut self, out: &mut Vec<Effect>) {
        let all = self.shared.told();
        if all != self.told {
            for conn in self.callers.keys() {
                out.push(Effect::Return(*conn, PeerMessage::CoreNodes(all.clone())));
            }
            self.told = all;
        }
    }

    /// What a core machine says on the connection that this process opened.
    fn peer(&mut self, now: f64, ip: IpAddr, msg: PeerMessage, out: &mut Vec<Effect>) {
        self.shared.heard.insert(ip, now);
        match msg {
            PeerMessage::CoreNodes(members) => self.meet(members, out),
            PeerMessage::WorkersReplicated { request_id: ask } => {
                self.roster.confirm_replication(ip, ask, &self.shared, out)
            }
            PeerMessage::Ping { workers_digest: workers, .. } => self.digest(now, ip, workers, out),
            PeerMessage::ForwardResponse { request_id: ask, response: answer } => {
                self.keeper.told(ask, answer, &mut self.shared, out)
            }
            _ => {}
        }
    }

    /// A core machine's digest of the workers: if they go on to differ it is told all.
    fn digest(&mut self, now: f64, ip: IpAddr, workers: u64, out: &mut Vec<Effect>) {
        if self.roster.should_resend_all(now, ip, workers) {
            let workers = self.roster.registry.workers().cloned().collect();
            out.push(Effect::Send(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    fn inbound(&mut self, now: f64, conn: ConnectionId, msg: PeerMessage, out: &mut Vec<Effect>) {
        if let PeerMessage::Hello { node, incarnation: life, location: me, is_core: core } = msg {
            return self.open_session(now, conn, (node, life, core), me, out);
        }
        let Some(caller) = self.callers.get(&conn).cloned() else { return };
        if caller.is_edge() {
            self.gates.record_contact(now, &caller.node);
        }
        match msg {
            PeerMessage::CoreNodes(members) => self.meet(members, out),
            PeerMessage::Consensus { from, to, message } => self.log_says(now, (from, to), message, out),
            PeerMessage::Join { id, forwarded: passed } => self.wants_to_join(now, id, passed, out),
            PeerMessage::Leave { id } => {
                let ms = self.shared.ms(now);
                self.raft.leave(ms, id);
                self.log_out(now, out);
            }
            PeerMessage::ForwardRequest { request_id: ask, request: wish } => {
                let parts = (&mut self.raft, &mut self.shared);
                self.keeper.forwarded(now, (conn, ask), wish, parts, out);
                self.log_out(now, out);
            }
            PeerMessage::WorkerUpdates(workers) | PeerMessage::WorkerSnapshot { workers, .. } => {
                self.news(now, workers, false, out)
            }
            PeerMessage::ReplicateWorkers { request_id: ask, workers } => {
                self.news(now, workers, false, out);
                out.push(Effect::Return(conn, PeerMessage::WorkersReplicated { request_id: ask }));
            }
            PeerMessage::Heartbeats(heard) => {
                // Some may be unknown here: the digests will differ, and the whole list comes.
                self.roster.record_peer_heartbeats(now, &heard);
            }
            PeerMessage::Ping { config_index, workers_digest, received } => {
                self.handle_ping(now, conn, HeldState { config_index, workers_digest }, received, out)
            }
            PeerMessage::QuotaSync { request_id: ask, term, usage: charges } => {
                let limits = |name: &str| limit(&self.keeper.state, name);
                let lease = self.raft.holds_lease(self.shared.ms(now)).then(|| self.raft.term());
                let edge = EdgeIdentity { node: &caller.node, incarnation: caller.incarnation };
                let totals = self.seat.sync(now, lease, edge, term, &charges, &limits);
                let (held, totals, term) = (totals.is_some(), totals.unwrap_or_default(), self.raft.term());
                out.push(Effect::Return(
                    conn,
                    PeerMessage::QuotaGrants { request_id: ask, term, is_leader: held, grants: totals },
                ));
            }
            _ => {}
        }
    }

    /// Workers' news: what is new here goes to the gatekeepers, and to the core if it was told here first.
    fn news(&mut self, now: f64, workers: Vec<Worker>, first: bool, out: &mut Vec<Effect>) {
        let MergedWorkers { changed, contested } = self.roster.merge(now, workers, &mut self.shared.journal);
        self.persist_workers(&changed, out);
        if !changed.is_empty() {
            self.send_worker_updates(now, out);
        }
        // Somebody took for silent what was heard of here since.
        let tell = if first { changed } else { contested };
        if !tell.is_empty() {
            let peers = self.shared.peers();
            out.extend(
                peers.into_iter().map(|ip| Effect::Send(ip, PeerMessage::WorkerUpdates(tell.clone()))),
            );
        }
    }

    /// Nobody waits for it: after a loss of power all are known at once again, as far as it got.
    fn persist_workers(&mut self, workers: &[Worker], out: &mut Vec<Effect>) {
        if !workers.is_empty() {
            let number = self.shared.number();
            out.push(Effect::Persist(WriteBatch {
                number,
                workers: workers.to_vec(),
                ..WriteBatch::default()
            }));
        }
    }

    fn call(&mut self, now: f64, call: CallId, command: ApiCommand, out: &mut Vec<Effect>) {
        let wish = match command {
            ApiCommand::Amend(items) => OperatorRequest::Amend(ConfigChange::new(items)),
            ApiCommand::Unreadable(why) => OperatorRequest::Reject(why),
            ApiCommand::Read => OperatorRequest::Read,
            ApiCommand::Journal => return out.push(Effect::Reply(call, 200, self.shared.journal.tell(now))),
            ApiCommand::Status => return out.push(Effect::Reply(call, 200, self.status(now))),
            ApiCommand::Beat(_) | ApiCommand::Departure(_) | ApiCommand::Malformed(_)
                if !self.shared.majority(now) =>
            {
                return out.push(Effect::Reply(call, 503, error_body("out of touch with most of the core")));
            }
            ApiCommand::Malformed(why) => return out.push(Effect::Reply(call, 400, error_body(why))),
            ApiCommand::Beat(worker) => {
                let leaving = worker.phase != WorkerPhase::Serving;
                self.news(now, vec![worker.clone()], true, out);
                self.roster.record_heartbeat(&worker);
                return match leaving {
                    true => self.roster.replicate_shutdown(now, call, worker, &mut self.shared, out),
                    false => out.push(Effect::Reply(call, 200, json!({}))),
                };
            }
            ApiCommand::Departure(id) => {
                let Some(worker) = self.roster.departure_of(&id) else {
                    return out.push(self.departure_of_unknown(now, call));
                };
                self.news(now, vec![worker.clone()], true, out);
                return self.roster.replicate_shutdown(now, call, worker, &mut self.shared, out);
            }
        };
        self.keeper.call(now, call, wish, (&mut self.raft, &mut self.shared), out);
        self.log_out(now, out);
    }

    /// The answer to the departure of a worker that is not on the list here.
    fn departure_of_unknown(&self, now: f64, call: CallId) -> Effect {
        if self.shared.voters.len() > 1 && !self.roster.is_complete(now) {
            return Effect::Reply(call, 503, error_body("not every worker is known here yet"));
        }
        // Nobody knows it: nothing is to be taken away.
        Effect::Reply(call, 200, json!({}))
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        if now - self.ticked > AWAY {
            // This process was away: others' silence tells nothing.
            tracing::warn!(seconds = now - self.ticked, "was not running");
            self.shared.journal.append(now, JournalEvent::Away(now - self.ticked));
            self.roster.reset_timeouts(now);
        }
        self.ticked = now;
        if now - self.pinged >= PING {
            self.pinged = now;
            let (config, workers) = (self.keeper.state.index(), self.roster.registry.digest());
            let ping = |ip| {
                Effect::Send(
                    ip,
                    PeerMessage::Ping { config_index: config, workers_digest: workers, received: 0 },
                )
            };
            out.extend(self.shared.peers().into_iter().map(ping));
            self.tell_members(out);
            self.note_standings(now);
        }
        if now - self.forgot >= FORGET_EVERY {
            self.forgot = now;
            let gone = self.shared.forget();
            self.connected.retain(|ip| !gone.contains(ip));
            out.extend(gone.into_iter().map(Effect::Disconnect));
        }
        self.log_tick(now, out);
        self.keeper.tick(now, &mut self.shared, out);
        let silent = self.roster.tick(now, &mut self.shared, out);
        self.persist_workers(&silent, out);
        self.tick_sessions(now, out);
        let limits = |name: &str| limit(&self.keeper.state, name);
        let lease = self.raft.holds_lease(self.shared.ms(now)).then(|| self.raft.term());
        let log =
            CeilingLog { last_record: self.record.as_deref(), can_record: self.log_side.recording.is_none() };
        if let Some(shares) = self.seat.tick(now, lease, log, &mut self.shared, &limits) {
            self.record_shares(now, shares);
            self.log_out(now, out);
        }
    }

    /// Other settings from now on.
    pub fn retune(&mut self, settings: Settings, out: &mut Vec<Effect>) {
        let blank = |ip| NodeLocation { ip, zone: String::new(), region: String::new() };
        let seeds = settings.seeds.iter().map(|s| blank(s.ip())).collect();
        self.raft.retune(replicated_log::tuning(&settings));
        self.shared.settings = settings;
        let before = out.len();
        self.meet(seeds, out);
        self.record_sent(&out[before..]);
    }
}

/// The limits of a tenant, as configured.
fn limit(state: &ConfigState, name: &str) -> Option<TenantLimit> {
    state.quota(name).map(|(rate, burst)| TenantLimit { rate, burst })
}

#[cfg(test)]
#[path = "calls_tests.rs"]
mod calls_tests;
