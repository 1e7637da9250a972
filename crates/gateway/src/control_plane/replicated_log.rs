//! Owns the core's side of the replicated log: what it puts out is written, said and applied; machines that want to join
//! are named to the leader; the log is cut behind a snapshot; who votes is told. It must never decide what the log says.

use super::snapshot::{self, SnapshotReceiver, SnapshotWriter};
use super::{CoreNode, Effect};
use crate::configuration::{ConfigItem, ItemFields};
use crate::consensus::{Entry, EntryPayload, Index, Message, NodeId, Output, RaftConfig, Snapshot, Term};
use crate::control_plane::event_journal::JournalEvent;
use crate::protocol::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, PeerMessage};
use crate::settings::Settings;
use crate::storage::WriteBatch;
use std::net::IpAddr;
use std::sync::Arc;

/// A leader says that it is there this often: milliseconds.
const HEARTBEAT: u64 = 100;
/// An election begins after so long without a leader, and up to twice that: milliseconds. Above what a small machine
/// stands still for now and then.
pub(super) const ELECTION: u64 = 700;
/// A leader relies on most having heard it for so long: milliseconds. The rest is for clocks that differ in speed.
const LEASE: u64 = 600;
/// A disk that takes longer for a write hangs: milliseconds.
const HANG: u64 = 500;
/// Machines that hear no leader say so this often: seconds.
const JOIN: f64 = 0.3;
/// The log is cut once it is longer than this, in bytes and in entries, and than the last snapshot.
const CUT_BYTES: usize = 256 * 1024;
const CUT_ENTRIES: usize = 512;
/// While a snapshot is on its way to another machine the log may grow to so many times that.
const CUT_PATIENCE: usize = 8;

/// Spans for the log, by the deployment's bounds.
pub fn tuning(settings: &Settings) -> RaftConfig {
    let t = settings.tolerance;
    // A lost zone or region may hold several: at least one more than twice the losses must be left in any case.
    let losses = t.machines.max(t.zones).max(t.regions);
    RaftConfig {
        heartbeat: HEARTBEAT,
        election: ELECTION,
        lease: LEASE,
        out_after: settings.envelope.resync.as_millis() as u64 / 2,
        least: (2 * losses + 1).max(3),
        batch: 64,
        piece: 128 * 1024,
        window: 8,
        hang: HANG,
    }
}

/// What of the log and its machinery this core goes by.
#[derive(Default)]
pub(super) struct LogDriver {
    /// Puts that carry writes of the log: the put's number, the log's.
    puts: Vec<(u64, u64)>,
    joined: f64,
    /// Bytes of the commands that were applied since the last snapshot, and the snapshot's own.
    bytes: usize,
    snapshot: usize,
    /// The next snapshot, while it is made; one of a leader, while it comes.
    making: Option<SnapshotWriter>,
    taking: Option<SnapshotReceiver>,
    /// Number of the record of shares that is on its way.
    pub(super) recording: Option<(Index, Term)>,
    leading: bool,
    voters: Vec<NodeId>,
}

/// About how many bytes a command takes in the log.
fn weight(command: &LogCommand) -> usize {
    match command {
        LogCommand::Configure(order) => {
            let item = |i: &ConfigItem| 60 + i.label.len() + i.body.as_ref().map_or(0, ItemFields::size);
            order.iter().map(item).sum::<usize>() + 50
        }
        LogCommand::Shares(shares) => {
            shares.edges.iter().map(|g| 40 + 20 * g.ceilings.len()).sum::<usize>() + 50
        }
    }
}

impl LogDriver {
    /// The size of the snapshot that the disk held.
    pub(super) fn started(&mut self, snapshot: usize) {
        self.snapshot = snapshot;
    }
}

impl CoreNode {
    /// A message of the log, for this member or one that had this address before.
    pub(super) fn log_says(
        &mut self,
        now: f64,
        (from, to): (NodeId, NodeId),
        message: Message<LogCommand>,
        out: &mut Vec<Effect>,
    ) {
        if to != self.raft.me() {
            return;
        }
        // Its answers go by a connection of this process.
        self.meet(vec![NodeLocation { ip: from.ip, zone: String::new(), region: String::new() }], out);
        let ms = self.shared.ms(now);
        self.raft.receive(ms, from, message);
        self.log_out(now, out);
    }

