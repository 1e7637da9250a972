//! Many lives of a small core, by seeds: messages late, lost and out of order, disks that hang, processes that die, disks that
//! are lost, machines that come and go. What is committed is the same everywhere and for ever.

use super::*;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};

const TUNING: RaftConfig = RaftConfig {
    heartbeat: 100,
    election: 600,
    lease: 500,
    out_after: 2000,
    least: 3,
    batch: 4,
    piece: 256,
    window: 2,
    hang: 400,
};

fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8 + 1))
}

struct Machine {
    raft: Option<Raft<u64>>,
    disk: u64,
    held: PersistedState<u64>,
    writing: Vec<(u64, Millis, Vec<LogWrite<u64>>)>,
    life: u64,
    applied: Vec<(Index, u64)>,
    seen: HashSet<u64>,
    checked: usize,
    hung: Millis,
    cut: Millis,
}

pub(super) fn land<C: Clone>(held: &mut PersistedState<C>, writes: Vec<LogWrite<C>>) {
    for write in writes {
        match write {
            LogWrite::Hard(term, vote) => (held.term, held.vote) = (term, vote),
            LogWrite::Append(entries) => {
                held.log.retain(|e| e.index < entries[0].index);
                held.log.extend(entries);
            }
            LogWrite::Snapshot { snapshot, whole } => {
                held.log.retain(|e| !whole && e.index > snapshot.index);
                held.snapshot = Some(snapshot);
            }
        }
    }
}

struct World {
    now: Millis,
    rng: fastrand::Rng,
    machines: Vec<Machine>,
    wire: Vec<(Millis, NodeId, NodeId, Message<u64>)>,
    agreed: HashMap<Index, (Term, Option<u64>)>,
    proposed: u64,
    confirmed: Vec<u64>,
    pending: Vec<(Index, Term, u64, usize)>,
    reads: HashMap<(usize, u64, u64), usize>,
    leaders: HashMap<Term, NodeId>,
    most: (usize, usize),
}

fn encode(applied: &[(Index, u64)]) -> bytes::Bytes {
    rmp_serde::to_vec(applied).expect("encodes").into()
}

impl World {
    fn new(seed: u64, n: usize) -> Self {
        let machine = || Machine {
            raft: None,
            disk: 0,
            held: PersistedState::default(),
            writing: vec![],
            life: 0,
            applied: vec![],
            seen: HashSet::new(),
            checked: 0,
            hung: 0,
            cut: 0,
        };
        let mut world = World {
            now: 10_000,
            rng: fastrand::Rng::with_seed(seed),
            machines: (0..n).map(|_| machine()).collect(),
            wire: vec![],
            agreed: HashMap::new(),
            proposed: 0,
            confirmed: vec![],
            pending: vec![],
            reads: HashMap::new(),
            leaders: HashMap::new(),
            most: (0, 0),
        };
        for m in 0..n {
            world.boot(m, m < 3.min(n));
        }
        world
    }

    fn boot(&mut self, m: usize, first: bool) {
        let n = self.machines.len();
        let machine = &mut self.machines[m];
        machine.life += 1;
        if machine.held == PersistedState::default() && !first {
            machine.disk = self.rng.u64(1..);
        }
        let me = NodeId { ip: ip(m), disk: machine.disk };
        let mut raft = Raft::new(self.now, me, machine.held.clone(), TUNING);
        machine.applied = match &machine.held.snapshot {
            Some(s) => rmp_serde::from_slice(&s.data).expect("decodes"),
            None => vec![],
        };
        machine.seen = machine.applied.iter().map(|a| a.1).collect();
        machine.checked = 0;
        if first {
            raft.bootstrap(self.now, (0..3.min(n)).map(|m| NodeId { ip: ip(m), disk: 0 }).collect());
        }
        machine.raft = Some(raft);
        self.drain(m);
    }

    fn kill(&mut self, m: usize, power: bool, wipe: bool) {
        let machine = &mut self.machines[m];
        machine.raft = None;
        for (_, _, writes) in std::mem::take(&mut machine.writing) {
            if power && self.rng.bool() {
                break;
            }
            land(&mut machine.held, writes);
        }
        machine.hung = 0;
        if wipe {
            machine.held = PersistedState::default();
        }
    }

