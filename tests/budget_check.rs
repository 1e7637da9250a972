//! Model checking of budget allocation. The model is a fleet of three members, of which two may be allocators. Messages
//! may be lost, delayed, duplicated and reordered, a process may restart or pause for any time, and clocks drift apart
//! by a tick. The checker runs the program's own state machines and checks one invariant in each state that is
//! reachable within the bounds: the shares in use never add up to more than the total. Without the clock margin it
//! must find a state that violates the invariant.

use stateright::{Checker, Model, Property};
use std::sync::Arc;
use std::time::{Duration, Instant};
use whinstall::fleet::budget::{
    Allocator, GrantRequest, GrantResponse, Holder, LeaseTimes, Ms, Origin, TOTAL_PPM,
};

const MEMBERS: usize = 3;
/// Number of members that may be allocators.
const ALLOCATORS: usize = 2;
/// Name of the invariant.
const NO_OVERALLOCATION: &str = "shares in use never exceed the total";
/// Name of the property that the model reaches a change of the leader.
const SECOND_LEADS: &str = "the second allocator becomes the leader";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Clock of each member.
    clocks: [Ms; MEMBERS],
    /// Number of ticks so far that one clock missed.
    missed: u8,
    ticks: u8,
    restarts: u8,
    incarnations: [u64; MEMBERS],
    holders: Vec<Holder>,
    allocators: Vec<Allocator>,
    /// Requests in flight.
    requests: Vec<GrantRequest>,
    /// Responses in flight, each with the member that it goes to.
    responses: Vec<(usize, GrantResponse)>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time passes; the clock of one member may miss the tick.
    Tick(Option<usize>),
    /// Each member of a group in turn exchanges a request and its response with an allocator, without delay.
    Exchange(&'static [usize], usize),
    /// A member sends a request to an allocator. The request may arrive at any time, more than once, or never.
    SendRequest(usize, usize),
    /// A request in flight arrives; if true, a duplicate of it remains in flight.
    DeliverRequest(usize, bool),
    /// A response in flight arrives; if true, a duplicate of it remains in flight.
    DeliverResponse(usize, bool),
    /// All messages in flight are lost.
    DropMessages,
    Restart(usize),
}

/// Groups of one, two or all members.
const ANY: &[&[usize]] = &[&[0, 1, 2], &[0, 2], &[1, 2], &[0, 1], &[0], &[1], &[2]];
/// Both sides of a partition between the first member and the other two.
const FIRST_ISOLATED: &[&[usize]] = &[&[0], &[1, 2]];
/// Both sides of a partition between the third member and the other two.
const LAST_ISOLATED: &[&[usize]] = &[&[0, 1], &[2]];

/// The model, with its bounds.
struct Fleet {
    times: LeaseTimes,
    /// Groups whose members exchange messages with an allocator in one step.
    groups: &'static [&'static [usize]],
    /// Ticks between the last exchange of all members and the initial state.
    ticks_since_exchange: u64,
    /// Number of allocators that members send requests to.
    allocators: usize,
    max_ticks: u8,
    max_missed: u8,
    max_restarts: u8,
    max_in_flight: usize,
}

fn origin(member: usize, incarnation: u64) -> Origin {
    Origin { name: Arc::from(format!("g{member}")), incarnation }
}

fn member_index(origin: &Origin) -> usize {
    origin.name[1..].parse().expect("a number")
}

impl State {
    /// Number of messages in flight.
    fn in_flight(&self) -> usize {
        self.requests.len() + self.responses.len()
    }

    fn next_request(&mut self, from: usize, to: usize) -> GrantRequest {
        let to = origin(to, self.incarnations[to]);
        self.holders[from].next_request(self.clocks[from], &to, vec![(Arc::from("b"), TOTAL_PPM)])
    }

