//! The replicated log as a state space for the model checker `stateright`: the very code of [`Raft`], with
//! disks, unfinished writes and the messages in flight.
//!
//! Time. Clocks stand still at [`NOW`]; instead of time passing, an [`Action::Tick`] makes all that is
//! remembered older ([`time`]). So no field grows, and the state space is finite. Without clocks
//! (`slow_clock` is `None`) nothing is bound by time: any machine may campaign at any moment, which is more
//! than can happen.
//!
//! | file | concern |
//! | --- | --- |
//! | `actions`, `outputs`, `network` | one step: an action, what the machine puts out, the messages in flight |
//! | `time` | keeps times, sequence numbers and write numbers from growing |
//! | `invariants` | the invariants and their checks |
//! | `state_space` | which actions are possible; the properties |
//! | `script`, `starts` | states to start a search from, reached by given steps |
//! | `search`, `random_walk` | the two ways through the state space |
//! | `*_tests` | the searches, the walks, the injected faults, repairs of lost disks |

mod actions;
mod injected_fault_tests;
mod invariants;
mod network;
mod outputs;
mod random_walk;
mod random_walk_tests;
mod repair_tests;
mod script;
mod search;
mod search_tests;
mod starts;
mod state_space;
mod time;

use self::invariants::{CommittedEntry, Violation};
use super::*;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

/// The time of every clock, in ticks.
const NOW: Millis = 1000;
/// The election timeout, in ticks. The lease is shorter by what a clock may be slower.
const ELECTION_TIMEOUT: Millis = 3;
/// A budget that is never used up.
const UNBOUNDED: u8 = u8::MAX;
/// All machines of the largest cluster.
const ALL_MACHINES: &[usize] = &[0, 1, 2, 3, 4];

/// How often each kind of action may happen; [`UNBOUNDED`]: any number of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    proposals: u8,
    crashes: u8,
    disk_losses: u8,
    broadcasts: u8,
    reads: u8,
    compactions: u8,
    transfers: u8,
    duplicates: u8,
    joins: u8,
    conf_changes: u8,
}

impl Budget {
    const NONE: Budget = Budget {
        proposals: 0,
        crashes: 0,
        disk_losses: 0,
        broadcasts: 0,
        reads: 0,
        compactions: 0,
        transfers: 0,
        duplicates: 0,
        joins: 0,
        conf_changes: 0,
    };

    /// For scripted steps. Without duplicates: a message that is delivered leaves the network.
    const SCRIPT: Budget = Budget {
        proposals: UNBOUNDED,
        crashes: UNBOUNDED,
        disk_losses: UNBOUNDED,
        broadcasts: UNBOUNDED,
        reads: UNBOUNDED,
        compactions: UNBOUNDED,
        transfers: UNBOUNDED,
        duplicates: 0,
        joins: UNBOUNDED,
        conf_changes: UNBOUNDED,
    };
}

/// A write batch that the disk has not finished.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiskWrite {
    id: WriteId,
    writes: Vec<LogWrite<u8>>,
}

/// A machine. Its process always runs: one that is down does nothing and hears nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    raft: Raft<u8>,
    persisted: PersistedState<u8>,
    disk_queue: VecDeque<DiskWrite>,
    applied_index: Index,
    /// The commands that were applied.
    applied: Vec<u8>,
    /// The highest index that was committed anywhere when each read began.
    reads: BTreeMap<ReadId, Index>,
    has_installed_snapshot: bool,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: Message<u8>,
}

/// A state of the cluster, and the observations on the path to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterState {
    machines: Vec<Arc<Machine>>,
    /// Ordered by sender and receiver; of one such pair, oldest first.
    network: Vec<Arc<Envelope>>,
    committed: Arc<BTreeMap<Index, CommittedEntry>>,
    leaders: Arc<BTreeMap<Term, NodeId>>,
    budget: Budget,
    /// Ticks modulo 3: the slow clock misses one of three.
    clock_phase: u8,
    violation: Option<Violation>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// Deliver the message at this position of the network.
    Deliver(usize),
    /// Deliver the message at this position, and keep it in flight.
    DeliverDuplicate(usize),
    FinishWrite(usize),
    Campaign(usize),
    Broadcast(usize),
    Propose(usize),
    Read(usize),
    Crash {
        machine: usize,
        /// Number of the unfinished writes that reach the disk.
        kept_writes: usize,
    },
    LoseDisk(usize),
    /// A machine receives the announcement of another one, with this disk.
    Join {
        machine: usize,
        joining: usize,
        disk: u64,
    },
    /// A leader changes the configuration if a change is due, while another machine is silent.
    ChangeConfiguration {
        leader: usize,
        silent: Option<usize>,
    },
    Compact(usize),
    Transfer(usize),
    Tick,
}

