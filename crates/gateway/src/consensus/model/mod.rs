//! Owns the core as stateright sees it: the very machines of `Raft<u8>`, their disks with writes on their way, the messages
//! between them, and what was seen so far. It must never do what neither driver nor disk nor wire may do.
//!
//! Time: every clock stands at [`NOW`]; a tick makes what is remembered older instead, so that no field grows. Without
//! clocks (`slow` is `None`) nothing binds by time: anybody stands at any moment, which is more than may happen.

mod checks;
mod injected_faults;
mod invariants;
mod time;

use self::invariants::{applied, led, Fault};
use self::time::{forget, older, renumber, without_time};
use crate::consensus::tests::land;
use crate::consensus::*;
use stateright::{Model, Property};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

pub(super) const NOW: Millis = 1000;
/// Spans in the model, in ticks; the lease is shorter by what a clock may be slower.
pub(super) const ELECTION: Millis = 3;
pub(super) const FAULTLESS: &str = "nothing that must never be";
pub(super) const UNBOUNDED: u8 = u8::MAX;

/// How often something may happen; `UNBOUNDED`: at any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Budget {
    pub proposals: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub beats: u8,
    pub reads: u8,
    pub compactions: u8,
    pub transfers: u8,
    pub repeats: u8,
    pub joins: u8,
    pub changes: u8,
}

const FREE: Budget = Budget {
    proposals: UNBOUNDED,
    crashes: UNBOUNDED,
    wipes: UNBOUNDED,
    beats: UNBOUNDED,
    reads: UNBOUNDED,
    compactions: UNBOUNDED,
    transfers: UNBOUNDED,
    repeats: UNBOUNDED,
    joins: UNBOUNDED,
    changes: UNBOUNDED,
};

/// A machine: its process always runs; to be down is to do nothing and hear nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Machine {
    pub raft: Raft<u8>,
    pub held: PersistedState<u8>,
    pub writing: VecDeque<(u64, Vec<LogWrite<u8>>)>,
    pub applied: Index,
    pub state: Vec<u8>,
    reads: BTreeMap<u64, Index>,
    pub installed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Letter {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message<u8>,
}

/// What is committed: term, content, and the earliest term in which it is known to be.
pub(super) type Agreed = (Term, EntryPayload<u8>, Term);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub machines: Vec<Arc<Machine>>,
    pub wire: Vec<Arc<Letter>>,
    pub agreed: Arc<BTreeMap<Index, Agreed>>,
    pub leaders: Arc<BTreeMap<Term, NodeId>>,
    pub left: Budget,
    pub phase: u8,
    pub fault: Option<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    Deliver(usize),
    Repeat(usize),
    Sync(usize),
    Elect(usize),
    Beat(usize),
    Propose(usize),
    Read(usize),
    /// Loses all but so many of the writes on their way.
    Crash(usize, usize),
    Wipe(usize),
    /// The first hears that the second machine is there, with this disk.
    Join(usize, usize, u64),
    /// A leader's upkeep of members, while this machine is silent.
    Change(usize, Option<usize>),
    Compact(usize),
    Transfer(usize),
    Tick,
}

/// Bounds of a search.
#[derive(Clone, Debug)]
pub(super) struct Core {
    pub machines: usize,
    pub seeds: usize,
    pub least: usize,
    pub terms: Term,
    pub last: Index,
    /// Messages on their way from one machine to another; the oldest is lost.
    pub lane: usize,
    pub budget: Budget,
    /// With clocks: which machine's runs at two thirds of the others'.
    pub slow: Option<usize>,
    pub lease: Millis,
    pub mutant: Option<InjectedFault>,
    /// Is it looked at whether what is said is on the disk? Else only what comes of it is.
    pub spoken: bool,
    /// Who may stand.
    pub candidates: &'static [usize],
    /// Writes are synced at once; that a message is late stands for a write that is.
    pub eager: bool,
    pub begin: Option<World>,
}

impl Default for Core {
    fn default() -> Self {
        Core {
            machines: 3,
            seeds: 3,
            least: 3,
            terms: 2,
            last: 9,
            lane: 1,
            budget: Budget::default(),
            slow: None,
            lease: 2,
            mutant: None,
            spoken: true,
            candidates: &[0, 1, 2, 3, 4],
            eager: false,
            begin: None,
        }
    }
}

