//! Faults that harm nothing that is kept, but who leads and when: each is put in, and its test must see it. The others are
//! found by the model (`model_checks`).

use super::tests::land;
use super::*;
use std::net::{IpAddr, Ipv4Addr};

const TUNING: RaftConfig = RaftConfig {
    heartbeat: 100,
    election: 700,
    lease: 600,
    out_after: 20_000,
    least: 3,
    batch: 4,
    piece: 256,
    window: 2,
    hang: 500,
};

fn id(n: usize) -> NodeId {
    NodeId { ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8)), disk: 0 }
}

/// Three machines whose words come at once, but for those that are cut off.
struct Three {
    now: Millis,
    rafts: Vec<Raft<u64>>,
    cut: Vec<usize>,
    /// Who was told to stand.
    told: Vec<NodeId>,
}

impl Three {
    /// With a leader.
    fn new(mutant: Option<InjectedFault>) -> Self {
        let members: Members = (0..3).map(id).collect();
        let raft = |n| {
            let mut held = PersistedState::default();
            let first = Entry { term: 0, index: 1, body: EntryPayload::Members(members.clone()) };
            land(&mut held, vec![LogWrite::Append(vec![first])]);
            let mut raft = Raft::new(1_000, id(n), held, TUNING);
            raft.break_by(mutant);
            raft
        };
        let mut three =
            Three { now: 1_000, rafts: (0..3).map(raft).collect(), cut: Vec::new(), told: Vec::new() };
        three.run(5_000);
        three
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span / 20 {
            self.now += 20;
            for n in 0..3 {
                self.rafts[n].tick(self.now);
            }
            self.carry();
        }
    }

    /// All that is said comes, and is written.
    fn carry(&mut self) {
        for _ in 0..200 {
            let said: Vec<(usize, Output<u64>)> =
                (0..3).flat_map(|n| self.rafts[n].take().into_iter().map(move |o| (n, o))).collect();
            if said.is_empty() {
                return;
            }
            for (n, output) in said {
                match output {
                    Output::Persist(number, _) => self.rafts[n].persisted(self.now, number),
                    Output::Send(to, message) => {
                        if matches!(message, Message::TimeoutNow { .. }) {
                            self.told.push(to);
                        }
                        let at = (0..3).find(|m| id(*m) == to).expect("one of three");
                        if !self.cut.contains(&n) && !self.cut.contains(&at) {
                            self.rafts[at].receive(self.now, id(n), message);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn leader(&self) -> usize {
        (0..3).filter(|n| self.rafts[*n].leads()).max_by_key(|n| self.rafts[*n].term()).expect("a leader")
    }
}

/// A machine that comes back after it stood in vain for long disturbs nobody.
fn who_comes_back_disturbs_nobody(mutant: Option<InjectedFault>) -> bool {
    let mut three = Three::new(mutant);
    let (leader, term) = (three.leader(), three.rafts[three.leader()].term());
    three.cut = vec![(leader + 1) % 3];
    three.run(6_000);
    three.cut.clear();
    three.run(2_000);
    three.rafts[leader].leads() && three.rafts[leader].term() == term
}

#[test]
fn without_asking_around_first_who_comes_back_deposes_the_leader() {
    assert!(who_comes_back_disturbs_nobody(None));
    assert!(!who_comes_back_disturbs_nobody(Some(InjectedFault::NoPreVote)));
}

/// A leader that hears nobody leads no more once others may.
fn who_hears_nobody_leads_no_more(mutant: Option<InjectedFault>) -> bool {
    let mut three = Three::new(mutant);
    let leader = three.leader();
    three.cut = vec![leader];
    three.run(TUNING.election + TUNING.heartbeat);
    !three.rafts[leader].leads()
}

#[test]
fn a_leader_that_hears_nobody_steps_down() {
    assert!(who_hears_nobody_leads_no_more(None));
    assert!(!who_hears_nobody_leads_no_more(Some(InjectedFault::NeverStepsDown)));
}

/// Nobody is told to stand before it holds all; then the lead goes over, with all.
fn hands_over_to_who_is_up_to_date(mutant: Option<InjectedFault>) -> bool {
    let mut three = Three::new(mutant);
    let leader = three.leader();
    three.cut = vec![(leader + 1) % 3, (leader + 2) % 3];
    let now = three.now;
    let (index, _) = three.rafts[leader].propose(now, 7).expect("leads");
    three.carry();
    three.rafts[leader].transfer(now);
    three.carry();
    if !three.told.is_empty() {
        return false;
    }
    three.cut.clear();
    three.run(400);
    let next = three.leader();
    next != leader && three.rafts[next].last() >= index
}

#[test]
fn the_lead_is_handed_to_who_is_up_to_date_only() {
    assert!(hands_over_to_who_is_up_to_date(None));
    assert!(!hands_over_to_who_is_up_to_date(Some(InjectedFault::EarlyHandOver)));
}
