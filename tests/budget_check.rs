//! All orders of events in a fleet of three, two of which may divide: messages lost, late, repeated and in any order, a
//! process that starts again, one that is stopped (it does nothing for as long as it likes), clocks that run apart by a
//! tick. The checker plays the program's own state machines and holds, in each state that can be reached within the bounds,
//! the one invariant: the parts that all go by never pass the whole. With the margin taken away it must find the state
//! in which they do.

use stateright::{Checker, Model, Property};
use std::sync::Arc;
use whinstall::fleet::budget::{
    Allocator, GrantRequest, GrantResponse, Holder, LeaseTimes, Ms, Origin, TOTAL_PPM,
};

const MEMBERS: usize = 3;
const DIVIDERS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Each one's clock, and ticks that it has missed.
    clocks: [Ms; MEMBERS],
    missed: u8,
    ticks: u8,
    restarts: u8,
    lives: [u64; MEMBERS],
    holders: Vec<Holder>,
    dividers: Vec<Allocator>,
    requests: Vec<GrantRequest>,
    answers: Vec<(usize, GrantResponse)>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Time passes; the clock of one may miss it.
    Tick(Option<usize>),
    /// Of some, one after the other: asked, answered and heard at once.
    Exchange(&'static [usize], usize),
    /// Asked: what is sent may come at any time, twice, or never.
    Ask(usize, usize),
    Request(usize, bool),
    Answer(usize, bool),
    Lose,
    Restart(usize),
}

/// One, two or all of them.
const ANY: &[&[usize]] = &[&[0, 1, 2], &[0, 2], &[1, 2], &[0, 1], &[0], &[1], &[2]];
/// A cut: the first one alone, or the other two.
const CUT: &[&[usize]] = &[&[0], &[1, 2]];
/// The third one alone, or the other two.
const LAST: &[&[usize]] = &[&[0, 1], &[2]];

struct Fleet {
    times: LeaseTimes,
    /// Origin exchange with a divider in one step.
    some: &'static [&'static [usize]],
    /// Ticks since all asked, as it starts.
    late: u64,
    dividers: usize,
    ticks: u8,
    missed: u8,
    restarts: u8,
    waiting: usize,
}

fn who(n: usize, life: u64) -> Origin {
    Origin { name: Arc::from(format!("g{n}")), incarnation: life }
}

fn number(who: &Origin) -> usize {
    who.name[1..].parse().expect("a number")
}

impl State {
    fn ask(&mut self, from: usize, to: usize) -> GrantRequest {
        let to = who(to, self.lives[to]);
        self.holders[from].next_request(self.clocks[from], &to, vec![(Arc::from("b"), TOTAL_PPM)])
    }

    fn answer(&mut self, request: &GrantRequest) -> (usize, GrantResponse) {
        let to = number(&request.to);
        (number(&request.from), self.dividers[to].handle_request(self.clocks[to], request))
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let request = self.ask(from, to);
        let (from, answer) = self.answer(&request);
        self.holders[from].handle_response(&answer);
    }