fn ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n as u8))
}

pub(super) fn place(id: NodeId) -> usize {
    match id.ip {
        IpAddr::V4(ip) => ip.octets()[3] as usize,
        IpAddr::V6(_) => 0,
    }
}

fn spend(left: &mut u8) {
    if *left != UNBOUNDED {
        *left -= 1;
    }
}

impl Core {
    fn tuning(&self) -> RaftConfig {
        RaftConfig {
            heartbeat: 1,
            election: ELECTION,
            lease: self.lease,
            out_after: ELECTION,
            least: self.least,
            batch: 1,
            piece: 1,
            window: 1,
            hang: NOW,
        }
    }

    fn counts_rounds(&self) -> bool {
        self.slow.is_some() || self.budget.reads > 0
    }

    pub fn first(&self) -> World {
        let seeds: Members = (0..self.seeds).map(|m| NodeId { ip: ip(m), disk: 0 }).collect();
        let machine = |m: usize| {
            let me = NodeId { ip: ip(m), disk: u64::from(m >= self.seeds) };
            let mut machine = self.boot(me, PersistedState::default(), false);
            machine.raft.started = 0;
            if m < self.seeds {
                machine.raft.bootstrap(NOW, seeds.clone());
            }
            Arc::new(machine)
        };
        let mut world = World {
            machines: (0..self.machines).map(machine).collect(),
            wire: Vec::new(),
            agreed: Arc::default(),
            leaders: Arc::default(),
            left: self.budget,
            phase: 0,
            fault: None,
        };
        for m in 0..self.machines {
            self.settle_machine(&mut world, m);
            if m < self.seeds {
                world = self.step(&world, &Action::Sync(m)).unwrap_or(world);
            }
        }
        world
    }

    fn boot(&self, me: NodeId, held: PersistedState<u8>, again: bool) -> Machine {
        let mut raft = Raft::new(NOW, me, held.clone(), self.tuning());
        raft.break_by(self.mutant);
        let (applied, state) = held.snapshot.as_ref().map_or((0, Vec::new()), |s| (s.index, s.data.to_vec()));
        if !(again && self.slow.is_some()) {
            raft.started = 0;
        }
        let (writing, reads) = (VecDeque::new(), BTreeMap::new());
        Machine { raft, held, writing, applied, state, reads, installed: false }
    }

    /// One step; `None`: it can't be.
    pub fn step(&self, world: &World, action: &Action) -> Option<World> {
        let mut world = world.clone();
        let m = self.act(&mut world, action)?;
        self.settle_machine(&mut world, m);
        while self.eager && !world.machines[m].writing.is_empty() {
            self.act(&mut world, &Action::Sync(m))?;
            self.settle_machine(&mut world, m);
        }
        Some(world)
    }