    fn drain(&mut self, m: usize) {
        let Some(raft) = &mut self.machines[m].raft else { return };
        if raft.leads() {
            let held = self.leaders.entry(raft.term()).or_insert(raft.me());
            assert_eq!(*held, raft.me(), "two leaders of term {}", raft.term());
        }
        for output in raft.take() {
            match output {
                Output::Persist(number, writes) => {
                    let machine = &mut self.machines[m];
                    let at = self.now.max(machine.hung) + self.rng.u64(1..12);
                    let at = machine.writing.last().map_or(at, |w| at.max(w.1));
                    machine.writing.push((number, at, writes));
                }
                Output::Send(to, message) => {
                    if self.rng.u8(..) > 0 {
                        let at = self.now + self.rng.u64(1..8);
                        let from = self.machines[m].raft.as_ref().expect("runs").me();
                        self.wire.push((at, from, to, message));
                    }
                }
                Output::Apply(entry) => self.applied(m, entry),
                Output::Install(snapshot) => {
                    let list: Vec<(Index, u64)> = rmp_serde::from_slice(&snapshot.data).expect("decodes");
                    for (index, value) in &list {
                        if let Some((_, Some(held))) = self.agreed.get(index) {
                            assert_eq!(held, value, "snapshot differs at {index}");
                        }
                    }
                    assert!(list.len() >= self.machines[m].applied.len(), "goes back by a snapshot");
                    self.machines[m].seen = list.iter().map(|a| a.1).collect();
                    self.machines[m].applied = list;
                }
                Output::ReadReady(number) => {
                    let life = self.machines[m].life;
                    if let Some(least) = self.reads.remove(&(m, life, number)) {
                        let machine = &mut self.machines[m];
                        let fresh = &self.confirmed[machine.checked.min(least)..least];
                        let missing = fresh.iter().find(|v| !machine.seen.contains(v));
                        assert!(missing.is_none(), "a read lacks {missing:?}, confirmed before it");
                        machine.checked = machine.checked.max(least);
                    }
                }
            }
        }
    }

    fn applied(&mut self, m: usize, entry: Entry<u64>) {
        let value = match entry.body {
            EntryPayload::Command(value) => Some(value),
            _ => None,
        };
        let told = (entry.term, value);
        let held = *self.agreed.entry(entry.index).or_insert(told);
        assert_eq!(held, told, "two entries at {}", entry.index);
        if let Some(value) = value {
            let machine = &mut self.machines[m];
            assert!(machine.applied.last().is_none_or(|a| a.0 < entry.index), "applied out of order");
            machine.applied.push((entry.index, value));
            machine.seen.insert(value);
            let place = self.pending.iter().position(|p| (p.0, p.1) == (entry.index, entry.term) && p.3 == m);
            if let Some(place) = place {
                self.confirmed.push(self.pending.remove(place).2);
            }
        }
    }

    fn step(&mut self) {
        self.now += 5;
        let now = self.now;
        for m in 0..self.machines.len() {
            while self.machines[m].writing.first().is_some_and(|w| w.1 <= now) && now >= self.machines[m].hung
            {
                let (number, _, writes) = self.machines[m].writing.remove(0);
                land(&mut self.machines[m].held, writes);
                if let Some(raft) = &mut self.machines[m].raft {
                    raft.persisted(now, number);
                }
                self.drain(m);
            }
            let Some(raft) = &mut self.machines[m].raft else { continue };
            if now.is_multiple_of(50) {
                raft.tick(now);
            }
            if now.is_multiple_of(300) && raft.leader(now).is_none() {
                let id = raft.me();
                let cut = self.machines[m].cut > now;
                for n in (0..self.machines.len()).filter(|n| *n != m && !cut) {
                    let there = self.machines[n].cut <= now;
                    if let Some(raft) = self.machines[n].raft.as_mut().filter(|_| there) {
                        raft.join(now, id);
                    }
                    self.drain(n);
                }
            }
            self.drain(m);
        }
        let due;
        (due, self.wire) = std::mem::take(&mut self.wire).into_iter().partition(|w| w.0 <= now);
        for (_, from, to, message) in due {
            let find = |id: NodeId| (0..self.machines.len()).find(|m| ip(*m) == id.ip);
            let (Some(f), Some(t)) = (find(from), find(to)) else { continue };
            if self.machines[f].cut > now || self.machines[t].cut > now {
                continue;
            }
            let Some(raft) = &mut self.machines[t].raft else { continue };
            if raft.me() == to {
                raft.receive(now, from, message);
            }
            self.drain(t);
        }
    }

