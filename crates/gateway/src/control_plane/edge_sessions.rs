//! Owns the core's side of gatekeepers: who of them there is, what each was told, what it lacks. Each connection goes on from
//! what was told on it: one that lags is told nothing further until it has heard, and then what stands, not all that
//! came between. It must never give a whole configuration, or the list of workers, while out of touch with most of the
//! core: whoever has just started would take it for the newest.

use super::in_flight_window::{estimated_bytes, InFlightWindow};
use super::{ConnectionId, CoreNode, Effect, TICK_SECS};
use crate::configuration::ConfigItem;
use crate::consensus::Index;
use crate::discovery::Worker;
use crate::protocol::{NodeLocation, PeerMessage};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How many gatekeepers there are is told no sooner than this after the start: seconds.
const COUNT_AFTER: f64 = 2.0;
/// The whole list of workers is told again to the same one no sooner than this, and twice as late each time that it did
/// not help, up to a limit: seconds.
const WHOLE_EVERY: f64 = 2.0;
const WHOLE_LAST: f64 = 32.0;
/// Lists of workers that differ in the same way for so long lack something: seconds.
const DIFFERS: f64 = 0.9;
/// Whole states are begun so fast: bytes a second. What it takes to make them leaves most of a processor.
const WHOLES: f64 = 20e6;
/// So fast goes the list of gatekeepers, to all of them together: bytes a second.
const LISTS: f64 = 1e6;
/// What is under way to gatekeepers may take this part of the memory: one over so many; differences, too.
const MEMORY_PART: usize = 8;
/// At least so many bytes of differences may be under way to one.
const LEAST: usize = 16 * 1024;

/// Who is at the other end of a connection.
#[derive(Clone, Debug)]
pub(super) struct PeerSession {
    pub(super) node: String,
    pub(super) life: u64,
    pub(super) member: Option<IpAddr>,
    link: InFlightWindow,
    /// The configuration and the digest of workers that it holds, as it said last.
    holds: Option<(u64, u64)>,
    /// Does its configuration go on from what is applied here?
    told: bool,
    /// Pings in a row that showed an older configuration.
    behind: u32,
    /// Its workers are those as of this change; none: it has to be told all.
    workers: Option<u64>,
    /// The same of gatekeepers.
    gates: Option<u64>,
    /// How its workers differ, and since when in the same way.
    differs: (u64, f64),
    /// When it was told all workers for that, and how long it waits for the next time.
    whole: (f64, f64),
}

/// How fast gatekeepers are told what is large.
#[derive(Default)]
pub(super) struct TransferPacing {
    /// Bytes of whole states that may yet be begun in this tick.
    wholes: f64,
    /// Bytes under way.
    under_way: usize,
    /// The connection that the list of gatekeepers was told on last.
    listed: ConnectionId,
    /// Bytes of it that may yet be said in this tick.
    lists: f64,
}

/// What this machine may tell at a moment.
struct SendPermissions {
    /// Whole states?
    whole: bool,
    /// What is news?
    news: bool,
    /// Bytes of differences under way to one.
    most: usize,
}

impl CoreNode {
    /// Somebody says who it is.
    pub(super) fn hello(
        &mut self,
        now: f64,
        conn: ConnectionId,
        (node, life, core): (String, u64, bool),
        me: NodeLocation,
        out: &mut Vec<Effect>,
    ) {
        let member = core.then_some(me.ip);
        self.advertise_core_nodes(out);
        out.push(Effect::SendToSession(conn, PeerMessage::CoreNodes(self.context.advertised_nodes())));
        if core {
            self.learn_core_nodes(vec![me], out);
        } else {
            self.edges.announce(now, &node, me);
        }
        // What a gatekeeper holds comes with its first ping.
        let caller = PeerSession {
            node,
            life,
            member,
            link: InFlightWindow::default(),
            holds: None,
            told: false,
            behind: 0,
            workers: None,
            gates: None,
            differs: (0, now),
            whole: (f64::NEG_INFINITY, WHOLE_EVERY),
        };
        self.sessions.insert(conn, caller);
    }