    fn act(&self, world: &mut World, action: &Action) -> Option<usize> {
        let (left, mutant) = (&mut world.left, self.mutant);
        let at = match action {
            Action::Deliver(n) | Action::Repeat(n) => {
                let letter = world.wire.get(*n)?.clone();
                if matches!(action, Action::Repeat(_)) {
                    spend(&mut left.repeats);
                } else if left.repeats != UNBOUNDED {
                    world.wire.remove(*n);
                }
                let machine = Arc::make_mut(&mut world.machines[place(letter.to)]);
                machine.raft.receive(NOW, letter.from, letter.message.clone());
                return Some(place(letter.to));
            }
            Action::Tick => {
                world.phase = (world.phase + 1) % 3;
                for (m, machine) in world.machines.iter_mut().enumerate() {
                    if self.slow != Some(m) || world.phase != 1 {
                        older(&mut Arc::make_mut(machine).raft);
                    }
                }
                return Some(0);
            }
            Action::Sync(m) | Action::Elect(m) | Action::Beat(m) | Action::Propose(m) | Action::Read(m) => *m,
            Action::Crash(m, _) | Action::Wipe(m) | Action::Join(m, ..) | Action::Change(m, _) => *m,
            Action::Compact(m) | Action::Transfer(m) => *m,
        };
        let top = world.agreed.keys().last().copied().unwrap_or(0);
        let lives: Vec<NodeId> = world.machines.iter().map(|m| m.raft.me).collect();
        let machine = Arc::make_mut(&mut world.machines[at]);
        let raft = &mut machine.raft;
        match action {
            Action::Sync(_) => {
                let (number, writes) = machine.writing.pop_front()?;
                land(&mut machine.held, writes);
                raft.persisted(NOW, number);
            }
            Action::Elect(_) => {
                raft.campaign(NOW, false);
                raft.flush(NOW);
            }
            Action::Beat(_) => {
                spend(&mut left.beats);
                raft.broadcast(NOW);
                raft.flush(NOW);
            }
            Action::Propose(_) => {
                spend(&mut left.proposals);
                // Each is told apart by where it was first proposed.
                let value = (raft.term * 16 + raft.log.last()) as u8;
                raft.propose(NOW, value)?;
            }
            Action::Read(_) => {
                spend(&mut left.reads);
                let number = raft.read(NOW)?;
                machine.reads.insert(number, top);
            }
            Action::Crash(_, keep) => {
                spend(&mut left.crashes);
                let writes = std::mem::take(&mut machine.writing).into_iter().take(*keep);
                writes.for_each(|(_, writes)| land(&mut machine.held, writes));
                *machine = self.boot(machine.raft.me, machine.held.clone(), true);
            }
            Action::Wipe(_) => {
                spend(&mut left.wipes);
                let mut me = machine.raft.me;
                me.disk += u64::from(mutant != Some(InjectedFault::WipedVotes));
                *machine = self.boot(me, PersistedState::default(), true);
                let kept = |l: &Arc<Letter>| l.to.ip != me.ip || l.to == me;
                world.wire.retain(kept);
            }
            Action::Join(_, who, disk) => {
                spend(&mut left.joins);
                raft.join(NOW, NodeId { ip: ip(*who), disk: *disk });
            }
            Action::Change(_, silent) => {
                spend(&mut left.changes);
                let Role::Leader(leader) = &mut raft.role else { return None };
                for (id, p) in &mut leader.peers {
                    // A lost disk says nothing.
                    let there = lives.contains(id) && Some(place(*id)) != *silent;
                    p.heard = if there { NOW } else { 0 };
                }
                raft.mend_members(NOW);
                raft.flush(NOW);
            }
            Action::Compact(_) => {
                spend(&mut left.compactions);
                raft.compact(NOW, machine.state.clone().into());
            }
            Action::Transfer(_) => {
                spend(&mut left.transfers);
                if let (Role::Leader(leader), true) = (&mut raft.role, self.slow.is_none()) {
                    leader.peers.values_mut().for_each(|p| p.heard = NOW);
                }
                raft.transfer(NOW);
            }
            Action::Deliver(_) | Action::Repeat(_) | Action::Tick => return None,
        }
        Some(at)
    }