    fn work(&mut self) {
        let m = self.rng.usize(0..self.machines.len());
        let (now, life, confirmed) = (self.now, self.machines[m].life, self.confirmed.len());
        let Some(raft) = &mut self.machines[m].raft else { return };
        if raft.leads() && self.proposed < 150 {
            self.proposed += 1;
            let value = self.proposed;
            if let Some((index, term)) = raft.propose(now, value) {
                self.pending.push((index, term, value, m));
            }
            if let Some(number) = raft.read(now) {
                self.reads.insert((m, life, number), confirmed);
            }
        }
        if raft.held().0 > 80 || raft.held().0 > 20 && !raft.is_sending() {
            let data = encode(&self.machines[m].applied);
            if let Some(raft) = &mut self.machines[m].raft {
                raft.compact(now, data);
            }
        }
        self.drain(m);
        let leases = self.machines.iter().filter(|m| m.raft.as_ref().is_some_and(|r| r.holds_lease(now)));
        assert!(leases.count() <= 1, "two leases at {now}");
    }

    fn run(&mut self, until: Millis) {
        while self.now < until {
            self.step();
            if self.now.is_multiple_of(20) {
                self.work();
            }
        }
    }

    fn calm(&mut self, what: &str) {
        let (at, confirmed) = (self.now, self.confirmed.len());
        self.proposed = 0;
        self.run(at + 6000);
        assert!(self.confirmed.len() > confirmed, "nothing is confirmed {what} at {at}: {}", self.tell());
        let (lead, values) = self
            .machines
            .iter()
            .find_map(|m| m.raft.as_ref().filter(|r| r.leads()).map(|r| (r, &m.applied)))
            .expect("leads");
        let live: Vec<NodeId> =
            self.machines.iter().filter_map(|m| m.raft.as_ref()).map(|r| r.me()).collect();
        let dead = lead.members().into_iter().filter(|id| !live.contains(id)).count();
        assert!(live.iter().all(|id| lead.members().contains(id)), "not all vote {what}: {}", self.tell());
        assert!(dead == 0 || lead.members().len() <= TUNING.least, "the dead vote {what}: {}", self.tell());
        let kept: std::collections::HashSet<u64> = values.iter().map(|a| a.1).collect();
        assert!(self.confirmed.iter().all(|v| kept.contains(v)), "confirmed and lost {what}");
    }

    fn tell(&self) -> String {
        let tell = |m: &Machine| match &m.raft {
            Some(r) => format!(
                "[{}/{:x} t{} c{} {:?} members {:?} peers {:?}]\n",
                r.me().ip,
                r.me().disk & 0xffff,
                r.term(),
                r.commit(),
                r.leads(),
                r.members().iter().map(|m| (m.ip, m.disk & 0xffff)).collect::<Vec<_>>(),
                r.peers(self.now)
            ),
            None => "down".into(),
        };
        self.machines.iter().map(tell).collect()
    }
}