    /// The response to a request, and the member that it goes to.
    fn handle_request(&mut self, request: &GrantRequest) -> (usize, GrantResponse) {
        let to = member_index(&request.to);
        (member_index(&request.from), self.allocators[to].handle_request(self.clocks[to], request))
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let request = self.next_request(from, to);
        let (from, response) = self.handle_request(&request);
        self.holders[from].handle_response(&response);
    }

    /// Sum of the shares that the members may use now.
    fn shares_in_use(&self) -> u64 {
        self.holders.iter().zip(self.clocks).map(|(holder, now)| holder.share(now, "b")).sum()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    /// The first member is the leader, and all members have a share.
    fn init_states(&self) -> Vec<State> {
        let incarnations = [1; MEMBERS];
        let start = self.times.lease_with_margin_ms() + 1;
        let mut state = State {
            clocks: [start; MEMBERS],
            missed: 0,
            ticks: 0,
            restarts: 0,
            incarnations,
            holders: (0..MEMBERS).map(|n| Holder::new(origin(n, 1), 0, self.times)).collect(),
            allocators: (0..ALLOCATORS)
                .map(|n| Allocator::new(origin(n, 1), 0, self.times, MEMBERS as u32))
                .collect(),
            requests: Vec::new(),
            responses: Vec::new(),
        };
        for _ in 0..2 * self.times.lease_with_margin_ms() + 2 {
            (0..MEMBERS).for_each(|n| state.exchange(n, 0));
            state.clocks.iter_mut().for_each(|clock| *clock += 1);
        }
        (0..MEMBERS).for_each(|n| state.exchange(n, 0));
        assert!(state.shares_in_use() > TOTAL_PPM / 2, "{state:?}");
        state.clocks.iter_mut().for_each(|clock| *clock += self.ticks_since_exchange);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.max_ticks {
            actions.push(Action::Tick(None));
            if state.missed < self.max_missed {
                actions.extend((0..MEMBERS).map(|n| Action::Tick(Some(n))));
            }
        }
        for to in 0..self.allocators {
            actions.extend(self.groups.iter().map(|group| Action::Exchange(group, to)));
        }
        for from in 0..MEMBERS {
            for to in 0..self.allocators {
                if state.in_flight() < self.max_in_flight {
                    actions.push(Action::SendRequest(from, to));
                }
            }
            if state.restarts < self.max_restarts {
                actions.push(Action::Restart(from));
            }
        }
        for n in 0..state.requests.len() {
            actions.extend([Action::DeliverRequest(n, false), Action::DeliverRequest(n, true)]);
        }
        for n in 0..state.responses.len() {
            actions.extend([Action::DeliverResponse(n, false), Action::DeliverResponse(n, true)]);
        }
        if self.max_in_flight > 0 && state.in_flight() == self.max_in_flight {
            actions.push(Action::DropMessages);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick(missing) => {
                state.ticks += 1;
                state.missed += u8::from(missing.is_some());
                for (n, clock) in state.clocks.iter_mut().enumerate() {
                    *clock += u64::from(missing != Some(n));
                }
            }
            Action::Exchange(group, to) => group.iter().for_each(|from| state.exchange(*from, to)),
            Action::SendRequest(from, to) => {
                let request = state.next_request(from, to);
                state.requests.push(request);
            }
            Action::DeliverRequest(n, is_duplicated) => {
                let request = state.requests[n].clone();
                if !is_duplicated {
                    state.requests.remove(n);
                }
                let response = state.handle_request(&request);
                if state.in_flight() < self.max_in_flight {
                    state.responses.push(response);
                }
            }
            Action::DeliverResponse(n, is_duplicated) => {
                let (to, response) = state.responses[n].clone();
                if !is_duplicated {
                    state.responses.remove(n);
                }
                state.holders[to].handle_response(&response);
            }
            Action::DropMessages => {
                state.requests.clear();
                state.responses.clear();
            }
            Action::Restart(n) => {
                state.restarts += 1;
                state.incarnations[n] += 1;
                let me = origin(n, state.incarnations[n]);
                state.holders[n] = Holder::new(me.clone(), state.clocks[n], self.times);
                if n < ALLOCATORS {
                    state.allocators[n] = Allocator::new(me, state.clocks[n], self.times, MEMBERS as u32);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_OVERALLOCATION, |_, state: &State| state.shares_in_use() <= TOTAL_PPM),
            Property::sometimes(SECOND_LEADS, |_, state: &State| {
                state.allocators[1].is_leader(state.clocks[1]) && state.shares_in_use() > 0
            }),
        ]
    }
}

/// The outcome of a check.
struct Checked {
    states: usize,
    depth: usize,
    elapsed: Duration,
    /// Whether the shares in use stay within the total in all states.
    holds: bool,
    /// Whether the second allocator is the leader in some state.
    second_leads: bool,
}

/// Checks a model breadth first until about `states` states are visited. Prints the actions that lead to a violation.
fn check(fleet: Fleet, states: usize) -> Checked {
    let start = Instant::now();
    let checker = fleet.checker().threads(4).target_state_count(states).spawn_bfs().join();
    let (violation, second) = (checker.discovery(NO_OVERALLOCATION), checker.discovery(SECOND_LEADS));
    let holds = violation.is_none();
    if let Some(path) = violation {
        println!("{}", path.into_actions().iter().map(|a| format!("{a:?}")).collect::<Vec<_>>().join(", "));
    }
    Checked {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        elapsed: start.elapsed(),
        holds,
        second_leads: second.is_some(),
    }
}

/// Number of states to check in each model.
const STATES: usize = if cfg!(debug_assertions) { 60_000 } else { 3_000_000 };
const TIMES: LeaseTimes = LeaseTimes { lease_ms: 3, clock_margin_ms: 1 };

/// With a margin that covers the ticks that clocks miss, the shares in use never exceed the total.
#[test]
fn no_order_of_events_overallocates_a_budget() {
    let base = || Fleet {
        times: TIMES,
        groups: ANY,
        ticks_since_exchange: 0,
        allocators: 2,
        max_ticks: 12,
        max_missed: 1,
        max_restarts: 1,
        max_in_flight: 0,
    };
    let partition = || Fleet { groups: FIRST_ISOLATED, ticks_since_exchange: 1, max_ticks: 6, ..base() };
    for (name, fleet) in [
        ("one message in flight", Fleet { max_in_flight: 1, ..base() }),
        (
            "two messages in flight, late",
            Fleet { max_in_flight: 2, ticks_since_exchange: 2, max_restarts: 0, ..base() },
        ),
        ("atomic exchanges", base()),
        ("partition", Fleet { max_restarts: 0, ..partition() }),
        ("partition and restart", Fleet { max_missed: 0, ..partition() }),
    ] {
        let is_partition = name.starts_with("partition");
        let checked = check(fleet, if is_partition { 3 * STATES } else { STATES });
        let Checked { states, depth, elapsed, holds, second_leads } = checked;
        println!(
            "{name}: {states} states, depth {depth}, {elapsed:.1?}; second allocator leads: {second_leads}"
        );
        assert!(holds, "{name}");
        assert!(
            second_leads || name != "partition",
            "no checked state has the second allocator as the leader"
        );
    }
}

/// The checker is able to find a violation: without the clock margin there is one.
#[test]
fn without_the_clock_margin_the_checker_finds_a_violation() {
    let fleet = Fleet {
        times: LeaseTimes { lease_ms: 3, clock_margin_ms: 0 },
        groups: LAST_ISOLATED,
        ticks_since_exchange: 0,
        allocators: 1,
        max_ticks: 3,
        max_missed: 1,
        max_restarts: 0,
        max_in_flight: 0,
    };
    let Checked { states, depth, elapsed, holds, .. } = check(fleet, 20 * STATES);
    println!("without the clock margin: violation found among {states} states, depth {depth}, {elapsed:.1?}");
    assert!(!holds);
}
