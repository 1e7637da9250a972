//! Connections that edge nodes and other core nodes opened to this core node, and what each edge node is sent on its
//! connection: the configuration, the workers, the edge directory, and the core nodes.
//!
//! A session continues from what was sent on its connection. One that lags is sent nothing more until it has caught up
//! ([`InFlightWindow`]), and then the current state, not each change between.
//!
//! Invariant: a full configuration or worker list is sent only in contact with a majority of the core, because an edge
//! node that has just started takes it for the newest.

use super::in_flight_window::{estimated_bytes, InFlightWindow};
use super::{ConnectionId, CoreNode, Effect, TICK_SECS};
use crate::configuration::ConfigItem;
use crate::consensus::Index;
use crate::discovery::Worker;
use crate::protocol::{NodeLocation, PeerMessage};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The number of edge nodes is reported no sooner than this after the start, when all have had time to connect:
/// seconds.
const EDGE_COUNT_DELAY_SECS: f64 = 2.0;
/// The first pause before a diverged edge node is sent all workers again; it doubles each time that this did not help:
/// seconds.
const MIN_RESEND_INTERVAL_SECS: f64 = 2.0;
/// The longest such pause: seconds.
const MAX_RESEND_INTERVAL_SECS: f64 = 32.0;
/// Workers that differ in the same way for this long have diverged: seconds.
const DIVERGENCE_TIMEOUT_SECS: f64 = 0.9;
/// An edge node whose pings show an older configuration this often in a row has lost an update.
const STALE_PINGS_BEFORE_RESEND: u32 = 2;
/// Full states are sent at this rate, to all edge nodes together: bytes a second. Making them then leaves most of a
/// processor.
const FULL_STATE_BYTES_PER_SEC: f64 = 20e6;
/// The edge directory is sent at this rate, to all edge nodes together: bytes a second.
const DIRECTORY_BYTES_PER_SEC: f64 = 1e6;
/// Full states in flight may take the memory limit divided by this; differences in flight as much again.
const IN_FLIGHT_MEMORY_DIVISOR: usize = 8;
/// An edge node may always have this much of differences in flight: bytes.
const MIN_DIFFERENCES_IN_FLIGHT_BYTES: usize = 16 * 1024;

/// The state of configuration and workers that a node holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldState {
    /// Log index of the last entry that changed the configuration.
    pub(super) config_index: u64,
    /// Digest of the worker registry.
    pub(super) workers_digest: u64,
}

/// How an edge node's workers differ from those here.
#[derive(Clone, Copy, Debug)]
struct WorkersDivergence {
    /// The two digests, XORed; 0: equal.
    difference: u64,
    /// Since when they differ in this way: seconds.
    since_secs: f64,
    /// When all workers were sent for it last: seconds.
    resent_secs: f64,
    /// The pause before they are sent again: seconds.
    resend_interval_secs: f64,
}

impl WorkersDivergence {
    fn new(now: f64) -> Self {
        WorkersDivergence {
            difference: 0,
            since_secs: now,
            resent_secs: f64::NEG_INFINITY,
            resend_interval_secs: MIN_RESEND_INTERVAL_SECS,
        }
    }

    /// Takes in the difference at a ping. Once both nodes have the same updates, it is more than an update on its way
    /// to one of them and stays the same.
    fn observe(&mut self, now: f64, difference: u64) {
        if difference == 0 || difference != self.difference {
            (self.difference, self.since_secs) = (difference, now);
            self.resend_interval_secs = MIN_RESEND_INTERVAL_SECS;
        }
    }

    fn is_lasting(&self, now: f64) -> bool {
        self.difference != 0 && now - self.since_secs >= DIVERGENCE_TIMEOUT_SECS
    }

    fn is_resend_due(&self, now: f64) -> bool {
        now - self.resent_secs > self.resend_interval_secs
    }

    fn record_resend(&mut self, now: f64) {
        self.resent_secs = now;
        self.resend_interval_secs = (2.0 * self.resend_interval_secs).min(MAX_RESEND_INTERVAL_SECS);
    }
}

/// The node at the other end of a connection that it opened.
#[derive(Clone, Debug)]
pub(super) struct PeerSession {
    pub(super) node: String,
    pub(super) incarnation: u64,
    /// The address of a core node; `None`: an edge node.
    pub(super) core_ip: Option<IpAddr>,
    window: InFlightWindow,
    /// What it held at its last ping.
    held: Option<HeldState>,
    /// Whether its configuration follows from what was sent: it needs differences only.
    has_config: bool,
    /// Pings in a row that showed an older configuration than was sent.
    stale_pings: u32,
    /// Its workers are those as of this change; `None`: it needs all.
    workers_change: Option<u64>,
    /// Its edge directory is as of this change; `None`: it needs all.
    directory_change: Option<u64>,
    divergence: WorkersDivergence,
}

