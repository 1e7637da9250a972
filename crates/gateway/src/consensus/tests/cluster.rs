//! A simulated cluster: machines with disks, and a network that delays, loses and reorders messages. Each
//! observation is checked against those before it.

use super::apply_writes;
use crate::consensus::*;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};

pub(super) const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval: 100,
    election_timeout: 600,
    lease_duration: 500,
    voter_removal_timeout: 2000,
    min_voters: 3,
    max_entries_per_append: 4,
    snapshot_chunk_bytes: 256,
    max_chunks_in_flight: 2,
    disk_stall_timeout: 400,
};

/// Upper bound for the initial voters.
const MAX_SEEDS: usize = 3;
/// Milliseconds of a simulation step.
const STEP: Millis = 5;
/// Milliseconds between two calls of [`Raft::tick`].
const TICK_INTERVAL: Millis = 50;
/// Milliseconds between two announcements of a machine that hears no leader.
const JOIN_INTERVAL: Millis = 300;
/// Milliseconds between two rounds of client work.
const CLIENT_INTERVAL: Millis = 20;
/// Milliseconds without new faults, within which a cluster must have recovered.
const RECOVERY_SPAN: Millis = 6000;
/// Upper bound for the commands that are proposed in one such span.
const MAX_PROPOSALS: u64 = 150;
/// The log is compacted above this many entries, unless a snapshot is being sent.
const COMPACT_ABOVE: usize = 20;
/// The log is compacted above this many entries in any case.
const COMPACT_ALWAYS_ABOVE: usize = 80;

pub(super) fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8 + 1))
}

/// A write batch that the disk has not finished.
struct DiskWrite {
    id: WriteId,
    done_at: Millis,
    writes: Vec<LogWrite<u64>>,
}

/// A command that the state machine applied.
#[derive(Clone, Serialize, Deserialize)]
struct AppliedCommand {
    index: Index,
    value: u64,
}

/// The entry that the first machine to apply an index has applied there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CommittedEntry {
    term: Term,
    /// `None` for an entry that is not a command.
    value: Option<u64>,
}

struct Machine {
    /// `None` while the process is down.
    raft: Option<Raft<u64>>,
    disk: u64,
    persisted: PersistedState<u64>,
    disk_queue: Vec<DiskWrite>,
    /// Number of the process's start.
    incarnation: u64,
    applied: Vec<AppliedCommand>,
    applied_values: HashSet<u64>,
    /// Number of confirmed values that an earlier read of this process has already found.
    checked: usize,
    disk_stalled_until: Millis,
    cut_off_until: Millis,
}

struct InFlightMessage {
    arrives_at: Millis,
    from: NodeId,
    to: NodeId,
    message: Message<u64>,
}

/// A command that was proposed and is not applied yet by the machine that proposed it.
struct Proposal {
    position: LogPosition,
    value: u64,
    machine: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ReadKey {
    machine: usize,
    incarnation: u64,
    read: ReadId,
}

/// The machines, the network between them, and the observations that the checks need.
pub(super) struct Cluster {
    now: Millis,
    pub rng: fastrand::Rng,
    machines: Vec<Machine>,
    network: Vec<InFlightMessage>,
    committed: HashMap<Index, CommittedEntry>,
    proposed: u64,
    /// Values whose commitment was confirmed to the client, oldest first.
    confirmed: Vec<u64>,
    proposals: Vec<Proposal>,
    /// Number of values that were confirmed when each read began.
    reads: HashMap<ReadKey, usize>,
    leaders: HashMap<Term, NodeId>,
}

fn encode(applied: &[AppliedCommand]) -> bytes::Bytes {
    rmp_serde::to_vec(applied).expect("encodes").into()
}

impl Cluster {
    /// `machine_count` machines, of which the first [`MAX_SEEDS`] are the initial voters.
    pub fn new(seed: u64, machine_count: usize) -> Self {
        let machine = || Machine {
            raft: None,
            disk: 0,
            persisted: PersistedState::default(),
            disk_queue: vec![],
            incarnation: 0,
            applied: vec![],
            applied_values: HashSet::new(),
            checked: 0,
            disk_stalled_until: 0,
            cut_off_until: 0,
        };
        let mut cluster = Cluster {
            now: 10_000,
            rng: fastrand::Rng::with_seed(seed),
            machines: (0..machine_count).map(|_| machine()).collect(),
            network: vec![],
            committed: HashMap::new(),
            proposed: 0,
            confirmed: vec![],
            proposals: vec![],
            reads: HashMap::new(),
            leaders: HashMap::new(),
        };
        for m in 0..machine_count {
            cluster.start(m, m < MAX_SEEDS.min(machine_count));
        }
        cluster
    }

