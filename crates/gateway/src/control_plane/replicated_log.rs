//! Drives the replicated log of a core node: passes its messages on, writes what it wants persisted, applies what it
//! commits, compacts it behind snapshots, and notices changes of leadership and voters. What the log decides is
//! [`consensus`](crate::consensus)'s alone.

use super::snapshot::{self, SnapshotReceiver, SnapshotWriter};
use super::{CoreNode, Effect};
use crate::configuration::{ConfigItem, ItemFields};
use crate::consensus::{
    Entry, EntryPayload, LogPosition, Message, Millis, NodeId, Output, RaftConfig, Snapshot,
};
use crate::control_plane::event_journal::JournalEvent;
use crate::protocol::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, PeerMessage};
use crate::settings::Settings;
use crate::storage::WriteBatch;
use std::net::IpAddr;
use std::sync::Arc;

/// A leader sends heartbeats this often.
const HEARTBEAT_MS: Millis = 100;
/// An election starts after this long without a leader, and after up to twice that at random. Above the pauses that a
/// small machine has now and then.
pub(super) const ELECTION_TIMEOUT_MS: Millis = 700;
/// A leader relies on its lease for this long after a majority has heard it. The rest of the election timeout covers
/// clocks that differ in speed.
const LEASE_MS: Millis = 600;
/// A write that takes longer than this counts as a hanging disk.
const DISK_HANG_MS: Millis = 500;
/// Entries that the leader puts into one message, at most.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// A snapshot is sent to another member in pieces of this size...
const SNAPSHOT_PIECE_BYTES: usize = 128 * 1024;
/// ...with this many of them unacknowledged, at most.
const MAX_PIECES_IN_FLIGHT: usize = 8;
/// A node that hears no leader asks to join this often, in seconds.
const JOIN_INTERVAL_SECS: f64 = 0.3;
/// The log is compacted once its commands take more bytes than this, and than the last snapshot...
const COMPACTION_MIN_BYTES: usize = 256 * 1024;
/// ...or once it has more entries than this.
const COMPACTION_MIN_ENTRIES: usize = 512;
/// While a snapshot is being sent to another node, the log may grow to this multiple of both bounds.
const COMPACTION_DELAY_FACTOR: usize = 8;
/// The capacity of a new snapshot is that of the last one plus one part in this many.
const SNAPSHOT_GROWTH_DIVISOR: usize = 8;

/// Estimated bytes in the log of a command, and of an item in it, besides their variable parts.
const COMMAND_OVERHEAD_BYTES: usize = 50;
const ITEM_OVERHEAD_BYTES: usize = 60;
/// The same of an edge and of a tenant in recorded ceilings.
const EDGE_CEILINGS_BYTES: usize = 40;
const TENANT_CEILING_BYTES: usize = 20;

/// The log's parameters, by the deployment's settings.
pub(super) fn raft_config(settings: &Settings) -> RaftConfig {
    let tolerance = settings.tolerance;
    // Silent voters are taken out down to the number of which a majority is left after `losses` more. A lower bound
    // only: a lost zone or region may take several voters.
    let losses = tolerance.machines.max(tolerance.zones).max(tolerance.regions);
    RaftConfig {
        heartbeat_interval: HEARTBEAT_MS,
        election_timeout: ELECTION_TIMEOUT_MS,
        lease_duration: LEASE_MS,
        voter_removal_timeout: settings.envelope.resync_bound.as_millis() as u64 / 2,
        min_voters: (2 * losses + 1).max(3),
        max_entries_per_append: MAX_ENTRIES_PER_MESSAGE,
        snapshot_chunk_bytes: SNAPSHOT_PIECE_BYTES,
        max_chunks_in_flight: MAX_PIECES_IN_FLIGHT,
        disk_stall_timeout: DISK_HANG_MS,
    }
}

/// A write batch that carries writes of the log.
struct PendingWrite {
    /// Number of the batch.
    batch: u64,
    /// The log's own number of the writes.
    raft_write: u64,
}

/// What this node keeps about the log besides the log itself.
#[derive(Default)]
pub(super) struct LogDriver {
    pending_writes: Vec<PendingWrite>,
    /// In seconds of the event clock.
    last_join_request: f64,
    /// Estimated bytes of the commands that were applied since the last snapshot.
    applied_bytes: usize,
    /// Size of the last snapshot.
    snapshot_bytes: usize,
    /// The next snapshot, while it is encoded.
    writer: Option<SnapshotWriter>,
    /// A leader's snapshot, while it arrives.
    receiver: Option<SnapshotReceiver>,
    /// The entry of the quota ceilings that were proposed last, until it is applied or leadership changes.
    proposed_ceilings: Option<LogPosition>,
    /// Leadership and voters as logged last.
    was_leader: bool,
    voters: Vec<NodeId>,
}

