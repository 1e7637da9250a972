//! Injected faults that break liveness or stability, not safety: each is injected, and its test must notice.
//! The model finds the others (`model/injected_fault_tests.rs`).

use super::tests::apply_writes;
use super::*;
use std::net::{IpAddr, Ipv4Addr};

const CONFIG: RaftConfig = RaftConfig {
    heartbeat_interval: 100,
    election_timeout: 700,
    lease_duration: 600,
    voter_removal_timeout: 20_000,
    min_voters: 3,
    max_entries_per_append: 4,
    snapshot_chunk_bytes: 256,
    max_chunks_in_flight: 2,
    disk_stall_timeout: 500,
};

/// Milliseconds of a simulation step.
const STEP: Millis = 20;

fn id(n: usize) -> NodeId {
    NodeId { ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8)), disk: 0 }
}

/// Three members whose messages arrive and whose writes finish at once, except for members that are cut off.
struct ThreeNodes {
    now: Millis,
    rafts: Vec<Raft<u64>>,
    cut_off: Vec<usize>,
    /// The members that were sent a `TimeoutNow`.
    timeout_now_sent_to: Vec<NodeId>,
}

impl ThreeNodes {
    /// With a leader elected.
    fn new(fault: Option<InjectedFault>) -> Self {
        let voters: VoterSet = (0..3).map(id).collect();
        let raft = |n| {
            let mut persisted = PersistedState::default();
            let first = Entry { term: 0, index: 1, payload: EntryPayload::ConfChange(voters.clone()) };
            apply_writes(&mut persisted, vec![LogWrite::Append(vec![first])]);
            let mut raft = Raft::new(1_000, id(n), persisted, CONFIG);
            raft.inject_fault(fault);
            raft
        };
        let rafts = (0..3).map(raft).collect();
        let mut nodes =
            ThreeNodes { now: 1_000, rafts, cut_off: Vec::new(), timeout_now_sent_to: Vec::new() };
        nodes.run_for(5_000);
        nodes
    }

    fn run_for(&mut self, span: Millis) {
        for _ in 0..span / STEP {
            self.now += STEP;
            for n in 0..3 {
                self.rafts[n].tick(self.now);
            }
            self.perform_outputs();
        }
    }

    /// Performs all outputs, and those that follow from them.
    fn perform_outputs(&mut self) {
        for _ in 0..200 {
            let outputs: Vec<(usize, Output<u64>)> =
                (0..3).flat_map(|n| self.rafts[n].take_outputs().into_iter().map(move |o| (n, o))).collect();
            if outputs.is_empty() {
                return;
            }
            for (n, output) in outputs {
                match output {
                    Output::Persist { id: write, .. } => self.rafts[n].on_persisted(self.now, write),
                    Output::Send { to, message } => self.deliver(n, to, message),
                    _ => {}
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: NodeId, message: Message<u64>) {
        if matches!(message, Message::TimeoutNow { .. }) {
            self.timeout_now_sent_to.push(to);
        }
        let receiver = (0..3).find(|m| id(*m) == to).expect("one of three");
        if !self.cut_off.contains(&from) && !self.cut_off.contains(&receiver) {
            self.rafts[receiver].receive(self.now, id(from), message);
        }
    }

    fn leader(&self) -> usize {
        let leaders = (0..3).filter(|n| self.rafts[*n].is_leader());
        leaders.max_by_key(|n| self.rafts[*n].term()).expect("a leader")
    }
}

/// Whether leader and term outlast the return of a member that was cut off and tried to be elected.
fn leader_survives_a_returning_member(fault: Option<InjectedFault>) -> bool {
    let mut nodes = ThreeNodes::new(fault);
    let (leader, term) = (nodes.leader(), nodes.rafts[nodes.leader()].term());
    nodes.cut_off = vec![(leader + 1) % 3];
    nodes.run_for(6_000);
    nodes.cut_off.clear();
    nodes.run_for(2_000);
    nodes.rafts[leader].is_leader() && nodes.rafts[leader].term() == term
}

#[test]
fn without_pre_vote_a_returning_member_deposes_the_leader() {
    assert!(leader_survives_a_returning_member(None));
    assert!(!leader_survives_a_returning_member(Some(InjectedFault::SkipPreVote)));
}

/// Whether a leader that hears nobody has stepped down once others may be elected.
fn isolated_leader_steps_down(fault: Option<InjectedFault>) -> bool {
    let mut nodes = ThreeNodes::new(fault);
    let leader = nodes.leader();
    nodes.cut_off = vec![leader];
    nodes.run_for(CONFIG.election_timeout + CONFIG.heartbeat_interval);
    !nodes.rafts[leader].is_leader()
}

#[test]
fn without_check_quorum_an_isolated_leader_does_not_step_down() {
    assert!(isolated_leader_steps_down(None));
    assert!(!isolated_leader_steps_down(Some(InjectedFault::SkipCheckQuorum)));
}

/// Whether a leadership transfer waits until its target has the complete log, and then succeeds.
fn transfer_waits_for_the_target(fault: Option<InjectedFault>) -> bool {
    let mut nodes = ThreeNodes::new(fault);
    let leader = nodes.leader();
    nodes.cut_off = vec![(leader + 1) % 3, (leader + 2) % 3];
    let now = nodes.now;
    let position = nodes.rafts[leader].propose(now, 7).expect("leads");
    nodes.perform_outputs();
    nodes.rafts[leader].transfer_leadership(now);
    nodes.perform_outputs();
    if !nodes.timeout_now_sent_to.is_empty() {
        return false;
    }
    nodes.cut_off.clear();
    nodes.run_for(400);
    let next = nodes.leader();
    next != leader && nodes.rafts[next].last_index() >= position.index
}

#[test]
fn leadership_is_transferred_only_to_a_member_with_the_complete_log() {
    assert!(transfer_waits_for_the_target(None));
    assert!(!transfer_waits_for_the_target(Some(InjectedFault::TransferToLaggingFollower)));
}