    /// Starts the process of a machine from its disk; one with an empty disk becomes a new member.
    fn start(&mut self, m: usize, bootstraps: bool) {
        let machine_count = self.machines.len();
        let machine = &mut self.machines[m];
        machine.incarnation += 1;
        if machine.persisted == PersistedState::default() && !bootstraps {
            machine.disk = self.rng.u64(1..);
        }
        let id = NodeId { ip: ip(m), disk: machine.disk };
        let mut raft = Raft::new(self.now, id, machine.persisted.clone(), CONFIG);
        machine.applied = match &machine.persisted.snapshot {
            Some(s) => rmp_serde::from_slice(&s.data).expect("decodes"),
            None => vec![],
        };
        machine.applied_values = machine.applied.iter().map(|a| a.value).collect();
        machine.checked = 0;
        if bootstraps {
            let voters = (0..MAX_SEEDS.min(machine_count)).map(|m| NodeId { ip: ip(m), disk: 0 }).collect();
            raft.bootstrap(self.now, voters);
        }
        machine.raft = Some(raft);
        self.perform_outputs(m);
    }

    /// Ends a process. `loses_power`: only a random part of the unfinished writes reaches the disk.
    fn kill(&mut self, m: usize, loses_power: bool, loses_disk: bool) {
        let machine = &mut self.machines[m];
        machine.raft = None;
        for write in std::mem::take(&mut machine.disk_queue) {
            if loses_power && self.rng.bool() {
                break;
            }
            apply_writes(&mut machine.persisted, write.writes);
        }
        machine.disk_stalled_until = 0;
        if loses_disk {
            machine.persisted = PersistedState::default();
        }
    }

    fn perform_outputs(&mut self, m: usize) {
        let Some(raft) = &mut self.machines[m].raft else { return };
        if raft.is_leader() {
            let first = self.leaders.entry(raft.term()).or_insert(raft.id());
            assert_eq!(*first, raft.id(), "two leaders of term {}", raft.term());
        }
        for output in raft.take_outputs() {
            match output {
                Output::Persist { id, writes } => self.enqueue_write(m, id, writes),
                Output::Send { to, message } => self.send(m, to, message),
                Output::Apply(entry) => self.apply(m, entry),
                Output::InstallSnapshot(snapshot) => self.install_snapshot(m, &snapshot),
                Output::ReadReady(read) => self.finish_read(m, read),
            }
        }
    }

    fn enqueue_write(&mut self, m: usize, id: WriteId, writes: Vec<LogWrite<u64>>) {
        let machine = &mut self.machines[m];
        let done_at = self.now.max(machine.disk_stalled_until) + self.rng.u64(1..12);
        let done_at = machine.disk_queue.last().map_or(done_at, |w| done_at.max(w.done_at));
        machine.disk_queue.push(DiskWrite { id, done_at, writes });
    }

    /// One message of 256 is lost.
    fn send(&mut self, m: usize, to: NodeId, message: Message<u64>) {
        if self.rng.u8(..) > 0 {
            let arrives_at = self.now + self.rng.u64(1..8);
            let from = self.machines[m].raft.as_ref().expect("runs").id();
            self.network.push(InFlightMessage { arrives_at, from, to, message });
        }
    }

    fn apply(&mut self, m: usize, entry: Entry<u64>) {
        let value = match entry.payload {
            EntryPayload::Command(value) => Some(value),
            _ => None,
        };
        let applied = CommittedEntry { term: entry.term, value };
        let first = *self.committed.entry(entry.index).or_insert(applied);
        assert_eq!(first, applied, "two entries at {}", entry.index);
        if let Some(value) = value {
            let machine = &mut self.machines[m];
            assert!(
                machine.applied.last().is_none_or(|a| a.index < entry.index),
                "entry {} applied out of order",
                entry.index
            );
            machine.applied.push(AppliedCommand { index: entry.index, value });
            machine.applied_values.insert(value);
            let position = LogPosition { index: entry.index, term: entry.term };
            let proposal = self.proposals.iter().position(|p| p.position == position && p.machine == m);
            if let Some(proposal) = proposal {
                self.confirmed.push(self.proposals.remove(proposal).value);
            }
        }
    }