impl LogDriver {
    /// `snapshot_bytes`: size of the snapshot on the disk.
    pub(super) fn new(snapshot_bytes: usize) -> Self {
        LogDriver { snapshot_bytes, ..LogDriver::default() }
    }

    /// Size of the last snapshot.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Whether quota ceilings are on their way through the log.
    pub(super) fn is_proposing_ceilings(&self) -> bool {
        self.proposed_ceilings.is_some()
    }
}

/// Estimated bytes of a command in the log.
fn command_bytes(command: &LogCommand) -> usize {
    let variable_bytes: usize = match command {
        LogCommand::Configure(change) => {
            let item_bytes = |item: &ConfigItem| {
                ITEM_OVERHEAD_BYTES + item.label.len() + item.body.as_ref().map_or(0, ItemFields::encoded_len)
            };
            change.iter().map(item_bytes).sum()
        }
        LogCommand::Shares(ceilings) => {
            let edge_bytes = |tenants: usize| EDGE_CEILINGS_BYTES + TENANT_CEILING_BYTES * tenants;
            ceilings.edges.iter().map(|edge| edge_bytes(edge.ceilings.len())).sum()
        }
    };
    variable_bytes + COMMAND_OVERHEAD_BYTES
}

impl CoreNode {
    /// A consensus message. One to another member is dropped: this address had another disk before.
    pub(super) fn handle_consensus_message(
        &mut self,
        now: f64,
        from: NodeId,
        to: NodeId,
        message: Message<LogCommand>,
        out: &mut Vec<Effect>,
    ) {
        if to != self.raft.id() {
            return;
        }
        // Responses go by a connection that this process opens.
        self.learn_core_nodes(vec![NodeLocation::unplaced(from.ip)], out);
        let log_time = self.context.log_time(now);
        self.raft.receive(log_time, from, message);
        self.process_raft_outputs(now, out);
    }

    /// A node asks to join the core. A follower forwards this to the leader, unless it was forwarded already.
    pub(super) fn handle_join(&mut self, now: f64, id: NodeId, is_forwarded: bool, out: &mut Vec<Effect>) {
        let log_time = self.context.log_time(now);
        if self.raft.is_leader() {
            self.learn_core_nodes(vec![NodeLocation::unplaced(id.ip)], out);
            self.raft.join(log_time, id);
            return self.process_raft_outputs(now, out);
        }
        let leader = self.raft.leader(log_time).filter(|leader| !is_forwarded && leader.ip != id.ip);
        if let Some(leader) = leader {
            out.push(Effect::SendToPeer(leader.ip, PeerMessage::Join { id, forwarded: true }));
        }
    }

    /// Tells the other core nodes that this process ends, so that the leader may take it out of the voters
    /// without waiting for its silence.
    pub(super) fn announce_leave(&self, out: &mut Vec<Effect>) {
        let id = self.raft.id();
        let leave = |ip| Effect::SendToPeer(ip, PeerMessage::Leave { id });
        out.extend(self.context.peers().into_iter().map(leave));
    }

    /// The write batch with this number is synced, and so are all before it.
    pub(super) fn handle_persisted(&mut self, now: f64, batch: u64, out: &mut Vec<Effect>) {
        let driver = &mut self.log_driver;
        if let Some(writer) = driver.writer.as_mut().filter(|w| w.pending_batch.is_some_and(|n| n <= batch)) {
            writer.pending_batch = None;
        }
        let synced = driver.pending_writes.iter().filter(|w| w.batch <= batch).map(|w| w.raft_write).max();
        driver.pending_writes.retain(|w| w.batch > batch);
        if let Some(raft_write) = synced {
            let log_time = self.context.log_time(now);
            self.raft.on_persisted(log_time, raft_write);
            self.process_raft_outputs(now, out);
        }
    }

    pub(super) fn tick_log(&mut self, now: f64, out: &mut Vec<Effect>) {
        let log_time = self.context.log_time(now);
        self.raft.tick(log_time);
        let may_ask_to_join = now - self.log_driver.last_join_request >= JOIN_INTERVAL_SECS;
        if self.raft.leader(log_time).is_none() && may_ask_to_join {
            self.log_driver.last_join_request = now;
            let id = self.raft.id();
            let join = |ip| Effect::SendToPeer(ip, PeerMessage::Join { id, forwarded: false });
            out.extend(self.context.peers().into_iter().map(join));
        }
        self.process_raft_outputs(now, out);
        self.compact_log(now, out);
    }