    /// Takes what a machine puts out, and looks whether all is well.
    fn settle_machine(&self, world: &mut World, m: usize) {
        let mut machine = world.machines[m].clone();
        let own = Arc::make_mut(&mut machine);
        for output in own.raft.take() {
            match output {
                Output::Persist(number, writes) => own.writing.push_back((number, writes)),
                Output::Send(to, message) => self.post(world, own, to, message),
                Output::Apply(entry) => applied(world, own, entry),
                Output::Install(snapshot) => {
                    let commands = world.agreed.range(..=snapshot.index).filter_map(|(_, e)| match e.1 {
                        EntryPayload::Command(value) => Some(value),
                        _ => None,
                    });
                    let known = world.agreed.len() as Index >= snapshot.index;
                    let mut before = world.agreed.range(..=snapshot.index).rev();
                    let members = before.find_map(|(_, e)| match &e.1 {
                        EntryPayload::Members(members) => Some(members),
                        _ => None,
                    });
                    if members.is_some_and(|m| *m != snapshot.members) {
                        world.fault = Some(Fault::SnapshotWrong);
                    }
                    if !known || !commands.eq(snapshot.data.iter().copied()) || snapshot.index <= own.applied
                    {
                        world.fault = Some(Fault::SnapshotWrong);
                    }
                    (own.applied, own.state, own.installed) = (snapshot.index, snapshot.data.to_vec(), true);
                }
                Output::ReadReady(number) => {
                    if own.reads.remove(&number).is_some_and(|least| own.applied < least) {
                        world.fault = Some(Fault::StaleRead);
                    }
                }
            }
        }
        if own.raft.leads() {
            led(world, &own.raft);
        } else {
            own.reads.clear();
        }
        let base = own.held.snapshot.as_ref().map_or(0, |s| s.index);
        if own.held.log.iter().enumerate().any(|(n, e)| e.index != base + 1 + n as Index) {
            world.fault = Some(Fault::Gap);
        }
        if self.slow.is_some() {
            forget(&mut own.raft);
        } else {
            let rounds = self.counts_rounds();
            without_time(&mut own.raft, rounds);
        }
        renumber(own);
        let me = own.raft.me;
        world.machines[m] = machine;
        let all = self.mutant == Some(InjectedFault::OldAck);
        world.wire.retain(|l| l.to != me || all || !is_dead(&world.machines[m], &l.message));
        if self.slow.is_some() && world.machines.iter().filter(|m| m.raft.holds_lease(NOW)).count() > 1 {
            world.fault = Some(Fault::TwoLeases);
        }
    }

    fn post(&self, world: &mut World, own: &Machine, to: NodeId, mut message: Message<u8>) {
        let held = &own.held;
        let base = held.snapshot.as_ref().map_or(0, |s| s.index);
        let spoken = match &message {
            Message::Vote { pre: true, .. } | Message::VoteReply { pre: true, .. } => true,
            Message::VoteReply { term, granted: true, .. } => {
                held.term > *term || (held.term == *term && held.vote == Some(to))
            }
            Message::AppendReply { term, index, matches: true, .. } => {
                held.term >= *term && base + held.log.len() as Index >= *index
            }
            other => held.term >= other.term(),
        };
        if self.spoken && !spoken {
            world.fault = Some(Fault::SpokenUnsynced);
        }
        let there = world.machines.get(place(to)).filter(|machine| machine.raft.me == to);
        let all = self.mutant == Some(InjectedFault::OldAck);
        if there.is_none_or(|machine| !all && is_dead(machine, &message)) {
            return;
        }
        if !self.counts_rounds() {
            match &mut message {
                Message::Append { round, .. } | Message::AppendReply { round, .. } => *round = 0,
                Message::Piece { round, .. } | Message::PieceReply { round, .. } => *round = 0,
                _ => {}
            }
        }
        let letter = Letter { from: own.raft.me, to, message };
        if world.wire.iter().any(|l| **l == letter) {
            return;
        }
        let key = |l: &Letter| (l.from, l.to);
        let (this, end) = (key(&letter), world.wire.partition_point(|l| key(l) <= key(&letter)));
        world.wire.insert(end, Arc::new(letter));
        let start = world.wire.partition_point(|l| key(l) < this);
        if end + 1 - start > self.lane {
            world.wire.remove(start);
        }
    }
}

/// Would this do nothing at all, now and whatever becomes of who hears it? Its term on the disk never falls, and it is a
/// candidate or leader once in a term.
fn is_dead(to: &Machine, message: &Message<u8>) -> bool {
    let (term, raft) = (to.held.term, &to.raft);
    match message {
        Message::Vote { .. } | Message::Append { .. } | Message::Piece { .. } => false,
        Message::VoteReply { term: said, granted: false, .. } => *said <= term,
        Message::VoteReply { term: said, .. } => {
            *said < term || *said == term && !matches!(raft.role, Role::Candidate { .. })
        }
        Message::AppendReply { term: said, .. } | Message::PieceReply { term: said, .. } => {
            *said < term || *said == term && !raft.leads()
        }
        Message::TimeoutNow { term: said } => *said < term,
    }
}

/// What lies before a search: told step by step.
impl Core {
    /// All that is on its way among these machines comes, and is written; the rest is lost if `lost`.
    pub fn settled(&self, world: World, among: &[usize], lost: bool) -> World {
        self.settled_where(world, among, lost, |_| true)
    }

