//! Sessions: the connections that edge nodes and other core nodes opened to this core node. Each edge node is sent the
//! configuration, the workers, the edge directory and the core nodes on its connection.
//!
//! A session tracks what was sent on its connection, so that only differences are sent. A connection that lags is sent
//! nothing until it has caught up ([`InFlightWindow`]), and then the current state instead of each change in between.
//!
//! Invariant: a full configuration or worker list is sent only while this node is in contact with a majority of the
//! core, because an edge node that has just started assumes that it is the newest.

use super::in_flight_window::{estimated_bytes, InFlightWindow};
use super::{ConnectionId, CoreNode, Effect, TICK_SECS};
use crate::configuration::ConfigItem;
use crate::consensus::Index;
use crate::discovery::Worker;
use crate::protocol::{NodeLocation, PeerMessage, CORE_PROTOCOL_VERSION};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Seconds after the start before the number of edge nodes is reported, so that all of them have had time to connect.
const EDGE_COUNT_DELAY_SECS: f64 = 2.0;
/// Initial backoff, in seconds, between two full worker lists for a diverged edge node; doubles with each resend.
const MIN_RESEND_INTERVAL_SECS: f64 = 2.0;
/// Largest backoff, in seconds, between two full worker lists for a diverged edge node.
const MAX_RESEND_INTERVAL_SECS: f64 = 32.0;
/// Seconds for which the worker digests must differ in the same way to count as diverged.
const DIVERGENCE_TIMEOUT_SECS: f64 = 0.9;
/// Number of consecutive pings with an older configuration after which an update counts as lost.
const STALE_PINGS_BEFORE_RESEND: u32 = 2;
/// Rate limit, in bytes per second, for full states to all edge nodes together, so that encoding them takes only a
/// small part of a processor.
const FULL_STATE_BYTES_PER_SEC: f64 = 20e6;
/// Rate limit, in bytes per second, for the edge directory to all edge nodes together.
const DIRECTORY_BYTES_PER_SEC: f64 = 1e6;
/// Divisor of the memory limit that gives the largest size of the full states in flight, and also that of the
/// differences in flight.
const IN_FLIGHT_MEMORY_DIVISOR: usize = 8;
/// Smallest window, in bytes, of differences in flight to one edge node.
const MIN_WINDOW_BYTES: usize = 16 * 1024;

/// Identifies the state of configuration and workers that a node holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateVersion {
    /// Log index of the last entry that changed the configuration.
    pub(super) config_index: u64,
    /// Digest of the worker registry.
    pub(super) workers_digest: u64,
}

/// Difference between the workers of an edge node and those of this node.
#[derive(Clone, Copy, Debug)]
struct WorkersDivergence {
    /// XOR of the two worker digests; 0 if they are equal.
    difference: u64,
    /// Time, in seconds, since which the digests differ in this way.
    since_secs: f64,
    /// Time, in seconds, of the last full worker list sent because of a divergence.
    last_resend_secs: f64,
    /// Backoff, in seconds, before the next one.
    resend_interval_secs: f64,
}

impl WorkersDivergence {
    fn new(now: f64) -> Self {
        WorkersDivergence {
            difference: 0,
            since_secs: now,
            last_resend_secs: f64::NEG_INFINITY,
            resend_interval_secs: MIN_RESEND_INTERVAL_SECS,
        }
    }

    /// Records the difference seen at a ping. A difference caused by updates in flight changes or disappears as they
    /// arrive; one that stays the same means that the workers have diverged.
    fn observe(&mut self, now: f64, difference: u64) {
        if difference == 0 || difference != self.difference {
            (self.difference, self.since_secs) = (difference, now);
            self.resend_interval_secs = MIN_RESEND_INTERVAL_SECS;
        }
    }

    fn is_persistent(&self, now: f64) -> bool {
        self.difference != 0 && now - self.since_secs >= DIVERGENCE_TIMEOUT_SECS
    }

    fn is_resend_due(&self, now: f64) -> bool {
        now - self.last_resend_secs > self.resend_interval_secs
    }

    fn record_resend(&mut self, now: f64) {
        self.last_resend_secs = now;
        self.resend_interval_secs = (2.0 * self.resend_interval_secs).min(MAX_RESEND_INTERVAL_SECS);
    }
}

/// The node at the other end of a connection that it opened.
#[derive(Clone, Debug)]
pub(super) struct PeerSession {
    pub(super) node: String,
    pub(super) incarnation: u64,
    /// Address of the core node at the other end; `None` for an edge node.
    pub(super) core_ip: Option<IpAddr>,
    window: InFlightWindow,
    /// State that the edge node reported with its last ping; `None` before the first.
    reported: Option<StateVersion>,
    /// Whether the edge node has, or was sent, a configuration to which differences can be applied.
    has_config: bool,
    /// Consecutive pings that showed an older configuration than was sent.
    stale_pings: u32,
    /// Number of the change up to which the edge node was sent the workers; `None` if it needs the full list.
    workers_change: Option<u64>,
    /// Number of the change up to which the edge node was sent the edge directory; `None` if it needs all of it.
    directory_change: Option<u64>,
    divergence: WorkersDivergence,
}