    /// A machine wants to join; passed on to the leader, once.
    pub(super) fn wants_to_join(&mut self, now: f64, id: NodeId, passed: bool, out: &mut Vec<Effect>) {
        let ms = self.shared.ms(now);
        if self.raft.leads() {
            self.meet(vec![NodeLocation { ip: id.ip, zone: String::new(), region: String::new() }], out);
            self.raft.join(ms, id);
            return self.log_out(now, out);
        }
        let leader = self.raft.leader(ms).filter(|leader| !passed && leader.ip != id.ip);
        if let Some(leader) = leader {
            out.push(Effect::Send(leader.ip, PeerMessage::Join { id, forwarded: true }));
        }
    }

    /// This process ends: the others may do without its vote.
    pub(super) fn tell_end(&mut self, out: &mut Vec<Effect>) {
        let id = self.raft.me();
        out.extend(self.shared.peers().into_iter().map(|ip| Effect::Send(ip, PeerMessage::Leave { id })));
    }

    /// Something is on the disk.
    pub(super) fn log_synced(&mut self, now: f64, put: u64, out: &mut Vec<Effect>) {
        let side = &mut self.log_side;
        if let Some(making) = side.making.as_mut().filter(|m| m.put.is_some_and(|n| n <= put)) {
            making.put = None;
        }
        let done = side.puts.iter().filter(|p| p.0 <= put).map(|p| p.1).max();
        side.puts.retain(|p| p.0 > put);
        if let Some(number) = done {
            let ms = self.shared.ms(now);
            self.raft.persisted(ms, number);
            self.log_out(now, out);
        }
    }