    /// Compacts the log behind a snapshot of what is applied, once it is long. The snapshot is encoded over several
    /// ticks, one chunk at a time on its way to the disk.
    fn compact_log(&mut self, now: f64, out: &mut Vec<Effect>) {
        if self.log_driver.writer.is_none() {
            self.start_snapshot();
        }
        let driver = &mut self.log_driver;
        let Some(writer) = driver.writer.as_mut().filter(|w| w.pending_batch.is_none()) else { return };
        if let Some(chunk) = writer.next_chunk() {
            let number = self.context.next_id();
            writer.pending_batch = Some(number);
            return out.push(Effect::Persist(WriteBatch {
                sequence: number,
                snapshot_chunk: Some(chunk),
                ..WriteBatch::default()
            }));
        }
        let Some(writer) = driver.writer.take() else { return };
        let (index, data) = (writer.position.index, writer.into_bytes());
        let entries = self.raft.entry_count();
        tracing::info!(index, bytes = data.len(), entries, "log compacted");
        driver.snapshot_bytes = data.len();
        let log_time = self.context.log_time(now);
        self.raft.compact(log_time, index, data);
        self.process_raft_outputs(now, out);
    }

    /// Starts a snapshot as of the last applied entry if the log is long enough.
    fn start_snapshot(&mut self) {
        let driver = &mut self.log_driver;
        let factor = if self.raft.is_sending_snapshot() { COMPACTION_DELAY_FACTOR } else { 1 };
        let entries = self.raft.entry_count();
        let is_long = driver.applied_bytes > factor * COMPACTION_MIN_BYTES.max(driver.snapshot_bytes)
            || entries > factor * COMPACTION_MIN_ENTRIES;
        let index = self.configuration.applied;
        let Some(term) = self.raft.term_at(index).filter(|_| is_long) else { return };
        let capacity = driver.snapshot_bytes + driver.snapshot_bytes / SNAPSHOT_GROWTH_DIVISOR;
        let (state, ceilings) = (&self.configuration.state, self.recorded_ceilings.as_ref());
        driver.writer = Some(SnapshotWriter::new(LogPosition { index, term }, state, ceilings, capacity));
        driver.applied_bytes = 0;
    }

    /// Decodes what has arrived of a leader's snapshot, and writes it ahead in chunks.
    fn receive_snapshot(&mut self, out: &mut Vec<Effect>) {
        let Some(incoming) = self.raft.incoming_snapshot() else {
            self.log_driver.receiver = None;
            return;
        };
        let (position, bytes) = (incoming.last_included, incoming.data.as_slice());
        let receiver = self.log_driver.receiver.take().filter(|r| r.is_continued_by(position, bytes));
        let mut receiver = receiver.unwrap_or_else(|| SnapshotReceiver::new(position));
        let chunk = receiver.receive(bytes);
        self.log_driver.receiver = Some(receiver);
        if chunk.is_some() {
            let number = self.context.next_id();
            out.push(Effect::Persist(WriteBatch {
                sequence: number,
                snapshot_chunk: chunk,
                ..WriteBatch::default()
            }));
        }
    }

    /// Carries out what the log has put out. To be called after every call that may have changed the log.
    pub(super) fn process_raft_outputs(&mut self, now: f64, out: &mut Vec<Effect>) {
        for output in self.raft.take_outputs() {
            match output {
                Output::Persist { id: raft_write, writes } => {
                    let number = self.context.next_id();
                    self.log_driver.pending_writes.push(PendingWrite { batch: number, raft_write });
                    out.push(Effect::Persist(WriteBatch {
                        sequence: number,
                        log_writes: writes,
                        ..WriteBatch::default()
                    }));
                }
                Output::Send { to, message } => {
                    let message = PeerMessage::Consensus { from: self.raft.id(), to, message };
                    out.push(Effect::SendToPeer(to.ip, message));
                }
                Output::Apply(entry) => self.apply_entry(entry, out),
                Output::InstallSnapshot(snapshot) => self.install_snapshot(now, &snapshot, out),
                Output::ReadReady(read) => self.configuration.complete_read(read, &mut self.context, out),
            }
        }
        self.receive_snapshot(out);
        self.configuration.complete_ready(&self.raft, &mut self.context, out);
        self.track_leadership(now);
        self.track_voters(now, out);
    }

