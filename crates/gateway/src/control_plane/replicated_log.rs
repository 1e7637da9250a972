//! The driver of a core node's replicated log. It passes consensus messages in and out, turns log writes into write
//! batches, applies committed entries, compacts the log behind snapshots, and logs changes of leadership and voters.
//! The consensus algorithm itself is in [`consensus`](crate::consensus).

use super::snapshot::{self, SnapshotReceiver, SnapshotState, SnapshotWriter};
use super::{CoreNode, Effect};
use crate::configuration::{ConfigChange, ConfigItem, ItemFields};
use crate::consensus::{
    Entry, EntryPayload, LogPosition, Message, Millis, NodeId, Output, RaftConfig, Snapshot,
};
use crate::control_plane::event_journal::JournalEvent;
use crate::discovery::ShutdownAnnouncement;
use crate::protocol::ShareCeilings;
use crate::protocol::{LogCommand, NodeLocation, PeerMessage};
use crate::settings::Settings;
use crate::storage::WriteBatch;
use std::net::IpAddr;
use std::sync::Arc;

/// Interval between two heartbeats of a leader.
const HEARTBEAT_MS: Millis = 100;
/// Time without a leader after which a node starts an election; randomized up to twice this value. Longer than the
/// scheduling pauses of a small machine, which must not cause elections.
pub(super) const ELECTION_TIMEOUT_MS: Millis = 700;
/// Validity of the leader lease after the last contact with a majority. Shorter than the election timeout to allow for
/// clocks that run at different speeds.
const LEASE_MS: Millis = 600;
/// Duration of a write above which the disk counts as stalled.
const DISK_STALL_TIMEOUT_MS: Millis = 500;
/// Largest number of entries in one AppendEntries message.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Size of the chunks in which a leader sends a snapshot to another member.
const INSTALL_CHUNK_BYTES: usize = 128 * 1024;
/// Largest number of unacknowledged chunks of a snapshot that is being sent.
const MAX_INSTALL_CHUNKS_IN_FLIGHT: usize = 8;
/// Interval, in seconds, at which a node that hears no leader asks to join the core.
const JOIN_RETRY_INTERVAL_SECS: f64 = 0.3;
/// Size of the commands applied since the last snapshot above which the log is compacted, unless the last snapshot is
/// larger: then the snapshot's size is the threshold.
const COMPACTION_MIN_BYTES: usize = 256 * 1024;
/// Number of entries above which the log is compacted, whatever their size.
const COMPACTION_MIN_ENTRIES: usize = 512;
/// Factor by which both compaction thresholds rise while a snapshot is being sent to another node. The receiver then
/// finds the entries after that snapshot still in the log, and does not need the next snapshot as well.
const SENDING_COMPACTION_FACTOR: usize = 8;
/// Divisor of the last snapshot's size that gives the headroom allocated for the next one.
const SNAPSHOT_GROWTH_DIVISOR: usize = 8;

/// Estimated size in the log of a command without its variable part.
const COMMAND_OVERHEAD_BYTES: usize = 50;
/// Estimated size in the log of a configuration item without its label and body.
const ITEM_OVERHEAD_BYTES: usize = 60;
/// Estimated size in the log of an edge node in a record of ceilings, without its tenants.
const EDGE_CEILINGS_BYTES: usize = 40;
/// Estimated size in the log of one tenant's ceiling.
const TENANT_CEILING_BYTES: usize = 20;

/// Derives the parameters of the log from the settings.
pub(super) fn raft_config(settings: &Settings) -> RaftConfig {
    let tolerance = settings.tolerance;
    // Voters that don't respond are removed only while those that remain keep a majority after `losses` more failures.
    // This is a lower bound, since the loss of a zone or region may take several voters at once.
    let losses = tolerance.machines.max(tolerance.zones).max(tolerance.regions);
    RaftConfig {
        heartbeat_interval: HEARTBEAT_MS,
        election_timeout: ELECTION_TIMEOUT_MS,
        lease_duration: LEASE_MS,
        voter_removal_timeout: settings.envelope.resync_bound.as_millis() as u64 / 2,
        min_voters: (2 * losses + 1).max(3),
        max_entries_per_append: MAX_ENTRIES_PER_MESSAGE,
        snapshot_chunk_bytes: INSTALL_CHUNK_BYTES,
        max_chunks_in_flight: MAX_INSTALL_CHUNKS_IN_FLIGHT,
        disk_stall_timeout: DISK_STALL_TIMEOUT_MS,
    }
}