    pub fn settled_where(
        &self,
        mut world: World,
        among: &[usize],
        lost: bool,
        which: impl Fn(&Message<u8>) -> bool,
    ) -> World {
        for _ in 0..2000 {
            let fits = |l: &Arc<Letter>| {
                among.contains(&place(l.from)) && among.contains(&place(l.to)) && which(&l.message)
            };
            let sync = among.iter().find(|m| world.machines.get(**m).is_some_and(|m| !m.writing.is_empty()));
            let action = match (sync, world.wire.iter().position(fits)) {
                (Some(m), _) => Action::Sync(*m),
                (None, Some(n)) => Action::Deliver(n),
                (None, None) => break,
            };
            world = self.after(world, &[action]);
        }
        if lost {
            world.wire.clear();
        }
        world
    }

    pub fn after(&self, world: World, actions: &[Action]) -> World {
        let left = Budget { repeats: 0, ..FREE };
        actions
            .iter()
            .fold(world, |world, action| self.step(&World { left, ..world }, action).expect("can be"))
    }

    /// One leads, voted for by these, and what it says came among them.
    pub fn led(&self, world: World, by: usize, among: &[usize]) -> World {
        self.settled(self.after(world, &[Action::Elect(by)]), among, true)
    }
}

impl Model for Core {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let begin = self.begin.clone().map(|b| World { left: self.budget, ..b });
        vec![begin.unwrap_or_else(|| self.first())]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.fault.is_some() {
            return;
        }
        let left = &world.left;
        actions.extend((0..world.wire.len()).map(Action::Deliver));
        if left.repeats > 0 && left.repeats != UNBOUNDED {
            actions.extend((0..world.wire.len()).map(Action::Repeat));
        }
        for (m, machine) in world.machines.iter().enumerate() {
            let raft = &machine.raft;
            if !machine.writing.is_empty() {
                actions.push(Action::Sync(m));
            }
            let free = !raft.hears_leader(NOW) && !raft.is_young(NOW);
            let able = self.candidates.contains(&m) && raft.term < self.terms && !raft.leads();
            if able && raft.members().contains(&raft.me) && free {
                actions.push(Action::Elect(m));
            }
            if left.crashes > 0 {
                actions.extend((0..=machine.writing.len()).map(|keep| Action::Crash(m, keep)));
            }
            if left.wipes > 0 {
                actions.push(Action::Wipe(m));
            }
            if left.compactions > 0 && machine.applied > raft.log.base().0 {
                actions.push(Action::Compact(m));
            }
            let Role::Leader(leader) = &raft.role else { continue };
            let more = raft.log.last() < self.last;
            let others = (0..self.machines).filter(|k| *k != m);
            if left.beats > 0 {
                actions.push(Action::Beat(m));
            }
            if left.proposals > 0 && more {
                actions.push(Action::Propose(m));
            }
            if left.reads > 0 {
                actions.push(Action::Read(m));
            }
            if left.transfers > 0 && leader.transfer.is_none() {
                actions.push(Action::Transfer(m));
            }
            if left.joins > 0 {
                let disks = |k: usize| 0..=world.machines[k].raft.me.disk;
                actions.extend(others.clone().flat_map(|k| disks(k).map(move |d| Action::Join(m, k, d))));
            }
            if left.changes > 0 && more {
                actions.extend(others.map(|k| Action::Change(m, Some(k))).chain([Action::Change(m, None)]));
            }
        }
        if self.slow.is_some() {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        self.step(world, &action).filter(|next| next != world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(FAULTLESS, |_, w: &World| w.fault.is_none()),
            Property::sometimes("a second leader commits", |_, w: &World| {
                w.agreed.values().any(|e| e.0 >= 2)
            }),
            Property::sometimes("a command is committed", |_, w: &World| {
                w.agreed.values().any(|e| matches!(e.1, EntryPayload::Command(_)))
            }),
            Property::sometimes("a member is another", |_, w: &World| {
                w.agreed.iter().any(|(i, e)| *i > 1 && matches!(e.1, EntryPayload::Members(_)))
            }),
            Property::sometimes("a snapshot is installed", |_, w: &World| {
                w.machines.iter().any(|m| m.installed)
            }),
        ]
    }
}