    /// Counts what is said on connections.
    pub(super) fn count(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::SendToSession(conn, msg) = effect else { continue };
            if let Some(caller) = self.sessions.get_mut(conn) {
                caller.link.record_sent(msg);
            }
        }
    }

    fn leave(&self, now: f64) -> SendPermissions {
        let news = self.context.has_majority(now);
        let whole = news && self.raft.is_attached(self.context.log_time(now));
        let most = self.context.settings.memory_bytes as usize / MEMORY_PART / self.sessions.len().max(1);
        SendPermissions { whole, news, most: most.max(LEAST) }
    }

    /// A ping: its sender hears what it lacks, who holds the counter, and whether it knows all workers.
    pub(super) fn pinged(
        &mut self,
        now: f64,
        conn: ConnectionId,
        (config, workers, heard): (u64, u64, u64),
        out: &mut Vec<Effect>,
    ) {
        let mine = (self.configuration.state.last_change_index(), self.membership.registry.digest());
        let (leave, last) = (self.leave(now), self.membership.last_change());
        let settled = leave.whole && self.membership.is_complete(now);
        let Some(caller) = self.sessions.get_mut(&conn) else { return };
        if caller.member.is_some() {
            out.push(Effect::SendToSession(
                conn,
                PeerMessage::Ping { config_index: mine.0, workers_digest: mine.1, received: 0 },
            ));
            return;
        }
        caller.link.acknowledge(heard);
        caller.holds = Some((config, workers));
        let older = caller.told && config < mine.0 && caller.link.has_room_for_full_state(leave.most);
        caller.behind = if older { caller.behind + 1 } else { 0 };
        if caller.behind >= 2 {
            tracing::info!(edge = caller.node, "resending full configuration to edge");
            (caller.told, caller.behind) = (false, 0);
        }
        // Once both have had the same news, a difference is more than news under way to one of them, and stays the same.
        let by = mine.1 ^ workers;
        if by == 0 || by != caller.differs.0 {
            (caller.differs, caller.whole.1) = ((by, now), WHOLE_EVERY);
        }
        let (at, every) = caller.whole;
        let same = caller.link.are_workers_acknowledged() && caller.workers == Some(last);
        let lasts = by != 0 && same && now - caller.differs.1 >= DIFFERS;
        if lasts && settled && now - at > every && caller.link.has_room_for_full_state(leave.most) {
            tracing::info!(edge = caller.node, "resending full worker list to edge");
            caller.whole = (now, (2.0 * every).min(WHOLE_LAST));
            let workers = self.membership.registry.workers().cloned().collect();
            out.push(Effect::SendToSession(conn, PeerMessage::WorkerSnapshot { workers, complete: settled }));
        }
        self.serve(conn, &leave, out);
        let young = now - self.context.started < COUNT_AFTER;
        let gates = if young { 0 } else { self.edges.count() as u32 };
        let ms = self.context.log_time(now);
        let holder = match self.raft.leader(ms) {
            Some(leader) if leader == self.raft.id() => self.raft.holds_lease(ms).then_some(leader.ip),
            leader => leader.map(|l| l.ip),
        };
        let core = self.context.voters.len() as u32;
        let settled = settled && self.sessions.get(&conn).is_some_and(|c| c.workers == Some(last));
        out.push(Effect::SendToSession(
            conn,
            PeerMessage::Pong {
                quota_leader: holder,
                edge_count: gates,
                core_count: core,
                workers_complete: settled,
            },
        ));
    }

    /// What a gatekeeper lacks, as far as its connection takes it.
    fn serve(&mut self, conn: ConnectionId, leave: &SendPermissions, out: &mut Vec<Effect>) {
        let mine = (
            self.configuration.state.last_change_index(),
            self.membership.registry.digest(),
            self.membership.last_change(),
        );
        let (Some(caller), last) = (self.sessions.get_mut(&conn), mine.2) else { return };
        let Some((config, workers)) = caller.holds else { return };
        if leave.whole {
            // One that is back goes on from what it holds.
            caller.told |= config >= mine.0;
            caller.workers = caller.workers.or_else(|| (workers == mine.1).then_some(last));
        }
        if let Some(known) =
            caller.workers.filter(|n| *n < last && leave.news && caller.link.has_room(leave.most))
        {
            // Those that can't be told any more are told by the whole list.
            let news = self.membership.changed_since(known);
            caller.workers = news.is_some().then_some(last);
            out.extend(news.map(|workers| Effect::SendToSession(conn, PeerMessage::WorkerUpdates(workers))));
        }
        let lacks = !caller.told || caller.workers.is_none();
        let most = self.context.settings.memory_bytes as usize / MEMORY_PART;
        let room = self.transfer_pacing.wholes > 0.0
            && (self.transfer_pacing.under_way == 0 || self.transfer_pacing.under_way < most);
        if !(lacks && leave.whole && room && caller.link.has_room_for_full_state(leave.most)) {
            return;
        }
        let mut whole = Vec::new();
        let state = &self.configuration.state;
        if !std::mem::replace(&mut caller.told, true) && !state.is_empty() {
            let items: Vec<ConfigItem> = state.active_items().map(|i| (**i).clone()).collect();
            whole.push(PeerMessage::ConfigUpdate { previous: None, index: state.last_change_index(), items });
        }
        if caller.workers.is_none() {
            caller.workers = Some(last);
            // Who lives and is not among them may be known elsewhere: none is taken away by this.
            let workers = self.membership.registry.workers().cloned().collect();
            whole.push(PeerMessage::WorkerSnapshot { workers, complete: false });
        }
        let bytes: usize = whole.iter().map(estimated_bytes).sum();
        self.transfer_pacing.wholes -= bytes as f64;
        self.transfer_pacing.under_way += bytes;
        out.extend(whole.into_iter().map(|msg| Effect::SendToSession(conn, msg)));
    }

    /// Workers' news goes to all gatekeepers that it is news to.
    pub(super) fn tell_workers(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (leave, last) = (self.leave(now), self.membership.last_change());
        if !leave.news {
            return;
        }
        let mut lacked: BTreeMap<u64, Option<Vec<Worker>>> = BTreeMap::new();
        for (conn, caller) in &mut self.sessions {
            let Some(known) = caller.workers.filter(|n| *n < last && caller.link.has_room(leave.most)) else {
                continue;
            };
            let news = lacked.entry(known).or_insert_with(|| self.membership.changed_since(known));
            caller.workers = news.is_some().then_some(last);
            out.extend(
                news.iter()
                    .map(|workers| Effect::SendToSession(*conn, PeerMessage::WorkerUpdates(workers.clone()))),
            );
        }
    }

    /// What an entry changed goes to the gatekeepers that were told all before: it is committed.
    pub(super) fn push_items(
        &mut self,
        before: Index,
        index: Index,
        items: Vec<ConfigItem>,
        out: &mut Vec<Effect>,
    ) {
        let most = self.leave(self.context.now).most;
        let msg = PeerMessage::ConfigUpdate { previous: Some(before), index, items };
        for (conn, caller) in self.sessions.iter_mut().filter(|(_, c)| c.member.is_none() && c.told) {
            caller.told = caller.link.has_room(most);
            if caller.told {
                out.push(Effect::SendToSession(*conn, msg.clone()));
            }
        }
    }

    /// This machine has skipped entries: gatekeepers here are to be told all again.
    pub(super) fn tell_anew(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.sessions.values_mut().for_each(|c| c.told = false);
        self.serve_all(now, out);
    }

    fn serve_all(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (leave, last) = (self.leave(now), self.membership.last_change());
        let lacks = |c: &PeerSession| c.member.is_none() && (!c.told || c.workers.is_none_or(|n| n < last));
        let lacking = self.sessions.iter().filter(|(_, c)| lacks(c)).map(|(conn, _)| *conn);
        for conn in lacking.collect::<Vec<_>>() {
            self.serve(conn, &leave, out);
        }
    }

    /// Upkeep.
    pub(super) fn tick_gates(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.edges.expire(now);
        self.transfer_pacing.wholes =
            (self.transfer_pacing.wholes + WHOLES * TICK_SECS).min(WHOLES * TICK_SECS);
        self.transfer_pacing.under_way = self.sessions.values().map(|c| c.link.bytes_in_flight()).sum();
        // Those that came while this machine could not speak for all, or whose connections lagged.
        self.serve_all(now, out);
        self.tell_list(now, out);
    }

    /// The list of gatekeepers: each is told what is news to it, in turn.
    fn tell_list(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.transfer_pacing.lists = (self.transfer_pacing.lists + LISTS * TICK_SECS).min(LISTS * TICK_SECS);
        let (most, last, from) =
            (self.leave(now).most, self.edges.last_change(), self.transfer_pacing.listed);
        let behind = |c: &PeerSession| c.member.is_none() && c.gates != Some(last) && c.link.has_room(most);
        let turn = self.sessions.range(from + 1..).chain(self.sessions.range(..=from));
        let turn: Vec<ConnectionId> = turn.filter(|(_, c)| behind(c)).map(|(conn, _)| *conn).collect();
        for conn in turn {
            if self.transfer_pacing.lists <= 0.0 {
                return;
            }
            let Some(caller) = self.sessions.get_mut(&conn) else { continue };
            let msg = self.edges.update_since(caller.gates);
            caller.gates = Some(last);
            self.transfer_pacing.lists -= estimated_bytes(&msg) as f64;
            self.transfer_pacing.listed = conn;
            out.push(Effect::SendToSession(conn, msg));
        }
    }
}

#[cfg(test)]
#[path = "edge_sessions_tests.rs"]
mod tests;