    /// Upkeep.
    pub(super) fn log_tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        let ms = self.shared.ms(now);
        self.raft.tick(ms);
        if self.raft.leader(ms).is_none() && now - self.log_side.joined >= JOIN {
            self.log_side.joined = now;
            let id = self.raft.me();
            let join = |ip| Effect::Send(ip, PeerMessage::Join { id, forwarded: false });
            out.extend(self.shared.peers().into_iter().map(join));
        }
        self.log_out(now, out);
        self.cut(now, out);
    }

    /// Cuts the log behind a snapshot of what is applied, once it is long; the snapshot is made over several ticks.
    fn cut(&mut self, now: f64, out: &mut Vec<Effect>) {
        let side = &mut self.log_side;
        if side.making.is_none() {
            let patience = if self.raft.is_sending() { CUT_PATIENCE } else { 1 };
            let long = side.bytes > patience * CUT_BYTES.max(side.snapshot)
                || self.raft.held().0 > patience * CUT_ENTRIES;
            let index = self.keeper.applied;
            let Some(term) = self.raft.term_at(index).filter(|_| long) else { return };
            let about = side.snapshot + side.snapshot / 8;
            side.making =
                Some(SnapshotWriter::new((index, term), &self.keeper.state, self.record.as_ref(), about));
            side.bytes = 0;
        }
        // One step of it at a time is on its way to the disk.
        let Some(making) = side.making.as_mut().filter(|m| m.put.is_none()) else { return };
        if let Some(part) = making.step() {
            let number = self.shared.number();
            making.put = Some(number);
            return out.push(Effect::Persist(WriteBatch {
                number,
                part: Some(part),
                ..WriteBatch::default()
            }));
        }
        let Some(making) = side.making.take() else { return };
        let ((index, _), data) = (making.of, making.finish());
        tracing::info!(
            index,
            bytes = data.len(),
            entries = self.raft.held().0,
            "cuts the log behind a snapshot"
        );
        side.snapshot = data.len();
        let ms = self.shared.ms(now);
        self.raft.compact_to(ms, index, data);
        self.log_out(now, out);
    }

    /// What has come of a leader's snapshot is decoded, and put on the disk.
    fn snapshot_comes(&mut self, out: &mut Vec<Effect>) {
        let Some((index, term, bytes)) = self.raft.incoming() else {
            self.log_side.taking = None;
            return;
        };
        let of = (index, term);
        let taking = self.log_side.taking.take().filter(|t| t.goes_on(of, bytes));
        let mut taking = taking.unwrap_or_else(|| SnapshotReceiver::new(of));
        let part = taking.come(bytes);
        self.log_side.taking = Some(taking);
        if part.is_some() {
            let number = self.shared.number();
            out.push(Effect::Persist(WriteBatch { number, part, ..WriteBatch::default() }));
        }
    }

    /// Carries out what the log wants.
    pub(super) fn log_out(&mut self, now: f64, out: &mut Vec<Effect>) {
        for output in self.raft.take() {
            match output {
                Output::Persist(number, writes) => {
                    let put = self.shared.number();
                    self.log_side.puts.push((put, number));
                    out.push(Effect::Persist(WriteBatch { number: put, writes, ..WriteBatch::default() }));
                }
                Output::Send(to, message) => {
                    let message = PeerMessage::Consensus { from: self.raft.me(), to, message };
                    out.push(Effect::Send(to.ip, message));
                }
                Output::Apply(entry) => self.apply(entry, out),
                Output::Install(snapshot) => self.install(now, &snapshot, out),
                Output::ReadReady(number) => self.keeper.ready(number, &mut self.shared, out),
            }
        }
        self.snapshot_comes(out);
        self.keeper.copied(&self.raft, &mut self.shared, out);
        self.log_news(now, out);
    }

    /// Notices who leads and who votes.
    fn log_news(&mut self, now: f64, out: &mut Vec<Effect>) {
        let (leads, term) = (self.raft.leads(), self.raft.term());
        if std::mem::replace(&mut self.log_side.leading, leads) != leads {
            match leads {
                true => tracing::info!(term, "leads"),
                false => tracing::info!(term, "leads no more"),
            }
            self.shared.journal.append(now, JournalEvent::Leads(leads, term));
            self.log_side.recording = None;
        }
        let voters: Vec<NodeId> = self.raft.members().into_iter().collect();
        if voters != self.log_side.voters {
            let told: Vec<String> = voters.iter().map(|v| format!("{}/{:x}", v.ip, v.disk)).collect();
            tracing::info!(voters = told.join(" "), "votes in the log");
            self.shared.journal.append(now, JournalEvent::Voters(told));
            self.shared.voters = voters.iter().map(|v| v.ip).collect();
            self.log_side.voters = voters;
            let blank = |ip: &IpAddr| NodeLocation { ip: *ip, zone: String::new(), region: String::new() };
            let unknown: Vec<NodeLocation> = self.shared.voters.iter().map(blank).collect();
            self.meet(unknown, out);
        }
    }

    fn apply(&mut self, entry: Entry<LogCommand>, out: &mut Vec<Effect>) {
        let place = (entry.index, entry.term);
        self.keeper.applied = entry.index;
        let EntryPayload::Command(command) = entry.body else { return };
        self.log_side.bytes += weight(&command);
        match command {
            LogCommand::Configure(order) => {
                let parts = (&self.raft, &mut self.shared);
                let changed = self.keeper.apply(place, &order, parts, out);
                if let Some((before, items)) = changed {
                    let items: Vec<ConfigItem> = items.iter().map(|i| (**i).clone()).collect();
                    self.send_config_update(before, entry.index, items, out);
                }
            }
            LogCommand::Shares(shares) => {
                if self.log_side.recording == Some(place) {
                    self.log_side.recording = None;
                    self.seat.record_committed(&shares);
                }
                match &mut self.record {
                    Some(record) => Arc::make_mut(record).apply(&shares),
                    None => self.record = Some(shares),
                }
            }
        }
    }

    fn install(&mut self, now: f64, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        let of = (snapshot.index, snapshot.term);
        let taking = self.log_side.taking.take().filter(|t| t.goes_on(of, &snapshot.data));
        let read = match taking {
            Some(taking) => taking.finish(&snapshot.data),
            None => snapshot::decode(&snapshot.data),
        };
        self.log_side.making = None;
        match read {
            Ok((state, shares)) => {
                tracing::info!(index = snapshot.index, bytes = snapshot.data.len(), "takes a snapshot");
                self.shared.journal.append(now, JournalEvent::CaughtUp);
                (self.keeper.state, self.keeper.applied, self.record) = (state, snapshot.index, shares);
                (self.log_side.bytes, self.log_side.snapshot) = (0, snapshot.data.len());
                self.resend_configuration(now, out);
            }
            // Of another release: this machine can't go on with the others.
            Err(error) => {
                tracing::error!(error, "a snapshot that can't be read");
                self.broken = Some(error);
            }
        }
    }

    /// Proposes to record the shares, if they changed: they rise once most keep them.
    pub(super) fn record_shares(&mut self, now: f64, shares: ShareCeilings) {
        let ms = self.shared.ms(now);
        self.log_side.recording = self.raft.propose(ms, LogCommand::Shares(Arc::new(shares)));
    }

    /// Bytes of the last snapshot.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.log_side.snapshot
    }
}