    fn install_snapshot(&mut self, m: usize, snapshot: &Snapshot) {
        let commands: Vec<AppliedCommand> = rmp_serde::from_slice(&snapshot.data).expect("decodes");
        for AppliedCommand { index, value } in &commands {
            if let Some(CommittedEntry { value: Some(committed), .. }) = self.committed.get(index) {
                assert_eq!(committed, value, "snapshot differs at {index}");
            }
        }
        assert!(commands.len() >= self.machines[m].applied.len(), "a snapshot replaces a newer state");
        self.machines[m].applied_values = commands.iter().map(|a| a.value).collect();
        self.machines[m].applied = commands;
    }

    /// A read must see all that was confirmed before it began.
    fn finish_read(&mut self, m: usize, read: ReadId) {
        let incarnation = self.machines[m].incarnation;
        if let Some(confirmed) = self.reads.remove(&ReadKey { machine: m, incarnation, read }) {
            let machine = &mut self.machines[m];
            let unchecked = &self.confirmed[machine.checked.min(confirmed)..confirmed];
            let missing = unchecked.iter().find(|v| !machine.applied_values.contains(v));
            assert!(
                missing.is_none(),
                "a read does not see value {missing:?}, which was confirmed before the read"
            );
            machine.checked = machine.checked.max(confirmed);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for m in 0..self.machines.len() {
            self.finish_writes(m);
            self.tick(m);
        }
        self.deliver_messages();
    }

    fn finish_writes(&mut self, m: usize) {
        let now = self.now;
        let is_due = |machine: &Machine| {
            machine.disk_queue.first().is_some_and(|w| w.done_at <= now) && now >= machine.disk_stalled_until
        };
        while is_due(&self.machines[m]) {
            let write = self.machines[m].disk_queue.remove(0);
            apply_writes(&mut self.machines[m].persisted, write.writes);
            if let Some(raft) = &mut self.machines[m].raft {
                raft.on_persisted(now, write.id);
            }
            self.perform_outputs(m);
        }
    }

    fn tick(&mut self, m: usize) {
        let now = self.now;
        let Some(raft) = &mut self.machines[m].raft else { return };
        if now.is_multiple_of(TICK_INTERVAL) {
            raft.tick(now);
        }
        if now.is_multiple_of(JOIN_INTERVAL) && raft.leader(now).is_none() {
            let id = raft.id();
            self.announce(m, id);
        }
        self.perform_outputs(m);
    }

    /// All other machines that are reached hear that this one is there.
    fn announce(&mut self, m: usize, id: NodeId) {
        let now = self.now;
        let is_cut_off = self.machines[m].cut_off_until > now;
        for n in (0..self.machines.len()).filter(|n| *n != m && !is_cut_off) {
            let is_reached = self.machines[n].cut_off_until <= now;
            if let Some(raft) = self.machines[n].raft.as_mut().filter(|_| is_reached) {
                raft.join(now, id);
            }
            self.perform_outputs(n);
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let due: Vec<InFlightMessage>;
        (due, self.network) =
            std::mem::take(&mut self.network).into_iter().partition(|message| message.arrives_at <= now);
        for InFlightMessage { from, to, message, .. } in due {
            let machine_of = |id: NodeId| (0..self.machines.len()).find(|m| ip(*m) == id.ip);
            let (Some(sender), Some(receiver)) = (machine_of(from), machine_of(to)) else { continue };
            if self.machines[sender].cut_off_until > now || self.machines[receiver].cut_off_until > now {
                continue;
            }
            let Some(raft) = &mut self.machines[receiver].raft else { continue };
            if raft.id() == to {
                raft.receive(now, from, message);
            }
            self.perform_outputs(receiver);
        }
    }

    /// A client proposes a command to a random machine and reads from it; the machine compacts its log.
    fn client_work(&mut self) {
        let m = self.rng.usize(0..self.machines.len());
        let (now, confirmed) = (self.now, self.confirmed.len());
        let incarnation = self.machines[m].incarnation;
        let Some(raft) = &mut self.machines[m].raft else { return };
        if raft.is_leader() && self.proposed < MAX_PROPOSALS {
            self.proposed += 1;
            let value = self.proposed;
            if let Some(position) = raft.propose(now, value) {
                self.proposals.push(Proposal { position, value, machine: m });
            }
            if let Some(read) = raft.read_index(now) {
                self.reads.insert(ReadKey { machine: m, incarnation, read }, confirmed);
            }
        }
        let entries = raft.entry_count();
        if entries > COMPACT_ALWAYS_ABOVE || entries > COMPACT_ABOVE && !raft.is_sending_snapshot() {
            let data = encode(&self.machines[m].applied);
            if let Some(raft) = &mut self.machines[m].raft {
                raft.compact_applied(now, data);
            }
        }
        self.perform_outputs(m);
        let running = self.machines.iter().filter_map(|machine| machine.raft.as_ref());
        assert!(
            running.filter(|raft| raft.holds_lease(now)).count() <= 1,
            "two members have a lease at {now} ms"
        );
    }

    fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.step();
            if self.now.is_multiple_of(CLIENT_INTERVAL) {
                self.client_work();
            }
        }
    }

    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    /// Without new faults the cluster recovers: it commits, all machines vote, members that are gone don't,
    /// and nothing that was confirmed is lost.
    pub fn assert_recovers(&mut self, context: &str) {
        let (at, confirmed) = (self.now, self.confirmed.len());
        self.proposed = 0;
        self.run_until(at + RECOVERY_SPAN);
        let state = || self.describe();
        assert!(
            self.confirmed.len() > confirmed,
            "no proposal confirmed within {RECOVERY_SPAN} ms after {at} ms, {context}: {}",
            state()
        );
        let leading = |m: &Machine| m.raft.as_ref().is_some_and(|raft| raft.is_leader());
        let leader = self.machines.iter().find(|m| leading(m)).expect("leads");
        let voters = leader.raft.as_ref().expect("leads").voters();
        let live: Vec<NodeId> =
            self.machines.iter().filter_map(|m| m.raft.as_ref()).map(|r| r.id()).collect();
        let gone = voters.iter().filter(|id| !live.contains(id)).count();
        assert!(
            live.iter().all(|id| voters.contains(id)),
            "a running member is not a voter {context}: {}",
            state()
        );
        assert!(
            gone == 0 || voters.len() <= CONFIG.min_voters,
            "{gone} lost members are still voters {context}: {}",
            state()
        );
        let applied: HashSet<u64> = leader.applied.iter().map(|a| a.value).collect();
        assert!(self.confirmed.iter().all(|v| applied.contains(v)), "a confirmed value is lost {context}");
    }