fn play(seed: u64, n: usize) {
    let mut world = World::new(seed, n);
    world.calm("at first");
    for round in 0..8 {
        let m = world.rng.usize(0..n);
        let what = world.rng.usize(0..7);
        let span = world.rng.u64(100..4000);
        match what {
            0 => {
                let wipe = n > 1 && world.rng.bool();
                world.kill(m, true, wipe);
                world.run(world.now + span);
                world.boot(m, false);
            }
            1 => {
                world.machines[m].cut = world.now + 2 * span;
                world.run(world.now + 2 * span);
            }
            2 => {
                world.machines[m].hung = world.now + span;
                world.run(world.now + span);
            }
            3 => {
                for m in 0..n {
                    world.kill(m, true, false);
                }
                world.run(world.now + span / 4);
                for m in 0..n {
                    world.boot(m, false);
                }
            }
            4 => {
                let now = world.now;
                if let Some(raft) =
                    world.machines.iter_mut().find_map(|m| m.raft.as_mut().filter(|r| r.leads()))
                {
                    raft.transfer(now);
                }
                world.run(world.now + span / 4);
            }
            5 => {
                // One disk is lost while all others lose power.
                for k in 0..n {
                    world.kill(k, true, n > 1 && k == m);
                }
                world.run(world.now + span / 4);
                for k in 0..n {
                    world.boot(k, false);
                }
            }
            _ => {
                world.machines[m].cut = world.now + span;
                world.run(world.now + span / 2);
                let k = world.rng.usize(0..n);
                world.kill(k, false, false);
                world.run(world.now + span / 2);
                world.boot(k, false);
            }
        }
        world.calm(&format!("after round {round} of seed {seed}, trouble {what} of {m}"));
    }
    let held = world.machines.iter().filter_map(|m| m.raft.as_ref()).map(|r| r.held().0).max();
    world.most.0 = held.unwrap_or(0);
}

#[test]
fn what_is_confirmed_is_kept_and_the_same_everywhere() {
    for seed in 0..16 {
        play(seed, 3);
    }
    for seed in 100..108 {
        play(seed, 4);
    }
    for seed in 200..208 {
        play(seed, 5);
    }
    for seed in 300..306 {
        play(seed, 1 + (seed % 2) as usize * 2);
    }
}

/// Guards the lease through restarts: whom a machine may be bound to is on its disk before the leader hears that it
/// follows, so after a restart it is bound to nobody else, and to nobody longer than that one leads.
#[test]
fn a_restart_is_bound_to_the_leader_that_was_followed_and_to_nobody_else() {
    let id = |n| NodeId { ip: ip(n), disk: 0 };
    let members: Members = (0..3).map(id).collect();
    let first = Entry { term: 0, index: 1, body: EntryPayload::Members(members) };
    // It stood in term 5 itself, and lost to the first one.
    let mut held = PersistedState { term: 5, vote: Some(id(1)), snapshot: None, log: vec![first] };
    let mut raft = Raft::<u64>::new(10_000, id(1), held.clone(), TUNING);
    let word = Message::Append { term: 5, prev: (1, 0), entries: vec![], commit: 1, sure: None, round: 1 };
    raft.receive(10_100, id(0), word);
    for output in raft.take() {
        match output {
            Output::Persist(_, writes) => land(&mut held, writes),
            Output::Send(..) => panic!("it speaks before that is on the disk"),
            _ => {}
        }
    }
    assert_eq!(held.vote, Some(id(0)));
    let granted = |now: Millis, from: NodeId| {
        let mut raft = Raft::<u64>::new(20_000, id(1), held.clone(), TUNING);
        raft.receive(now, from, Message::Vote { term: 6, last: (5, 9), pre: false, transfer: false });
        raft.term() == 6
    };
    assert!(!granted(20_100, id(2)), "the first one may rely on it yet");
    assert!(granted(20_100, id(0)), "who stands again leads no more");
    assert!(granted(20_000 + TUNING.election, id(2)), "nobody relies on it for longer");
    // Nor does it stand itself before that, unless it had its own vote.
    let mut stands = Raft::<u64>::new(20_000, id(1), held.clone(), TUNING);
    stands.tick(20_100);
    assert!(stands.take().is_empty());
    held.vote = Some(id(1));
    let mut leads_again = Raft::<u64>::new(20_000, id(1), held, TUNING);
    leads_again.tick(20_100);
    assert_eq!(leads_again.take().len(), 2, "it asks both others at once");
}