/// The pace at which edge nodes are sent what is large.
#[derive(Default)]
pub(super) struct TransferPacing {
    /// Bytes of full state that may still be sent in this tick; below 0 after a larger one.
    full_state_budget: f64,
    /// Estimated bytes in flight on all connections.
    bytes_in_flight: usize,
    /// The connection that was last sent the edge directory: the next one goes on from here.
    last_directory_conn: ConnectionId,
    /// Bytes of the edge directory that may still be sent in this tick.
    directory_budget: f64,
}

/// What this node may send at a moment.
#[derive(Clone, Copy, Debug)]
struct SendPermissions {
    /// Full states.
    full_state: bool,
    /// Differences of the workers.
    worker_updates: bool,
    /// Bytes of differences that may be in flight to one edge node.
    window_bytes: usize,
}

impl CoreNode {
    /// A node identified itself on a connection that it opened.
    pub(super) fn open_session(
        &mut self,
        now: f64,
        conn: ConnectionId,
        (node, incarnation, is_core): (String, u64, bool),
        location: NodeLocation,
        out: &mut Vec<Effect>,
    ) {
        let core_ip = is_core.then_some(location.ip);
        self.advertise_core_nodes(out);
        out.push(Effect::SendToSession(conn, PeerMessage::CoreNodes(self.context.advertised_nodes())));
        if is_core {
            self.learn_core_nodes(vec![location], out);
        } else {
            self.edges.announce(now, &node, location);
        }
        let session = PeerSession {
            node,
            incarnation,
            core_ip,
            window: InFlightWindow::default(),
            // Comes with its first ping.
            held: None,
            has_config: false,
            stale_pings: 0,
            workers_change: None,
            directory_change: None,
            divergence: WorkersDivergence::new(now),
        };
        self.sessions.insert(conn, session);
    }