    fn track_leadership(&mut self, now: f64) {
        let (is_leader, term) = (self.raft.is_leader(), self.raft.term());
        if std::mem::replace(&mut self.log_driver.was_leader, is_leader) == is_leader {
            return;
        }
        if is_leader {
            tracing::info!(term, "gained leadership");
        } else {
            tracing::info!(term, "lost leadership");
        }
        self.context.journal.append(now, JournalEvent::Leadership { is_leader, term });
        self.log_driver.proposed_ceilings = None;
    }

    fn track_voters(&mut self, now: f64, out: &mut Vec<Effect>) {
        let voters: Vec<NodeId> = self.raft.voters().into_iter().collect();
        if voters == self.log_driver.voters {
            return;
        }
        let names: Vec<String> = voters.iter().map(member_name).collect();
        tracing::info!(voters = names.join(" "), "voters changed");
        self.context.journal.append(now, JournalEvent::Voters(names));
        self.context.voters = voters.iter().map(|v| v.ip).collect();
        self.log_driver.voters = voters;
        let unplaced = |ip: &IpAddr| NodeLocation::unplaced(*ip);
        let nodes: Vec<NodeLocation> = self.context.voters.iter().map(unplaced).collect();
        self.learn_core_nodes(nodes, out);
    }

    fn apply_entry(&mut self, entry: Entry<LogCommand>, out: &mut Vec<Effect>) {
        let position = LogPosition { index: entry.index, term: entry.term };
        self.configuration.applied = position.index;
        let EntryPayload::Command(command) = entry.payload else { return };
        self.log_driver.applied_bytes += command_bytes(&command);
        match command {
            LogCommand::Configure(change) => {
                let applied = self.configuration.apply(position, &change, &self.raft, &mut self.context, out);
                if let Some(applied) = applied {
                    let items: Vec<ConfigItem> = applied.items.iter().map(|i| (**i).clone()).collect();
                    self.send_config_update(applied.previous, position.index, items, out);
                }
            }
            LogCommand::Shares(ceilings) => self.apply_ceilings(position, ceilings),
        }
    }

    fn apply_ceilings(&mut self, position: LogPosition, ceilings: Arc<ShareCeilings>) {
        if self.log_driver.proposed_ceilings == Some(position) {
            self.log_driver.proposed_ceilings = None;
            self.quota_lease.record_committed(&ceilings);
        }
        match &mut self.recorded_ceilings {
            Some(recorded) => Arc::make_mut(recorded).apply(&ceilings),
            None => self.recorded_ceilings = Some(ceilings),
        }
    }

    /// Replaces the state by a leader's snapshot. If that can't be decoded it is of another release: this node can't go
    /// on.
    fn install_snapshot(&mut self, now: f64, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        let position = LogPosition { index: snapshot.index, term: snapshot.term };
        let receiver = self.log_driver.receiver.take();
        let decoded = match receiver.filter(|r| r.is_continued_by(position, &snapshot.data)) {
            Some(receiver) => receiver.finish(&snapshot.data),
            None => snapshot::decode(&snapshot.data),
        };
        self.log_driver.writer = None;
        match decoded {
            Ok(decoded) => {
                tracing::info!(index = snapshot.index, bytes = snapshot.data.len(), "snapshot installed");
                self.context.journal.append(now, JournalEvent::SnapshotInstalled);
                self.configuration.state = decoded.config;
                self.configuration.applied = snapshot.index;
                self.recorded_ceilings = decoded.ceilings;
                self.log_driver.applied_bytes = 0;
                self.log_driver.snapshot_bytes = snapshot.data.len();
                self.resend_configuration(now, out);
            }
            Err(error) => {
                tracing::error!(%error, "snapshot can't be decoded");
                self.fatal_error = Some(error);
            }
        }
    }

    /// Proposes to record the quota ceilings: they rise only once a majority holds the record.
    pub(super) fn propose_ceilings(&mut self, now: f64, ceilings: ShareCeilings) {
        let log_time = self.context.log_time(now);
        let position = self.raft.propose(log_time, LogCommand::Shares(Arc::new(ceilings)));
        self.log_driver.proposed_ceilings = position;
    }
}

/// A member as the log lines and the journal spell it: address/disk.
pub(super) fn member_name(id: &NodeId) -> String {
    format!("{}/{:x}", id.ip, id.disk)
}
