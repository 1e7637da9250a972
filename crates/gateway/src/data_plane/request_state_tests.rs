//! Exhaustive exploration of one request, breadth first: every sequence of decisions, worker behaviour and connection
//! faults. Each world keeps the truth (what a worker has run or still may run) beside the state under test. Responses of
//! workers are judged by the production code.

use super::*;
use crate::transport::upstream_pool::exchange::{classify, is_acceptable, response_owner, ResponseOwner};
use crate::transport::upstream_pool::UpstreamResponse;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use googletest::prelude::*;
use std::collections::{HashSet, VecDeque};

/// Faults injected into the state or around it; the exploration must find each.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    TimeoutTakenAsNotRun,
    ResetTakenAsNotRun,
    DispatchedWhileInFlight,
    TooManyDispatches,
    NotExecutedAfterDispatch,
    NotExecutedWhileInFlight,
    ShutdownTakenAsNotDispatched,
    AnsweredTwice,
    RefundedTwice,
    RefundedThoughRun,
    NeverRefunded,
    StalledRequestIgnored,
    AttemptIdIgnored,
    SealIgnored,
    NotExecutedHeaderAssumed,
    DispatchedAfterDisconnect,
}

const FAULTS: [Fault; 16] = [
    Fault::TimeoutTakenAsNotRun,
    Fault::ResetTakenAsNotRun,
    Fault::DispatchedWhileInFlight,
    Fault::TooManyDispatches,
    Fault::NotExecutedAfterDispatch,
    Fault::NotExecutedWhileInFlight,
    Fault::ShutdownTakenAsNotDispatched,
    Fault::AnsweredTwice,
    Fault::RefundedTwice,
    Fault::RefundedThoughRun,
    Fault::NeverRefunded,
    Fault::StalledRequestIgnored,
    Fault::AttemptIdIgnored,
    Fault::SealIgnored,
    Fault::NotExecutedHeaderAssumed,
    Fault::DispatchedAfterDisconnect,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Written {
    Nothing,
    Partial,
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fate {
    /// The worker has not decided yet, whatever has reached it.
    Open,
    Ran,
    Rejected,
}

/// What truly became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AttemptTruth {
    attempt: u32,
    is_in_flight: bool,
    written: Written,
    fate: Fate,
    /// Whether it ended in a way that says it has not run.
    is_reported_not_run: bool,
}

#[derive(Clone, Debug)]
struct World {
    state: RequestState,
    attempts: Vec<AttemptTruth>,
    runs: u32,
    asked: u32,
    has_actions_pending: bool,
    is_charged: bool,
    units_charged: i8,
    answer: Option<FinalResponse>,
    is_client_gone: bool,
}

/// Responses of a worker; the first three only to what ran, the next two only to what it rejected.
const RESPONSES: [(u16, &[(&str, &str)]); 12] = [
    (200, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (500, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (504, &[("x-attempt-id", "id-1")]),
    (503, &[("x-attempt-id", "id-1"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-1")]),
    // To an earlier request on this connection, or to none.
    (200, &[("x-attempt-id", "id-0"), ("x-server-seal", "s")]),
    (503, &[("x-attempt-id", "id-0"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-0")]),
    (503, &[("x-not-executed", "1")]),
    (200, &[("x-server-seal", "s")]),
    // From a faulty worker.
    (200, &[("x-attempt-id", "id-1")]),
    (503, &[("x-attempt-id", "id-1")]),
];

#[derive(Clone, Copy, Debug)]
enum Step {
    Admit(bool),
    RateLimit,
    Dispatch,
    GiveUp,
    Shutdown,
    ActionsDone,
    Disconnect,
    Write(usize, Written),
    Runs(usize),
    Rejects(usize),
    AttemptEnds(usize, Ending),
    Responds(usize, usize),
}

fn head(response: usize) -> ResponseHead {
    let (status, headers) = RESPONSES[response];
    let mut head = ResponseHead::new(StatusCode::from_u16(status).expect("a status"));
    for (name, value) in headers {
        head.headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    head
}

impl World {
    fn new(is_idempotent: bool, max_dispatches: u32) -> Self {
        World {
            state: RequestState::new(is_idempotent, max_dispatches),
            attempts: Vec::new(),
            runs: 0,
            asked: 0,
            has_actions_pending: false,
            is_charged: false,
            units_charged: 0,
            answer: None,
            is_client_gone: false,
        }
    }

    fn key(&self) -> String {
        format!("{self:?}")
    }

    /// Everything that can happen next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.state.awaits_admission {
            steps.extend([Step::Admit(true), Step::Admit(false), Step::RateLimit]);
        } else {
            if self.asked < self.state.max_dispatches + 1 {
                steps.push(Step::Dispatch);
            }
            steps.push(Step::GiveUp);
        }
        steps.extend(self.has_actions_pending.then_some(Step::ActionsDone));
        if !self.is_client_gone && self.answer.is_none() {
            steps.extend([Step::Disconnect, Step::Shutdown]);
        }
        for (n, attempt) in self.attempts.iter().enumerate() {
            let reached = attempt.written != Written::Nothing;
            if reached && attempt.fate == Fate::Open {
                // Also long after the attempt has ended here.
                steps.extend([Step::Runs(n), Step::Rejects(n)]);
            }
            if !attempt.is_in_flight {
                continue;
            }
            if self.state.is_idempotent {
                steps.push(Step::AttemptEnds(n, Ending::Cancelled));
            }
            match attempt.written {
                Written::Nothing => {
                    steps
                        .extend([Written::Partial, Written::Complete].map(|written| Step::Write(n, written)));
                    steps.extend([Ending::ConnectFailed, Ending::NotSent].map(|e| Step::AttemptEnds(n, e)));
                }
                written => {
                    steps.extend((written == Written::Partial).then_some(Step::Write(n, Written::Complete)));
                    steps.extend(
                        [Ending::Reset, Ending::Timeout, Ending::Error].map(|e| Step::AttemptEnds(n, e)),
                    );
                    steps.extend(
                        (0..RESPONSES.len()).filter(|s| attempt.can_send(*s)).map(|s| Step::Responds(n, s)),
                    );
                }
            }
        }
        steps
    }

    fn end_attempt(
        &mut self,
        n: usize,
        mut ending: Ending,
        response_ok: Option<bool>,
        fault: Option<Fault>,
    ) -> Result<()> {
        if fault == Some(Fault::TimeoutTakenAsNotRun) && ending == Ending::Timeout
            || fault == Some(Fault::ResetTakenAsNotRun) && ending == Ending::Reset
        {
            ending = Ending::ConnectFailed;
        }
        let attempt = &mut self.attempts[n];
        (attempt.is_in_flight, attempt.is_reported_not_run) = (false, ending.never_ran());
        if attempt.is_reported_not_run
            && attempt.written != Written::Nothing
            && attempt.fate != Fate::Rejected
        {
            return fail!("attempt {} is reported as not run though it may run", attempt.attempt);
        }
        let number = attempt.attempt;
        let ended = self.state.end_attempt(number, ending, response_ok);
        verify_that!(ended, some(anything()))?;
        self.has_actions_pending = true;
        self.record_response(ended.and_then(|e| e.response), fault)
    }

    fn record_response(&mut self, answer: Option<FinalResponse>, fault: Option<Fault>) -> Result<()> {
        let Some(mut answer) = answer else { return Ok(()) };
        if fault == Some(Fault::NotExecutedAfterDispatch)
            && matches!(answer, FinalResponse::UpstreamFailed | FinalResponse::TimedOut)
        {
            answer = FinalResponse::NotExecuted(0.1);
        }
        if self.is_client_gone || self.answer.is_some() {
            return fail!("{answer:?} after {:?}, client gone: {}", self.answer, self.is_client_gone);
        }
        if let FinalResponse::Upstream(attempt) = answer {
            let ran =
                self.attempts.iter().any(|w| w.attempt == attempt && w.fate == Fate::Ran && !w.is_in_flight);
            verify_that!(ran, eq(true))?;
        }
        self.answer = Some(answer);
        Ok(())
    }

    /// Holds in every world.
    fn invariant(&self) -> Result<()> {
        if !self.state.is_idempotent {
            verify_that!(self.runs, le(1))?;
        }
        verify_that!(self.attempts.len(), le(self.state.max_dispatches as usize))?;
        let may_run =
            |w: &AttemptTruth| w.fate == Fate::Ran || w.fate == Fate::Open && w.written != Written::Nothing;
        if matches!(self.answer, Some(FinalResponse::RateLimited(_) | FinalResponse::NotExecuted(_))) {
            verify_that!(self.attempts.iter().any(|w| may_run(w) || w.is_in_flight), eq(false))?;
        }
        if self.is_finished() {
            let is_kept = self.is_charged && self.attempts.iter().any(|w| !w.is_reported_not_run);
            verify_that!(self.units_charged, eq(i8::from(is_kept)))?;
            verify_that!(self.answer.is_some() || self.is_client_gone, eq(true))?;
        } else {
            // Something moves the request forward: an attempt in flight or a wait for the quota leader, which both time out,
            // or actions that are being carried out.
            let is_moving = self.state.awaits_admission
                || self.has_actions_pending
                || self.attempts.iter().any(|w| w.is_in_flight);
            verify_that!(is_moving, eq(true))?;
        }
        verify_that!(self.units_charged, ge(0))
    }

    fn is_finished(&self) -> bool {
        self.state.is_answered && self.state.in_flight.is_empty()
    }

    fn apply(&self, step: Step, fault: Option<Fault>) -> Result<World> {
        let mut w = self.clone();
        match step {
            Step::Admit(charged) => {
                w.state.admit(charged);
                (w.is_charged, w.units_charged, w.has_actions_pending) = (charged, i8::from(charged), true);
            }
            Step::RateLimit => {
                let response = w.state.rate_limit(1.0);
                w.record_response(response, fault)?;
            }
            Step::Dispatch => w.dispatch(fault)?,
            Step::GiveUp => {
                let out = w.state.in_flight.clone();
                if fault == Some(Fault::NotExecutedWhileInFlight) {
                    w.state.in_flight.clear();
                }
                let response = w.state.give_up(0.1);
                w.state.in_flight = out;
                w.record_response(response, fault)?;
            }
            Step::Shutdown => {
                let out = w.state.in_flight.clone();
                if fault == Some(Fault::ShutdownTakenAsNotDispatched) {
                    w.state.in_flight.clear();
                }
                let response = w.state.respond_now(0.1);
                w.state.in_flight = out;
                verify_that!(response, some(anything()))?;
                w.record_response(response, fault)?;
            }
            Step::ActionsDone => {
                w.has_actions_pending = false;
                if fault == Some(Fault::AnsweredTwice) {
                    w.state.is_answered = false;
                }
                if fault != Some(Fault::StalledRequestIgnored) {
                    let response = w.state.give_up_if_stalled(0.1);
                    w.record_response(response, fault)?;
                }
            }
            Step::Disconnect => {
                w.is_client_gone = true;
                let may_cancel = w.state.client_disconnected();
                verify_that!(may_cancel || !w.state.is_idempotent, eq(true))?;
            }
            Step::Write(n, written) => w.attempts[n].written = written,
            Step::Runs(n) => (w.attempts[n].fate, w.runs) = (Fate::Ran, w.runs + 1),
            Step::Rejects(n) => w.attempts[n].fate = Fate::Rejected,
            Step::AttemptEnds(n, ending) => w.end_attempt(n, ending, None, fault)?,
            Step::Responds(n, response) => w.receive_response(n, response, fault)?,
        }
        let settlement = w.state.settle();
        let refund = match fault {
            Some(Fault::RefundedTwice) => {
                settlement.is_finished && w.is_charged && w.attempts.iter().all(|w| w.is_reported_not_run)
            }
            Some(Fault::RefundedThoughRun) => {
                settlement.refund || settlement.is_finished && w.is_charged && w.units_charged == 1
            }
            Some(Fault::NeverRefunded) => false,
            _ => settlement.refund,
        };
        w.units_charged -= i8::from(refund);
        w.invariant()?;
        Ok(w)
    }

    /// The decision module asks for an attempt.
    fn dispatch(&mut self, fault: Option<Fault>) -> Result<()> {
        self.asked += 1;
        let before = self.state.clone();
        match fault {
            Some(Fault::DispatchedWhileInFlight) => self.state.is_idempotent = true,
            Some(Fault::TooManyDispatches) => self.state.max_dispatches += 1,
            Some(Fault::DispatchedAfterDisconnect) => self.state.is_answered = false,
            _ => {}
        }
        let decision = self.state.begin_attempt(0.0);
        self.state.is_idempotent = before.is_idempotent;
        self.state.max_dispatches = before.max_dispatches;
        self.state.is_answered = before.is_answered;
        match decision {
            DispatchDecision::Send(attempt) if before.is_answered => {
                fail!("attempt {attempt} is sent after the response")
            }
            DispatchDecision::Send(attempt) => {
                self.attempts.push(AttemptTruth {
                    attempt,
                    is_in_flight: true,
                    written: Written::Nothing,
                    fate: Fate::Open,
                    is_reported_not_run: false,
                });
                Ok(())
            }
            DispatchDecision::Withhold(attempt) => {
                let ended = self.state.end_attempt(attempt, Ending::NotSent, None);
                self.has_actions_pending = true;
                self.record_response(ended.and_then(|e| e.response), fault)
            }
        }
    }

    /// A response arrives on an attempt's connection.
    fn receive_response(&mut self, n: usize, response: usize, fault: Option<Fault>) -> Result<()> {
        let mut head = head(response);
        let id = HeaderValue::from_static("id-1");
        match fault {
            Some(Fault::AttemptIdIgnored) => {
                head.headers.insert(HeaderName::from_static("x-attempt-id"), id.clone());
            }
            Some(Fault::SealIgnored) => {
                head.headers.insert(HeaderName::from_static("x-server-seal"), id.clone());
            }
            Some(Fault::NotExecutedHeaderAssumed) if head.status == StatusCode::SERVICE_UNAVAILABLE => {
                head.headers.insert(HeaderName::from_static("x-not-executed"), id.clone());
            }
            _ => {}
        }
        match response_owner(&head, &id) {
            // Skipped; the response is still waited for.
            ResponseOwner::OtherRequest => return Ok(()),
            ResponseOwner::Unidentified => return self.end_attempt(n, Ending::Error, None, fault),
            ResponseOwner::ThisRequest if !is_acceptable(&head) => {
                return self.end_attempt(n, Ending::Error, None, fault)
            }
            ResponseOwner::ThisRequest => {}
        }
        let reply =
            UpstreamResponse { status: head.status, headers: head.headers.clone(), body: Default::default() };
        let ended = classify(reply);
        let response_ok = ended.response.is_some().then_some(ended.ending == Ending::Ok);
        if response_ok == Some(true) {
            // What a client takes as success carries the worker's seal and this attempt's id.
            let names = |name: &str| RESPONSES[response].1.iter().any(|(n, _)| *n == name);
            verify_that!(names("x-attempt-id") && names("x-server-seal"), eq(true))?;
            verify_that!(RESPONSES[response].1[0].1, eq("id-1"))?;
        }
        self.end_attempt(n, ended.ending, response_ok, fault)
    }
}

impl AttemptTruth {
    fn can_send(&self, response: usize) -> bool {
        match response {
            0..=2 => self.fate == Fate::Ran,
            3 | 4 => self.fate == Fate::Rejected,
            _ => true,
        }
    }
}

/// Numbers of worlds and steps reachable, and the first violation.
fn explore(is_idempotent: bool, max_dispatches: u32, fault: Option<Fault>) -> (usize, usize, Option<String>) {
    let first = World::new(is_idempotent, max_dispatches);
    let mut seen = HashSet::from([first.key()]);
    let mut next = VecDeque::from([first]);
    let mut steps = 0;
    while let Some(world) = next.pop_front() {
        for step in world.steps() {
            steps += 1;
            match world.apply(step, fault) {
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
fn no_sequence_of_steps_violates_an_invariant_or_ends_without_a_response() {
    for (is_idempotent, max_dispatches) in [(false, 1), (false, 2), (false, 3), (true, 1), (true, 2)] {
        let (worlds, steps, broken) = explore(is_idempotent, max_dispatches, None);
        println!("idempotent: {is_idempotent}, dispatches: {max_dispatches} at most: {worlds} worlds, {steps} steps");
        expect_that!(broken, none());
        expect_that!(worlds, gt(100));
    }
}

#[gtest]
fn each_injected_fault_is_found() {
    for fault in FAULTS {
        let found = [(false, 2), (true, 2)].into_iter().find_map(|(r, m)| explore(r, m, Some(fault)).2);
        println!("{fault:?}: {}", found.as_deref().unwrap_or("not found"));
        expect_that!(found, some(anything()), "{fault:?}");
    }
}