    /// Counts messages that are sent on connections which others opened.
    pub(super) fn record_sent(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::SendToSession(conn, msg) = effect else { continue };
            if let Some(session) = self.sessions.get_mut(conn) {
                session.window.record_sent(msg);
            }
        }
    }

    fn held_here(&self) -> HeldState {
        HeldState {
            config_index: self.configuration.state.last_change_index(),
            workers_digest: self.membership.registry.digest(),
        }
    }

    fn send_permissions(&self, now: f64) -> SendPermissions {
        let has_majority = self.context.has_majority(now);
        let full_state = has_majority && self.raft.has_current_state(self.context.log_time(now));
        let window_bytes = self.context.settings.memory_bytes as usize
            / IN_FLIGHT_MEMORY_DIVISOR
            / self.sessions.len().max(1);
        SendPermissions {
            full_state,
            worker_updates: has_majority,
            window_bytes: window_bytes.max(MIN_DIFFERENCES_IN_FLIGHT_BYTES),
        }
    }

    /// A ping: an edge node is sent what it lacks, and a pong; a core node the local digests.
    pub(super) fn handle_ping(
        &mut self,
        now: f64,
        conn: ConnectionId,
        held: HeldState,
        received: u64,
        out: &mut Vec<Effect>,
    ) {
        let here = self.held_here();
        let permissions = self.send_permissions(now);
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if session.core_ip.is_some() {
            let HeldState { config_index, workers_digest } = here;
            let ping = PeerMessage::Ping { config_index, workers_digest, received: 0 };
            return out.push(Effect::SendToSession(conn, ping));
        }
        session.window.acknowledge(received);
        session.held = Some(held);
        session.detect_lost_configuration(here.config_index, held.config_index, permissions);
        session.divergence.observe(now, here.workers_digest ^ held.workers_digest);
        let knows_all_workers = permissions.full_state && self.membership.is_complete(now);
        if knows_all_workers {
            self.resend_diverged_workers(now, conn, permissions, out);
        }
        self.send_missing(conn, permissions, out);
        out.push(Effect::SendToSession(conn, self.pong(now, conn, knows_all_workers)));
    }

    /// Sends an edge node all workers, complete, if those that it holds have diverged.
    fn resend_diverged_workers(
        &mut self,
        now: f64,
        conn: ConnectionId,
        permissions: SendPermissions,
        out: &mut Vec<Effect>,
    ) {
        let last_change = self.membership.last_change();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let has_all_updates =
            session.window.are_workers_acknowledged() && session.workers_change == Some(last_change);
        if has_all_updates
            && session.divergence.is_lasting(now)
            && session.divergence.is_resend_due(now)
            && session.window.has_room_for_full_state(permissions.window_bytes)
        {
            tracing::info!(edge = session.node, "resending full worker list to edge");
            session.divergence.record_resend(now);
            let workers = self.membership.registry.workers().cloned().collect();
            out.push(Effect::SendToSession(conn, PeerMessage::WorkerSnapshot { workers, complete: true }));
        }
    }

    /// The answer to an edge node's ping. `knows_all_workers`: every live worker is known here.
    fn pong(&self, now: f64, conn: ConnectionId, knows_all_workers: bool) -> PeerMessage {
        let is_starting = now - self.context.started < EDGE_COUNT_DELAY_SECS;
        let ms = self.context.log_time(now);
        let quota_leader = match self.raft.leader(ms) {
            Some(leader) if leader == self.raft.id() => self.raft.holds_lease(ms).then_some(leader.ip),
            leader => leader.map(|l| l.ip),
        };
        let last_change = self.membership.last_change();
        let was_sent_all = self.sessions.get(&conn).is_some_and(|s| s.workers_change == Some(last_change));
        PeerMessage::Pong {
            quota_leader,
            edge_count: if is_starting { 0 } else { self.edges.count() as u32 },
            core_count: self.context.voters.len() as u32,
            workers_complete: knows_all_workers && was_sent_all,
        }
    }

    /// Sends an edge node the configuration and the workers that it lacks, as far as its connection has room.
    fn send_missing(&mut self, conn: ConnectionId, permissions: SendPermissions, out: &mut Vec<Effect>) {
        let (here, last_change) = (self.held_here(), self.membership.last_change());
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let Some(held) = session.held else { return };
        if permissions.full_state {
            // One that reconnected continues from what it holds.
            session.has_config |= held.config_index >= here.config_index;
            let is_current = held.workers_digest == here.workers_digest;
            session.workers_change = session.workers_change.or_else(|| is_current.then_some(last_change));
        }
        if let Some(known) = session.outdated_workers(last_change, permissions) {
            // Without a difference it needs all of them.
            let updates = self.membership.changed_since(known);
            session.workers_change = updates.is_some().then_some(last_change);
            out.extend(
                updates.map(|workers| Effect::SendToSession(conn, PeerMessage::WorkerUpdates(workers))),
            );
        }
        let lacks_full_state = !session.has_config || session.workers_change.is_none();
        let memory_bytes = self.context.settings.memory_bytes as usize / IN_FLIGHT_MEMORY_DIVISOR;
        let may_start = self.transfer_pacing.full_state_budget > 0.0
            && (self.transfer_pacing.bytes_in_flight == 0
                || self.transfer_pacing.bytes_in_flight < memory_bytes);
        let has_room = session.window.has_room_for_full_state(permissions.window_bytes);
        if lacks_full_state && permissions.full_state && may_start && has_room {
            self.send_full_state(conn, out);
        }
    }

    /// Sends an edge node the full configuration, the full list of workers, or both: what it has not.
    fn send_full_state(&mut self, conn: ConnectionId, out: &mut Vec<Effect>) {
        let last_change = self.membership.last_change();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let mut messages = Vec::new();
        let state = &self.configuration.state;
        if !std::mem::replace(&mut session.has_config, true) && !state.is_empty() {
            let items: Vec<ConfigItem> = state.active_items().map(|i| (**i).clone()).collect();
            messages.push(PeerMessage::ConfigUpdate {
                previous: None,
                index: state.last_change_index(),
                items,
            });
        }
        if session.workers_change.is_none() {
            session.workers_change = Some(last_change);
            // A live worker that is not among them may be known elsewhere: the edge node keeps it.
            let workers = self.membership.registry.workers().cloned().collect();
            messages.push(PeerMessage::WorkerSnapshot { workers, complete: false });
        }
        let bytes: usize = messages.iter().map(estimated_bytes).sum();
        self.transfer_pacing.full_state_budget -= bytes as f64;
        self.transfer_pacing.bytes_in_flight += bytes;
        out.extend(messages.into_iter().map(|msg| Effect::SendToSession(conn, msg)));
    }

    /// Sends changed workers to every edge node that lacks them and has room.
    pub(super) fn send_worker_updates(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (permissions, last_change) = (self.send_permissions(now), self.membership.last_change());
        if !permissions.worker_updates {
            return;
        }
        // By the change that an edge node knows; most know the same.
        let mut differences: BTreeMap<u64, Option<Vec<Worker>>> = BTreeMap::new();
        for (conn, session) in &mut self.sessions {
            let Some(known) = session.outdated_workers(last_change, permissions) else { continue };
            let updates = differences.entry(known).or_insert_with(|| self.membership.changed_since(known));
            session.workers_change = updates.is_some().then_some(last_change);
            out.extend(
                updates
                    .iter()
                    .map(|workers| Effect::SendToSession(*conn, PeerMessage::WorkerUpdates(workers.clone()))),
            );
        }
    }

    /// Sends the change of a committed entry to every edge node that has the configuration before it. One whose
    /// connection lags is sent the full configuration later.
    pub(super) fn send_config_update(
        &mut self,
        previous: Index,
        index: Index,
        items: Vec<ConfigItem>,
        out: &mut Vec<Effect>,
    ) {
        let window_bytes = self.send_permissions(self.context.now).window_bytes;
        let msg = PeerMessage::ConfigUpdate { previous: Some(previous), index, items };
        for (conn, session) in self.sessions.iter_mut().filter(|(_, s)| s.is_edge() && s.has_config) {
            session.has_config = session.window.has_room(window_bytes);
            if session.has_config {
                out.push(Effect::SendToSession(*conn, msg.clone()));
            }
        }
    }

    /// This node installed a snapshot: every edge node here needs the full configuration.
    pub(super) fn resend_configuration(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.sessions.values_mut().for_each(|s| s.has_config = false);
        self.send_missing_to_all(now, out);
    }

    fn send_missing_to_all(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (permissions, last_change) = (self.send_permissions(now), self.membership.last_change());
        let lacks_state = |s: &PeerSession| {
            s.is_edge() && (!s.has_config || s.workers_change.is_none_or(|n| n < last_change))
        };
        let lacking = self.sessions.iter().filter(|(_, s)| lacks_state(s)).map(|(conn, _)| *conn);
        for conn in lacking.collect::<Vec<_>>() {
            self.send_missing(conn, permissions, out);
        }
    }

    /// Periodic work: sends what could not be sent before, at its pace.
    pub(super) fn tick_sessions(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.edges.expire(now);
        let budget = FULL_STATE_BYTES_PER_SEC * TICK_SECS;
        self.transfer_pacing.full_state_budget =
            (self.transfer_pacing.full_state_budget + budget).min(budget);
        self.transfer_pacing.bytes_in_flight =
            self.sessions.values().map(|s| s.window.bytes_in_flight()).sum();
        // For edge nodes that connected without contact with a majority, or whose connections lagged.
        self.send_missing_to_all(now, out);
        self.send_directory(now, out);
    }

    /// Sends each edge node the changes of the edge directory, in turn and within the budget.
    fn send_directory(&mut self, now: f64, out: &mut Vec<Effect>) {
        let budget = DIRECTORY_BYTES_PER_SEC * TICK_SECS;
        self.transfer_pacing.directory_budget = (self.transfer_pacing.directory_budget + budget).min(budget);
        let window_bytes = self.send_permissions(now).window_bytes;
        let (last_change, from) = (self.edges.last_change(), self.transfer_pacing.last_directory_conn);
        let lacks_changes = |s: &PeerSession| {
            s.is_edge() && s.directory_change != Some(last_change) && s.window.has_room(window_bytes)
        };
        let in_turn = self.sessions.range(from + 1..).chain(self.sessions.range(..=from));
        let in_turn: Vec<ConnectionId> =
            in_turn.filter(|(_, s)| lacks_changes(s)).map(|(conn, _)| *conn).collect();
        for conn in in_turn {
            if self.transfer_pacing.directory_budget <= 0.0 {
                return;
            }
            let Some(session) = self.sessions.get_mut(&conn) else { continue };
            let msg = self.edges.update_since(session.directory_change);
            session.directory_change = Some(last_change);
            self.transfer_pacing.directory_budget -= estimated_bytes(&msg) as f64;
            self.transfer_pacing.last_directory_conn = conn;
            out.push(Effect::SendToSession(conn, msg));
        }
    }
}

impl PeerSession {
    pub(super) fn is_edge(&self) -> bool {
        self.core_ip.is_none()
    }

    /// Notices that an update was lost: the edge node keeps reporting an older configuration than was sent, with no
    /// full state on its way.
    fn detect_lost_configuration(&mut self, here: u64, held: u64, permissions: SendPermissions) {
        let is_stale =
            self.has_config && held < here && self.window.has_room_for_full_state(permissions.window_bytes);
        self.stale_pings = if is_stale { self.stale_pings + 1 } else { 0 };
        if self.stale_pings >= STALE_PINGS_BEFORE_RESEND {
            tracing::info!(edge = self.node, "resending full configuration to edge");
            (self.has_config, self.stale_pings) = (false, 0);
        }
    }

    /// The change up to which it knows the workers, if it lacks later ones that may be sent now.
    fn outdated_workers(&self, last_change: u64, permissions: SendPermissions) -> Option<u64> {
        self.workers_change.filter(|known| {
            *known < last_change
                && permissions.worker_updates
                && self.window.has_room(permissions.window_bytes)
        })
    }
}

#[cfg(test)]
#[path = "edge_sessions_tests.rs"]
mod tests;
