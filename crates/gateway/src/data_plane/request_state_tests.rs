//! Every course that one request can take, whatever its decision module asks for, its workers do and its
//! connections suffer: breadth first, to the end. The worlds' truth (what a worker has run or still may) is kept
//! beside the machine, and what workers say is judged by the program's own code.

use super::*;
use crate::transport::upstream_pool::exchange::{is_sound, judge, whose, ResponseOwner};
use crate::transport::upstream_pool::UpstreamResponse;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use googletest::prelude::*;
use std::collections::{HashSet, VecDeque};

/// Faults put into the machine or round it; each must be found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    SilenceTakenForUnrun,
    CutTakenForUnrun,
    SentAgainThoughOut,
    SentTooOften,
    PromisedThoughSent,
    PromisedWhileOut,
    AbandonedAsUnsent,
    AnsweredTwice,
    TakenBackTwice,
    TakenBackThoughRun,
    NeverTakenBack,
    NothingAfterGivingUp,
    IdNotLookedAt,
    StampNotLookedAt,
    PromiseWithoutWord,
    ResentAfterClientLeft,
}

const FAULTS: [Fault; 16] = [
    Fault::SilenceTakenForUnrun,
    Fault::CutTakenForUnrun,
    Fault::SentAgainThoughOut,
    Fault::SentTooOften,
    Fault::PromisedThoughSent,
    Fault::PromisedWhileOut,
    Fault::AbandonedAsUnsent,
    Fault::AnsweredTwice,
    Fault::TakenBackTwice,
    Fault::TakenBackThoughRun,
    Fault::NeverTakenBack,
    Fault::NothingAfterGivingUp,
    Fault::IdNotLookedAt,
    Fault::StampNotLookedAt,
    Fault::PromiseWithoutWord,
    Fault::ResentAfterClientLeft,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Written {
    Nothing,
    Part,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fate {
    /// Whatever reached the worker, it has made nothing of it yet.
    Open,
    Ran,
    TurnedAway,
}

/// An attempt in truth.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wire {
    attempt: u32,
    out: bool,
    written: Written,
    fate: Fate,
    /// Did it end so that it can't have run?
    unrun: bool,
}

#[derive(Clone, Debug)]
struct World {
    machine: RequestState,
    wires: Vec<Wire>,
    runs: u32,
    asked: u32,
    turn: bool,
    charged: bool,
    unit: i8,
    answer: Option<FinalResponse>,
    gone: bool,
}

/// What a worker may say; the first three only of what ran, the next two only of what it turned away.
const SAID: [(u16, &[(&str, &str)]); 12] = [
    (200, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (500, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (504, &[("x-attempt-id", "id-1")]),
    (503, &[("x-attempt-id", "id-1"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-1")]),
    // Of what was sent before on this connection, or of nobody.
    (200, &[("x-attempt-id", "id-0"), ("x-server-seal", "s")]),
    (503, &[("x-attempt-id", "id-0"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-0")]),
    (503, &[("x-not-executed", "1")]),
    (200, &[("x-server-seal", "s")]),
    // In trouble.
    (200, &[("x-attempt-id", "id-1")]),
    (503, &[("x-attempt-id", "id-1")]),
];

#[derive(Clone, Copy, Debug)]
enum Step {
    Admitted(bool),
    Limited,
    Dispatch,
    GiveUp,
    Abandon,
    TurnOver,
    Leave,
    Write(usize, Written),
    Runs(usize),
    TurnsAway(usize),
    Ends(usize, Ending),
    Says(usize, usize),
}

fn head(said: usize) -> ResponseHead {
    let (status, headers) = SAID[said];
    let mut head = ResponseHead::new(StatusCode::from_u16(status).expect("a status"));
    for (name, value) in headers {
        head.headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    head
}

impl World {
    fn new(repeatable: bool, most: u32) -> Self {
        World {
            machine: RequestState::new(repeatable, most),
            wires: Vec::new(),
            runs: 0,
            asked: 0,
            turn: false,
            charged: false,
            unit: 0,
            answer: None,
            gone: false,
        }
    }

    fn key(&self) -> String {
        format!("{self:?}")
    }

    /// All that can happen next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.machine.awaits_admission {
            steps.extend([Step::Admitted(true), Step::Admitted(false), Step::Limited]);
        } else {
            if self.asked < self.machine.max_dispatches + 1 {
                steps.push(Step::Dispatch);
            }
            steps.push(Step::GiveUp);
        }
        steps.extend(self.turn.then_some(Step::TurnOver));
        if !self.gone && self.answer.is_none() {
            steps.extend([Step::Leave, Step::Abandon]);
        }
        for (n, wire) in self.wires.iter().enumerate() {
            let reached = wire.written != Written::Nothing;
            if reached && wire.fate == Fate::Open {
                // Also long after everybody has given it up.
                steps.extend([Step::Runs(n), Step::TurnsAway(n)]);
            }
            if !wire.out {
                continue;
            }
            if self.machine.is_idempotent {
                steps.push(Step::Ends(n, Ending::Cancelled));
            }
            match wire.written {
                Written::Nothing => {
                    steps.extend([Written::Part, Written::Whole].map(|written| Step::Write(n, written)));
                    steps.extend([Ending::ConnectFailed, Ending::Moot].map(|e| Step::Ends(n, e)));
                }
                written => {
                    steps.extend((written == Written::Part).then_some(Step::Write(n, Written::Whole)));
                    steps.extend([Ending::Reset, Ending::Timeout, Ending::Error].map(|e| Step::Ends(n, e)));
                    steps.extend((0..SAID.len()).filter(|s| wire.may_say(*s)).map(|s| Step::Says(n, s)));
                }
            }
        }
        steps
    }

    fn ends(
        &mut self,
        n: usize,
        mut ending: Ending,
        whole: Option<bool>,
        fault: Option<Fault>,
    ) -> Result<()> {
        if fault == Some(Fault::SilenceTakenForUnrun) && ending == Ending::Timeout
            || fault == Some(Fault::CutTakenForUnrun) && ending == Ending::Reset
        {
            ending = Ending::ConnectFailed;
        }
        let wire = &mut self.wires[n];
        (wire.out, wire.unrun) = (false, ending.never_ran());
        if wire.unrun && wire.written != Written::Nothing && wire.fate != Fate::TurnedAway {
            return fail!("attempt {} is believed not to have run", wire.attempt);
        }
        let attempt = wire.attempt;
        let ended = self.machine.end_attempt(attempt, ending, whole);
        verify_that!(ended, some(anything()))?;
        self.turn = true;
        self.told(ended.and_then(|e| e.response), fault)
    }

    fn told(&mut self, answer: Option<FinalResponse>, fault: Option<Fault>) -> Result<()> {
        let Some(mut answer) = answer else { return Ok(()) };
        if fault == Some(Fault::PromisedThoughSent)
            && matches!(answer, FinalResponse::UpstreamFailed | FinalResponse::TimedOut)
        {
            answer = FinalResponse::NotExecuted(0.1);
        }
        if self.gone || self.answer.is_some() {
            return fail!("{answer:?} after {:?}, client gone: {}", self.answer, self.gone);
        }
        if let FinalResponse::Upstream(attempt) = answer {
            let ran = self.wires.iter().any(|w| w.attempt == attempt && w.fate == Fate::Ran && !w.out);
            verify_that!(ran, eq(true))?;
        }
        self.answer = Some(answer);
        Ok(())
    }

    /// What is true in every world.
    fn invariant(&self) -> Result<()> {
        if !self.machine.is_idempotent {
            verify_that!(self.runs, le(1))?;
        }
        verify_that!(self.wires.len(), le(self.machine.max_dispatches as usize))?;
        let may_run = |w: &Wire| w.fate == Fate::Ran || w.fate == Fate::Open && w.written != Written::Nothing;
        if matches!(self.answer, Some(FinalResponse::RateLimited(_) | FinalResponse::NotExecuted(_))) {
            verify_that!(self.wires.iter().any(|w| may_run(w) || w.out), eq(false))?;
        }
        if self.over() {
            let kept = self.charged && self.wires.iter().any(|w| !w.unrun);
            verify_that!(self.unit, eq(i8::from(kept)))?;
            verify_that!(self.answer.is_some() || self.gone, eq(true))?;
        } else {
            // Something goes on by itself: an attempt is out, and attempts end in time; the counter is waited for, in
            // time; or a decision is being carried out.
            let goes_on = self.machine.awaits_admission || self.turn || self.wires.iter().any(|w| w.out);
            verify_that!(goes_on, eq(true))?;
        }
        verify_that!(self.unit, ge(0))
    }

    fn over(&self) -> bool {
        self.machine.is_answered && self.machine.in_flight.is_empty()
    }

    fn take(&self, step: Step, fault: Option<Fault>) -> Result<World> {
        let mut w = self.clone();
        match step {
            Step::Admitted(charged) => {
                w.machine.admit(charged);
                (w.charged, w.unit, w.turn) = (charged, i8::from(charged), true);
            }
            Step::Limited => {
                let answer = w.machine.rate_limit(1.0);
                w.told(answer, fault)?;
            }
            Step::Dispatch => {
                w.asked += 1;
                match fault {
                    Some(Fault::SentAgainThoughOut) => w.machine.is_idempotent = true,
                    Some(Fault::SentTooOften) => w.machine.max_dispatches += 1,
                    Some(Fault::ResentAfterClientLeft) => w.machine.is_answered = false,
                    _ => {}
                }
                let sending = w.machine.begin_attempt(0.0);
                let m = &self.machine;
                (w.machine.is_idempotent, w.machine.max_dispatches) = (m.is_idempotent, m.max_dispatches);
                w.machine.is_answered = m.is_answered;
                match sending {
                    DispatchDecision::Send(attempt) if m.is_answered => {
                        fail!("{attempt} goes out after the answer")?
                    }
                    DispatchDecision::Send(attempt) => w.wires.push(Wire {
                        attempt,
                        out: true,
                        written: Written::Nothing,
                        fate: Fate::Open,
                        unrun: false,
                    }),
                    DispatchDecision::Withhold(attempt) => {
                        let answer =
                            w.machine.end_attempt(attempt, Ending::Moot, None).and_then(|e| e.response);
                        w.turn = true;
                        w.told(answer, fault)?;
                    }
                }
            }
            Step::GiveUp => {
                let out = w.machine.in_flight.clone();
                if fault == Some(Fault::PromisedWhileOut) {
                    w.machine.in_flight.clear();
                }
                let answer = w.machine.give_up(0.1);
                w.machine.in_flight = out;
                w.told(answer, fault)?;
            }
            Step::Abandon => {
                let out = w.machine.in_flight.clone();
                if fault == Some(Fault::AbandonedAsUnsent) {
                    w.machine.in_flight.clear();
                }
                let answer = w.machine.respond_now(0.1);
                w.machine.in_flight = out;
                verify_that!(answer, some(anything()))?;
                w.told(answer, fault)?;
            }
            Step::TurnOver => {
                w.turn = false;
                if fault == Some(Fault::AnsweredTwice) {
                    w.machine.is_answered = false;
                }
                if fault != Some(Fault::NothingAfterGivingUp) {
                    let answer = w.machine.give_up_if_stalled(0.1);
                    w.told(answer, fault)?;
                }
            }
            Step::Leave => {
                w.gone = true;
                let may_call_off = w.machine.client_disconnected();
                verify_that!(may_call_off || !w.machine.is_idempotent, eq(true))?;
            }
            Step::Write(n, written) => w.wires[n].written = written,
            Step::Runs(n) => (w.wires[n].fate, w.runs) = (Fate::Ran, w.runs + 1),
            Step::TurnsAway(n) => w.wires[n].fate = Fate::TurnedAway,
            Step::Ends(n, ending) => w.ends(n, ending, None, fault)?,
            Step::Says(n, said) => w.says(n, said, fault)?,
        }
        let due = w.machine.settle();
        let take_back = match fault {
            Some(Fault::TakenBackTwice) => due.is_finished && w.charged && w.wires.iter().all(|w| w.unrun),
            Some(Fault::TakenBackThoughRun) => due.refund || due.is_finished && w.charged && w.unit == 1,
            Some(Fault::NeverTakenBack) => false,
            _ => due.refund,
        };
        w.unit -= i8::from(take_back);
        w.invariant()?;
        Ok(w)
    }

    /// An answer comes on an attempt's connection.
    fn says(&mut self, n: usize, said: usize, fault: Option<Fault>) -> Result<()> {
        let mut head = head(said);
        let id = HeaderValue::from_static("id-1");
        match fault {
            Some(Fault::IdNotLookedAt) => {
                head.headers.insert(HeaderName::from_static("x-attempt-id"), id.clone());
            }
            Some(Fault::StampNotLookedAt) => {
                head.headers.insert(HeaderName::from_static("x-server-seal"), id.clone());
            }
            Some(Fault::PromiseWithoutWord) if head.status == StatusCode::SERVICE_UNAVAILABLE => {
                head.headers.insert(HeaderName::from_static("x-not-executed"), id.clone());
            }
            _ => {}
        }
        match whose(&head, &id) {
            // Passed over; the answer is still waited for.
            ResponseOwner::Others => return Ok(()),
            ResponseOwner::Nobodys => return self.ends(n, Ending::Error, None, fault),
            ResponseOwner::Ours if !is_sound(&head) => return self.ends(n, Ending::Error, None, fault),
            ResponseOwner::Ours => {}
        }
        let reply =
            UpstreamResponse { status: head.status, headers: head.headers.clone(), body: Default::default() };
        let ended = judge(reply);
        let whole = ended.reply.is_some().then_some(ended.ending == Ending::Ok);
        if whole == Some(true) {
            // What a client takes for its success: this worker's, with its stamp and its id.
            let names = |name: &str| SAID[said].1.iter().any(|(n, _)| *n == name);
            verify_that!(names("x-attempt-id") && names("x-server-seal"), eq(true))?;
            verify_that!(SAID[said].1[0].1, eq("id-1"))?;
        }
        self.ends(n, ended.ending, whole, fault)
    }
}

impl Wire {
    fn may_say(&self, said: usize) -> bool {
        match said {
            0..=2 => self.fate == Fate::Ran,
            3 | 4 => self.fate == Fate::TurnedAway,
            _ => true,
        }
    }
}

/// Every world that can be reached, and the first in which something does not hold.
fn explore(repeatable: bool, most: u32, fault: Option<Fault>) -> (usize, usize, Option<String>) {
    let first = World::new(repeatable, most);
    let mut seen = HashSet::from([first.key()]);
    let mut next = VecDeque::from([first]);
    let mut steps = 0;
    while let Some(world) = next.pop_front() {
        for step in world.steps() {
            steps += 1;
            match world.take(step, fault) {
                Ok(then) => {
                    if seen.insert(then.key()) {
                        next.push_back(then);
                    }
                }
                Err(error) => return (seen.len(), steps, Some(format!("{step:?} in {world:?}: {error}"))),
            }
        }
    }
    (seen.len(), steps, None)
}

#[gtest]
fn no_course_of_a_request_breaks_a_promise_or_ends_without_an_answer() {
    for (repeatable, most) in [(false, 1), (false, 2), (false, 3), (true, 1), (true, 2)] {
        let (worlds, steps, broken) = explore(repeatable, most, None);
        println!("repeatable {repeatable}, most {most}: {worlds} worlds, {steps} steps");
        expect_that!(broken, none());
        expect_that!(worlds, gt(100));
    }
}

#[gtest]
fn each_fault_put_in_is_found() {
    for fault in FAULTS {
        let found = [(false, 2), (true, 2)].into_iter().find_map(|(r, m)| explore(r, m, Some(fault)).2);
        println!("{fault:?}: {}", found.as_deref().unwrap_or("not found"));
        expect_that!(found, some(anything()), "{fault:?}");
    }
}