/// A write batch that contains writes of the log and is not synced yet.
struct PendingWrite {
    /// Number of the batch.
    batch: u64,
    /// The id under which the log expects completion ([`Raft::on_persisted`](crate::consensus::Raft::on_persisted)).
    raft_write: u64,
}

/// State of the driver: everything about the log that is not in the consensus state itself.
#[derive(Default)]
pub(super) struct LogDriver {
    pending_writes: Vec<PendingWrite>,
    /// Time of the last request to join, in seconds of the event clock.
    last_join_request_secs: f64,
    /// Estimated size of the commands applied since the last snapshot.
    applied_bytes: usize,
    /// Size of the last snapshot in bytes.
    snapshot_bytes: usize,
    /// The snapshot that is being encoded, if any.
    writer: Option<SnapshotWriter>,
    /// The leader's snapshot that is being received, if any.
    receiver: Option<SnapshotReceiver>,
    /// Position of the last proposed record of share ceilings, until it is applied or leadership changes.
    proposed_ceilings: Option<LogPosition>,
    /// Whether this node was the leader when leadership was last checked.
    was_leader: bool,
    /// The voters when they were last checked.
    voters: Vec<NodeId>,
}

impl LogDriver {
    /// Creates a driver; `snapshot_bytes` is the size of the snapshot on the disk.
    pub(super) fn new(snapshot_bytes: usize) -> Self {
        LogDriver { snapshot_bytes, ..LogDriver::default() }
    }

    /// Size of the last snapshot in bytes.
    pub(super) fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Whether a proposed record of share ceilings is not applied yet.
    pub(super) fn is_proposing_ceilings(&self) -> bool {
        self.proposed_ceilings.is_some()
    }
}

/// Estimated size of a command in the log, in bytes.
fn command_bytes(command: &LogCommand) -> usize {
    let variable_bytes: usize = match command {
        LogCommand::Configure(change) | LogCommand::ConfigureAndRecordRemovals(change) => {
            let item_bytes = |item: &ConfigItem| {
                ITEM_OVERHEAD_BYTES + item.label.len() + item.body.as_ref().map_or(0, ItemFields::encoded_len)
            };
            change.iter().map(item_bytes).sum()
        }
        LogCommand::Shares(ceilings) => {
            let edge_bytes = |tenants: usize| EDGE_CEILINGS_BYTES + TENANT_CEILING_BYTES * tenants;
            ceilings.edges.iter().map(|edge| edge_bytes(edge.ceilings.len())).sum()
        }
        LogCommand::Shutdown(announcement) => announcement.worker_id.len(),
    };
    variable_bytes + COMMAND_OVERHEAD_BYTES
}