/// Rate limits for large messages to edge nodes.
#[derive(Default)]
pub(super) struct TransferPacing {
    /// Bytes of full state that may still be sent in this tick. Negative after a state larger than the budget.
    full_state_budget: f64,
    /// Estimated bytes in flight on all connections.
    bytes_in_flight: usize,
    /// The connection that was last sent the edge directory; the next round of sending starts after it.
    last_directory_conn: ConnectionId,
    /// Bytes of the edge directory that may still be sent in this tick.
    directory_budget: f64,
}

/// What this node may send to edge nodes at present.
#[derive(Clone, Copy, Debug)]
struct SendPermissions {
    /// Whether full states may be sent.
    full_state: bool,
    /// Whether differences of the workers may be sent.
    worker_updates: bool,
    /// Limit for the bytes of differences in flight to one edge node.
    window_bytes: usize,
}

impl CoreNode {
    /// Opens the session of a node that has identified itself on its connection.
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
            reported: None,
            has_config: false,
            stale_pings: 0,
            workers_change: None,
            directory_change: None,
            divergence: WorkersDivergence::new(now),
        };
        self.sessions.insert(conn, session);
    }

    /// Counts the messages among these effects that go to sessions, for flow control.
    pub(super) fn record_sent(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::SendToSession(conn, msg) = effect else { continue };
            if let Some(session) = self.sessions.get_mut(conn) {
                session.window.record_sent(msg);
            }
        }
    }

    fn local_version(&self) -> StateVersion {
        StateVersion {
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
            window_bytes: window_bytes.max(MIN_WINDOW_BYTES),
        }
    }

    /// Handles a ping. An edge node is sent the state that it lacks, and a pong; a core node is sent the local digests.
    pub(super) fn handle_ping(
        &mut self,
        now: f64,
        conn: ConnectionId,
        reported: StateVersion,
        received: u64,
        out: &mut Vec<Effect>,
    ) {
        let local = self.local_version();
        let permissions = self.send_permissions(now);
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if let Some(ip) = session.core_ip {
            self.context.record_protocol_version(ip, received);
            let StateVersion { config_index, workers_digest } = local;
            let ping = PeerMessage::Ping { config_index, workers_digest, received: CORE_PROTOCOL_VERSION };
            return out.push(Effect::SendToSession(conn, ping));
        }
        session.window.acknowledge(received);
        session.reported = Some(reported);
        session.detect_lost_configuration(local.config_index, reported.config_index, permissions);
        session.divergence.observe(now, local.workers_digest ^ reported.workers_digest);
        let has_all_workers = permissions.full_state && self.membership.is_complete(now);
        if has_all_workers {
            self.resend_diverged_workers(now, conn, permissions, out);
        }
        self.send_missing(conn, permissions, out);
        out.push(Effect::SendToSession(conn, self.pong(now, conn, has_all_workers)));
    }

    /// Sends an edge node a complete worker list if the workers that it holds have diverged.
    fn resend_diverged_workers(
        &mut self,
        now: f64,
        conn: ConnectionId,
        permissions: SendPermissions,
        out: &mut Vec<Effect>,
    ) {
        let last_change = self.membership.last_change();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let edge_has_all_updates =
            session.window.are_workers_acknowledged() && session.workers_change == Some(last_change);
        if edge_has_all_updates
            && session.divergence.is_persistent(now)
            && session.divergence.is_resend_due(now)
            && session.window.has_room_for_full_state(permissions.window_bytes)
        {
            tracing::info!(edge = session.node, "resending full worker list to edge");
            session.divergence.record_resend(now);
            let workers = self.membership.registry.workers().cloned().collect();
            out.push(Effect::SendToSession(conn, PeerMessage::WorkerSnapshot { workers, complete: true }));
        }
    }

    /// Builds the response to an edge node's ping. `has_all_workers` says whether this node knows every live worker.
    fn pong(&self, now: f64, conn: ConnectionId, has_all_workers: bool) -> PeerMessage {
        let is_starting = now - self.context.started < EDGE_COUNT_DELAY_SECS;
        let ms = self.context.log_time(now);
        let quota_leader = match self.raft.leader(ms) {
            Some(leader) if leader == self.raft.id() => self.raft.holds_lease(ms).then_some(leader.ip),
            leader => leader.map(|l| l.ip),
        };
        let last_change = self.membership.last_change();
        let sent_all_workers =
            self.sessions.get(&conn).is_some_and(|s| s.workers_change == Some(last_change));
        PeerMessage::Pong {
            quota_leader,
            edge_count: if is_starting { 0 } else { self.edges.count() as u32 },
            core_count: self.context.voters.len() as u32,
            workers_complete: has_all_workers && sent_all_workers,
        }
    }

    /// Sends an edge node the configuration and the workers that it lacks, as far as its window has room.
    fn send_missing(&mut self, conn: ConnectionId, permissions: SendPermissions, out: &mut Vec<Effect>) {
        let (local, last_change) = (self.local_version(), self.membership.last_change());
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let Some(reported) = session.reported else { return };
        if permissions.full_state {
            // A reconnected edge node that holds the current state needs differences only.
            session.has_config |= reported.config_index >= local.config_index;
            let is_current = reported.workers_digest == local.workers_digest;
            session.workers_change = session.workers_change.or_else(|| is_current.then_some(last_change));
        }
        if let Some(known) = session.outdated_workers(last_change, permissions) {
            // If the difference is no longer known, the edge node needs the full list.
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

    /// Sends an edge node the full configuration, the full list of workers, or both, whichever it lacks.
    fn send_full_state(&mut self, conn: ConnectionId, out: &mut Vec<Effect>) {
        let last_change = self.membership.last_change();
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let mut messages = Vec::new();
        let state = &self.configuration.state;
        if !std::mem::replace(&mut session.has_config, true) && !state.is_empty() {
            messages.push(PeerMessage::ConfigUpdate {
                previous: None,
                index: state.last_change_index(),
                items: state.full_update(),
            });
        }
        if session.workers_change.is_none() {
            session.workers_change = Some(last_change);
            // Another core node may know live workers that are not listed, so the edge node must keep those.
            let workers = self.membership.registry.workers().cloned().collect();
            messages.push(PeerMessage::WorkerSnapshot { workers, complete: false });
        }
        let bytes: usize = messages.iter().map(estimated_bytes).sum();
        self.transfer_pacing.full_state_budget -= bytes as f64;
        self.transfer_pacing.bytes_in_flight += bytes;
        out.extend(messages.into_iter().map(|msg| Effect::SendToSession(conn, msg)));
    }

    /// Sends changed workers to every edge node that lacks them and whose window has room.
    pub(super) fn send_worker_updates(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (permissions, last_change) = (self.send_permissions(now), self.membership.last_change());
        if !permissions.worker_updates {
            return;
        }
        // Differences by the change up to which an edge node has the workers. Most have the same, so few are computed.
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

    /// Sends the change of a committed entry to every edge node that has the preceding configuration. An edge node
    /// whose connection lags is sent the full configuration later.
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

    /// Sends the full configuration to every edge node, because this node installed a snapshot and knows no difference.
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

    /// Periodic work: refills the send budgets, and sends what could not be sent before.
    pub(super) fn tick_sessions(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.edges.expire(now);
        let budget = FULL_STATE_BYTES_PER_SEC * TICK_SECS;
        self.transfer_pacing.full_state_budget =
            (self.transfer_pacing.full_state_budget + budget).min(budget);
        self.transfer_pacing.bytes_in_flight =
            self.sessions.values().map(|s| s.window.bytes_in_flight()).sum();
        // Covers edge nodes that connected while this node had no contact with a majority, or whose connections lagged.
        self.send_missing_to_all(now, out);
        self.send_directory(now, out);
    }

    /// Sends edge nodes the changes of the edge directory in round-robin order, as far as the budget allows.
    fn send_directory(&mut self, now: f64, out: &mut Vec<Effect>) {
        let budget = DIRECTORY_BYTES_PER_SEC * TICK_SECS;
        self.transfer_pacing.directory_budget = (self.transfer_pacing.directory_budget + budget).min(budget);
        let window_bytes = self.send_permissions(now).window_bytes;
        let (last_change, from) = (self.edges.last_change(), self.transfer_pacing.last_directory_conn);
        let lacks_changes = |s: &PeerSession| {
            s.is_edge() && s.directory_change != Some(last_change) && s.window.has_room(window_bytes)
        };
        let round_robin = self.sessions.range(from + 1..).chain(self.sessions.range(..=from));
        let round_robin: Vec<ConnectionId> =
            round_robin.filter(|(_, s)| lacks_changes(s)).map(|(conn, _)| *conn).collect();
        for conn in round_robin {
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

    /// Detects that an update was lost: the edge node keeps reporting an older configuration than was sent, although no
    /// full state is in flight. `local` and `reported` are the configuration indexes of this node and of the edge node.
    fn detect_lost_configuration(&mut self, local: u64, reported: u64, permissions: SendPermissions) {
        let is_stale = self.has_config
            && reported < local
            && self.window.has_room_for_full_state(permissions.window_bytes);
        self.stale_pings = if is_stale { self.stale_pings + 1 } else { 0 };
        if self.stale_pings >= STALE_PINGS_BEFORE_RESEND {
            tracing::info!(edge = self.node, "resending full configuration to edge");
            (self.has_config, self.stale_pings) = (false, 0);
        }
    }

    /// The change up to which the edge node has the workers, if it lacks later ones and they may be sent now.
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