/// The cluster and the bounds of a search.
#[derive(Clone, Debug)]
struct ClusterModel {
    machine_count: usize,
    /// Number of the machines that are initial voters.
    seed_count: usize,
    min_voters: usize,
    /// Highest term in which a machine campaigns.
    max_term: Term,
    /// Highest index at which a leader appends.
    max_index: Index,
    /// Maximum number of messages in flight from one machine to another; beyond it the oldest is lost.
    max_in_flight: usize,
    budget: Budget,
    /// With clocks: the machine whose clock runs at two thirds of the others' speed.
    slow_clock: Option<usize>,
    /// The lease duration, in ticks.
    lease: Millis,
    injected_fault: Option<InjectedFault>,
    /// Whether a message that is sent before what it claims is on disk is a violation of its own. Else only
    /// what comes of it is one.
    checks_durability: bool,
    /// The machines that may campaign.
    candidates: &'static [usize],
    /// Writes finish at once. A write that takes long is then covered by a message that takes long.
    writes_finish_at_once: bool,
    /// Where to start; `None`: from a new cluster.
    start: Option<ClusterState>,
}

impl Default for ClusterModel {
    fn default() -> Self {
        ClusterModel {
            machine_count: 3,
            seed_count: 3,
            min_voters: 3,
            max_term: 2,
            max_index: 9,
            max_in_flight: 1,
            budget: Budget::default(),
            slow_clock: None,
            lease: 2,
            injected_fault: None,
            checks_durability: true,
            candidates: ALL_MACHINES,
            writes_finish_at_once: false,
            start: None,
        }
    }
}

fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8))
}

/// The machine that a member is, or was, on.
fn machine_of(id: NodeId) -> usize {
    match id.ip {
        IpAddr::V4(ip) => ip.octets()[3] as usize,
        IpAddr::V6(_) => 0,
    }
}

impl ClusterModel {
    fn raft_config(&self) -> RaftConfig {
        RaftConfig {
            heartbeat_interval: 1,
            election_timeout: ELECTION_TIMEOUT,
            lease_duration: self.lease,
            voter_removal_timeout: ELECTION_TIMEOUT,
            min_voters: self.min_voters,
            max_entries_per_append: 1,
            snapshot_chunk_bytes: 1,
            max_chunks_in_flight: 1,
            disk_stall_timeout: NOW,
        }
    }

    /// Whether the numbers of broadcasts matter. Else they are all 0, which leaves fewer states.
    fn has_heartbeat_seqs(&self) -> bool {
        self.slow_clock.is_some() || self.budget.reads > 0
    }

    /// A new cluster.
    fn new_cluster(&self) -> ClusterState {
        let voters: VoterSet = (0..self.seed_count).map(|m| NodeId { ip: ip(m), disk: 0 }).collect();
        let machine = |m: usize| {
            let id = NodeId { ip: ip(m), disk: u64::from(m >= self.seed_count) };
            let mut machine = self.start_process(id, PersistedState::default(), false);
            if m < self.seed_count {
                machine.raft.bootstrap(NOW, voters.clone());
            }
            Arc::new(machine)
        };
        let mut state = ClusterState {
            machines: (0..self.machine_count).map(machine).collect(),
            network: Vec::new(),
            committed: Arc::default(),
            leaders: Arc::default(),
            budget: self.budget,
            clock_phase: 0,
            violation: None,
        };
        for m in 0..self.machine_count {
            self.perform_outputs(&mut state, m);
            if m < self.seed_count {
                state = self.step(&state, &Action::FinishWrite(m)).unwrap_or(state);
            }
        }
        state
    }

    fn start_process(&self, id: NodeId, persisted: PersistedState<u8>, is_restart: bool) -> Machine {
        let mut raft = Raft::new(NOW, id, persisted.clone(), self.raft_config());
        raft.inject_fault(self.injected_fault);
        if !(is_restart && self.slow_clock.is_some()) {
            // The start is long past, so it no longer keeps the machine from voting.
            raft.started_at = 0;
        }
        let snapshot = persisted.snapshot.as_ref();
        let (applied_index, applied) = snapshot.map_or((0, Vec::new()), |s| (s.index, s.data.to_vec()));
        Machine {
            raft,
            persisted,
            disk_queue: VecDeque::new(),
            applied_index,
            applied,
            reads: BTreeMap::new(),
            has_installed_snapshot: false,
        }
    }

    /// The state after an action; `None` if the action is not possible.
    fn step(&self, state: &ClusterState, action: &Action) -> Option<ClusterState> {
        let mut state = state.clone();
        let m = self.perform(&mut state, action)?;
        self.perform_outputs(&mut state, m);
        while self.writes_finish_at_once && !state.machines[m].disk_queue.is_empty() {
            self.perform(&mut state, &Action::FinishWrite(m))?;
            self.perform_outputs(&mut state, m);
        }
        Some(state)
    }
}