impl CoreNode {
    /// Handles a consensus message. A message addressed to another member is dropped: it was meant for an earlier disk
    /// of this machine.
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
        // Consensus responses travel on connections that this process opens.
        self.learn_core_nodes(vec![NodeLocation::unplaced(from.ip)], out);
        let log_time = self.context.log_time(now);
        self.raft.receive(log_time, from, message);
        self.process_raft_outputs(now, out);
    }

    /// Handles a node's request to join the core. A follower forwards it to the leader, once.
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

    /// Announces to the other core nodes that this process ends, so that the leader may remove it from the voters
    /// without waiting for the voter removal timeout.
    pub(super) fn announce_leave(&self, out: &mut Vec<Effect>) {
        let id = self.raft.id();
        let leave = |ip| Effect::SendToPeer(ip, PeerMessage::Leave { id });
        out.extend(self.context.peers().into_iter().map(leave));
    }

    /// Handles the completion of a write batch: this batch and all earlier ones are synced.
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
        let may_ask_to_join = now - self.log_driver.last_join_request_secs >= JOIN_RETRY_INTERVAL_SECS;
        if self.raft.leader(log_time).is_none() && may_ask_to_join {
            self.log_driver.last_join_request_secs = now;
            let id = self.raft.id();
            let join = |ip| Effect::SendToPeer(ip, PeerMessage::Join { id, forwarded: false });
            out.extend(self.context.peers().into_iter().map(join));
        }
        self.process_raft_outputs(now, out);
        self.compact_log(now, out);
    }

    /// Compacts the log behind a snapshot of the applied state once the log exceeds a threshold. The snapshot is
    /// encoded over several ticks, and the next chunk only once the previous one is synced.
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

    /// Starts a snapshot as of the last applied entry if the log exceeds a compaction threshold.
    fn start_snapshot(&mut self) {
        let driver = &mut self.log_driver;
        let factor = if self.raft.is_sending_snapshot() { SENDING_COMPACTION_FACTOR } else { 1 };
        let entries = self.raft.entry_count();
        let is_long = driver.applied_bytes > factor * COMPACTION_MIN_BYTES.max(driver.snapshot_bytes)
            || entries > factor * COMPACTION_MIN_ENTRIES;
        let index = self.configuration.applied;
        let Some(term) = self.raft.term_at(index).filter(|_| is_long) else { return };
        let capacity = driver.snapshot_bytes + driver.snapshot_bytes / SNAPSHOT_GROWTH_DIVISOR;
        let state = SnapshotState {
            config: &self.configuration.state,
            ceilings: self.recorded_ceilings.as_ref(),
            shutdowns: &self.configuration.shutdowns,
        };
        driver.writer = Some(SnapshotWriter::new(LogPosition { index, term }, state, capacity));
        driver.applied_bytes = 0;
    }

    /// Decodes the part of a leader's snapshot that has arrived, and writes it to the disk in chunks before the
    /// snapshot is complete.
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

    /// Performs the outputs of the log. Must be called after every call that may have changed the log.
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
            LogCommand::Configure(change) => self.apply_change(position, &change, out),
            LogCommand::ConfigureAndRecordRemovals(change) => {
                self.configuration.state.record_removals();
                self.apply_change(position, &change, out);
            }
            LogCommand::Shares(ceilings) => self.apply_ceilings(position, ceilings),
            LogCommand::Shutdown(announcement) => self.apply_shutdown(position, &announcement, out),
        }
    }

    /// Applies a change of the configuration, and sends edge nodes what it altered.
    fn apply_change(&mut self, position: LogPosition, change: &ConfigChange, out: &mut Vec<Effect>) {
        let applied = self.configuration.apply(position, change, &self.raft, &mut self.context, out);
        let Some(applied) = applied else { return };
        let items: Vec<ConfigItem> = applied.items.iter().map(|i| (**i).clone()).collect();
        self.send_config_update(applied.previous, position.index, items, out);
    }

    /// Applies a worker's shutdown announcement: to the record, and to the worker if it is registered here.
    fn apply_shutdown(
        &mut self,
        position: LogPosition,
        announcement: &ShutdownAnnouncement,
        out: &mut Vec<Effect>,
    ) {
        self.configuration.apply_shutdown(position, announcement, &mut self.context, out);
        let known = self.membership.registry.get(&announcement.worker_id).cloned();
        self.merge_workers(self.context.now, known.into_iter().collect(), out);
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

    /// Replaces the state by a leader's snapshot. A snapshot that can't be decoded comes from another release; then the
    /// node can't continue, and `fatal_error` is set.
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
                self.configuration.shutdowns = decoded.shutdowns;
                self.configuration.applied = snapshot.index;
                self.recorded_ceilings = decoded.ceilings;
                self.log_driver.applied_bytes = 0;
                self.log_driver.snapshot_bytes = snapshot.data.len();
                self.resend_configuration(now, out);
                let workers = self.membership.registry.workers().cloned().collect();
                self.merge_workers(now, workers, out);
            }
            Err(error) => {
                tracing::error!(%error, "snapshot can't be decoded");
                self.fatal_error = Some(error);
            }
        }
    }

    /// Proposes a record of share ceilings. Shares rise to them only once the record is committed.
    pub(super) fn propose_ceilings(&mut self, now: f64, ceilings: ShareCeilings) {
        let log_time = self.context.log_time(now);
        let position = self.raft.propose(log_time, LogCommand::Shares(Arc::new(ceilings)));
        self.log_driver.proposed_ceilings = position;
    }
}

/// The name of a member in log lines and in the event journal: address/disk.
pub(super) fn member_name(id: &NodeId) -> String {
    format!("{}/{:x}", id.ip, id.disk)
}