    fn held(&self) -> u64 {
        self.holders.iter().zip(self.clocks).map(|(holder, now)| holder.share(now, "b")).sum()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    /// The first one leads, and all have a part.
    fn init_states(&self) -> Vec<State> {
        let lives = [1; MEMBERS];
        let start = self.times.lease_with_margin_ms() + 1;
        let mut state = State {
            clocks: [start; MEMBERS],
            missed: 0,
            ticks: 0,
            restarts: 0,
            lives,
            holders: (0..MEMBERS).map(|n| Holder::new(who(n, 1), 0, self.times)).collect(),
            dividers: (0..DIVIDERS)
                .map(|n| Allocator::new(who(n, 1), 0, self.times, MEMBERS as u32))
                .collect(),
            requests: Vec::new(),
            answers: Vec::new(),
        };
        for _ in 0..2 * self.times.lease_with_margin_ms() + 2 {
            (0..MEMBERS).for_each(|n| state.exchange(n, 0));
            state.clocks.iter_mut().for_each(|clock| *clock += 1);
        }
        (0..MEMBERS).for_each(|n| state.exchange(n, 0));
        assert!(state.held() > TOTAL_PPM / 2, "{state:?}");
        state.clocks.iter_mut().for_each(|clock| *clock += self.late);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.ticks {
            actions.push(Action::Tick(None));
            if state.missed < self.missed {
                actions.extend((0..MEMBERS).map(|n| Action::Tick(Some(n))));
            }
        }
        for to in 0..self.dividers {
            actions.extend(self.some.iter().map(|some| Action::Exchange(some, to)));
        }
        for from in 0..MEMBERS {
            for to in 0..self.dividers {
                if state.requests.len() + state.answers.len() < self.waiting {
                    actions.push(Action::Ask(from, to));
                }
            }
            if state.restarts < self.restarts {
                actions.push(Action::Restart(from));
            }
        }
        for n in 0..state.requests.len() {
            actions.extend([Action::Request(n, false), Action::Request(n, true)]);
        }
        for n in 0..state.answers.len() {
            actions.extend([Action::Answer(n, false), Action::Answer(n, true)]);
        }
        if self.waiting > 0 && state.requests.len() + state.answers.len() == self.waiting {
            actions.push(Action::Lose);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick(misses) => {
                state.ticks += 1;
                state.missed += u8::from(misses.is_some());
                for (n, clock) in state.clocks.iter_mut().enumerate() {
                    *clock += u64::from(misses != Some(n));
                }
            }
            Action::Exchange(some, to) => some.iter().for_each(|from| state.exchange(*from, to)),
            Action::Ask(from, to) => {
                let request = state.ask(from, to);
                state.requests.push(request);
            }
            Action::Request(n, again) => {
                let request = state.requests[n].clone();
                if !again {
                    state.requests.remove(n);
                }
                let answer = state.answer(&request);
                if state.requests.len() + state.answers.len() < self.waiting {
                    state.answers.push(answer);
                }
            }
            Action::Answer(n, again) => {
                let (to, answer) = state.answers[n].clone();
                if !again {
                    state.answers.remove(n);
                }
                state.holders[to].handle_response(&answer);
            }
            Action::Lose => {
                state.requests.clear();
                state.answers.clear();
            }
            Action::Restart(n) => {
                state.restarts += 1;
                state.lives[n] += 1;
                let me = who(n, state.lives[n]);
                state.holders[n] = Holder::new(me.clone(), state.clocks[n], self.times);
                if n < DIVIDERS {
                    state.dividers[n] = Allocator::new(me, state.clocks[n], self.times, MEMBERS as u32);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more than the whole", |_, state: &State| state.held() <= TOTAL_PPM),
            Property::sometimes("the second one divides", |_, state: &State| {
                state.dividers[1].is_leader(state.clocks[1]) && state.held() > 0
            }),
        ]
    }
}

fn check(fleet: Fleet, states: usize) -> (usize, usize, std::time::Duration, bool, bool) {
    let begun = std::time::Instant::now();
    let checker = fleet.checker().threads(4).target_state_count(states).spawn_bfs().join();
    let (never, second) =
        (checker.discovery("never more than the whole"), checker.discovery("the second one divides"));
    if let Some(path) = never {
        println!("{}", path.into_actions().iter().map(|a| format!("{a:?}")).collect::<Vec<_>>().join(", "));
        return (checker.unique_state_count(), checker.max_depth(), begun.elapsed(), false, second.is_some());
    }
    (checker.unique_state_count(), checker.max_depth(), begun.elapsed(), true, second.is_some())
}

const STATES: usize = if cfg!(debug_assertions) { 60_000 } else { 3_000_000 };
const TIMES: LeaseTimes = LeaseTimes { lease_ms: 3, clock_margin_ms: 1 };

/// With the margin that covers what clocks miss: no state passes the whole.
#[test]
fn no_order_of_events_passes_the_whole() {
    let base = || Fleet {
        times: TIMES,
        some: ANY,
        late: 0,
        dividers: 2,
        ticks: 12,
        missed: 1,
        restarts: 1,
        waiting: 0,
    };
    for (what, fleet) in [
        ("messages one at a time", Fleet { waiting: 1, ..base() }),
        ("messages two at a time, late", Fleet { waiting: 2, late: 2, restarts: 0, ..base() }),
        ("whole exchanges", base()),
        ("cut", Fleet { some: CUT, late: 1, restarts: 0, ticks: 6, ..base() }),
        ("cut and started again", Fleet { some: CUT, late: 1, ticks: 6, missed: 0, ..base() }),
    ] {
        let cut = what.starts_with("cut");
        let (states, depth, took, never, second) = check(fleet, if cut { 3 * STATES } else { STATES });
        println!("{what}: {states} states, {depth} deep, {took:.1?}; the second one divides: {second}");
        assert!(never, "{what}");
        assert!(second || what != "cut", "the second one's reign is not among what is checked");
    }
}

/// The checker can find what it looks for: without the margin it does.
#[test]
fn without_the_margin_the_checker_finds_it() {
    let times = LeaseTimes { lease_ms: 3, clock_margin_ms: 0 };
    let fleet =
        Fleet { times, some: LAST, late: 0, dividers: 1, ticks: 3, missed: 1, restarts: 0, waiting: 0 };
    let (states, depth, took, never, _) = check(fleet, 20 * STATES);
    println!("without the margin: found among {states} states, {depth} deep, {took:.1?}");
    assert!(!never);
}