    fn describe(&self) -> String {
        let describe = |m: &Machine| match &m.raft {
            Some(r) => format!(
                "[{}/{:x} t{} c{} {:?} voters {:?} peers {:?}]\n",
                r.id().ip,
                r.id().disk & 0xffff,
                r.term(),
                r.commit_index(),
                r.is_leader(),
                r.voters().iter().map(|m| (m.ip, m.disk & 0xffff)).collect::<Vec<_>>(),
                r.peer_statuses(self.now)
            ),
            None => "down".into(),
        };
        self.machines.iter().map(describe).collect()
    }

    // Faults. Each ends with all processes running.

    /// A machine loses power, and perhaps its disk.
    pub fn lose_power(&mut self, m: usize, span: Millis) {
        let loses_disk = self.machines.len() > 1 && self.rng.bool();
        self.kill(m, true, loses_disk);
        self.run_for(span);
        self.start(m, false);
    }

    /// All machines lose power, and one of them, if any, its disk.
    pub fn lose_power_everywhere(&mut self, lost_disk: Option<usize>, span: Millis) {
        for m in 0..self.machines.len() {
            self.kill(m, true, lost_disk == Some(m));
        }
        self.run_for(span);
        for m in 0..self.machines.len() {
            self.start(m, false);
        }
    }

    fn begin_cut_off(&mut self, m: usize, span: Millis) {
        self.machines[m].cut_off_until = self.now + span;
    }

    /// No message reaches a machine or leaves it.
    pub fn cut_off(&mut self, m: usize, span: Millis) {
        self.begin_cut_off(m, span);
        self.run_for(span);
    }

    /// No write of a machine finishes.
    pub fn stall_disk(&mut self, m: usize, span: Millis) {
        self.machines[m].disk_stalled_until = self.now + span;
        self.run_for(span);
    }

    /// The leader, if there is one, hands the leadership over.
    pub fn transfer_leadership(&mut self, span: Millis) {
        let now = self.now;
        let mut running = self.machines.iter_mut().filter_map(|m| m.raft.as_mut());
        if let Some(leader) = running.find(|raft| raft.is_leader()) {
            leader.transfer_leadership(now);
        }
        self.run_for(span);
    }

    /// A machine is cut off, and a process is killed meanwhile.
    pub fn cut_off_and_kill(&mut self, m: usize, span: Millis) {
        self.begin_cut_off(m, span);
        self.run_for(span / 2);
        let killed = self.rng.usize(0..self.machines.len());
        self.kill(killed, false, false);
        self.run_for(span / 2);
        self.start(killed, false);
    }
}
