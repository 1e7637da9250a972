//! Model check of one request: explores breadth first every sequence of decisions, worker behaviour and connection faults.
//! Each model state holds the state under test and the ground truth, that is, what workers have run or may still run.
//! Responses of workers are classified by the production code.

use super::*;
use crate::transport::upstream_pool::exchange::{classify, is_acceptable, response_owner, ResponseOwner};
use crate::transport::upstream_pool::UpstreamResponse;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use googletest::prelude::*;
use std::collections::{HashSet, VecDeque};

/// Faults that are injected into the state under test or its surroundings; the exploration must detect each of them.
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

/// How much of a request has been written to the worker's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Written {
    Nothing,
    Partial,
    Complete,
}

/// What the worker has done with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WorkerOutcome {
    /// The worker has neither run nor rejected the attempt. If any byte has reached it, it may still do either.
    Undecided,
    Ran,
    Rejected,
}

/// Ground truth about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AttemptTruth {
    attempt: u32,
    is_in_flight: bool,
    written: Written,
    outcome: WorkerOutcome,
    /// Whether the reported end of the attempt implies that the request has not run.
    is_reported_not_run: bool,
}

/// A state of the model: the request state under test, and the ground truth.
#[derive(Clone, Debug)]
struct ModelState {
    state: RequestState,
    attempts: Vec<AttemptTruth>,
    /// Number of times that workers have run the request.
    runs: u32,
    /// Number of attempts that the decision module has requested.
    requested_attempts: u32,
    /// Whether the edge node still performs actions of the decision module.
    has_actions_pending: bool,
    is_charged: bool,
    units_charged: i8,
    response: Option<FinalResponse>,
    has_disconnected: bool,
}

/// Responses of a worker. Responses 0 to 2 are sent only to attempts that ran, 3 and 4 only to attempts that were rejected.
const RESPONSES: [(u16, &[(&str, &str)]); 12] = [
    (200, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (500, &[("x-attempt-id", "id-1"), ("x-server-seal", "s")]),
    (504, &[("x-attempt-id", "id-1")]),
    (503, &[("x-attempt-id", "id-1"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-1")]),
    // Responses to an earlier request on the same connection, or without an attempt id.
    (200, &[("x-attempt-id", "id-0"), ("x-server-seal", "s")]),
    (503, &[("x-attempt-id", "id-0"), ("x-not-executed", "1")]),
    (421, &[("x-attempt-id", "id-0")]),
    (503, &[("x-not-executed", "1")]),
    (200, &[("x-server-seal", "s")]),
    // Responses of a faulty worker.
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

impl ModelState {
    fn new(is_idempotent: bool, max_dispatches: u32) -> Self {
        ModelState {
            state: RequestState::new(is_idempotent, max_dispatches),
            attempts: Vec::new(),
            runs: 0,
            requested_attempts: 0,
            has_actions_pending: false,
            is_charged: false,
            units_charged: 0,
            response: None,
            has_disconnected: false,
        }
    }

    fn key(&self) -> String {
        format!("{self:?}")
    }

    /// All steps that are possible in this state.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.state.awaits_admission {
            steps.extend([Step::Admit(true), Step::Admit(false), Step::RateLimit]);
        } else {
            if self.requested_attempts < self.state.max_dispatches + 1 {
                steps.push(Step::Dispatch);
            }
            steps.push(Step::GiveUp);
        }
        steps.extend(self.has_actions_pending.then_some(Step::ActionsDone));
        if !self.has_disconnected && self.response.is_none() {
            steps.extend([Step::Disconnect, Step::Shutdown]);
        }
        for (n, attempt) in self.attempts.iter().enumerate() {
            let has_reached_worker = attempt.written != Written::Nothing;
            if has_reached_worker && attempt.outcome == WorkerOutcome::Undecided {
                // A worker may decide long after the attempt has ended at the edge node.
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
            && attempt.outcome != WorkerOutcome::Rejected
        {
            return fail!("attempt {} is reported as not run though it may run", attempt.attempt);
        }
        let number = attempt.attempt;
        let ended = self.state.end_attempt(number, ending, response_ok);
        verify_that!(ended, some(anything()))?;
        self.has_actions_pending = true;
        self.record_response(ended.and_then(|e| e.response), fault)
    }

    fn record_response(&mut self, response: Option<FinalResponse>, fault: Option<Fault>) -> Result<()> {
        let Some(mut response) = response else { return Ok(()) };
        if fault == Some(Fault::NotExecutedAfterDispatch)
            && matches!(response, FinalResponse::UpstreamFailed | FinalResponse::TimedOut)
        {
            response = FinalResponse::NotExecuted(0.1);
        }
        if self.has_disconnected || self.response.is_some() {
            return fail!(
                "response {response:?} after response {:?}, client disconnected: {}",
                self.response,
                self.has_disconnected
            );
        }
        if let FinalResponse::Upstream(attempt) = response {
            let has_run = self
                .attempts
                .iter()
                .any(|a| a.attempt == attempt && a.outcome == WorkerOutcome::Ran && !a.is_in_flight);
            verify_that!(has_run, eq(true))?;
        }
        self.response = Some(response);
        Ok(())
    }

    /// Verifies the invariants that hold in every state.
    fn verify_invariants(&self) -> Result<()> {
        if !self.state.is_idempotent {
            verify_that!(self.runs, le(1))?;
        }
        verify_that!(self.attempts.len(), le(self.state.max_dispatches as usize))?;
        let may_have_run = |a: &AttemptTruth| {
            a.outcome == WorkerOutcome::Ran
                || a.outcome == WorkerOutcome::Undecided && a.written != Written::Nothing
        };
        if matches!(self.response, Some(FinalResponse::RateLimited(_) | FinalResponse::NotExecuted(_))) {
            verify_that!(self.attempts.iter().any(|a| may_have_run(a) || a.is_in_flight), eq(false))?;
        }
        if self.is_finished() {
            let keeps_charge = self.is_charged && self.attempts.iter().any(|a| !a.is_reported_not_run);
            verify_that!(self.units_charged, eq(i8::from(keeps_charge)))?;
            verify_that!(self.response.is_some() || self.has_disconnected, eq(true))?;
        } else {
            // Liveness: the request has an attempt in flight or waits for the quota leader, both of which time out, or
            // actions of the decision module are still performed.
            let can_progress = self.state.awaits_admission
                || self.has_actions_pending
                || self.attempts.iter().any(|a| a.is_in_flight);
            verify_that!(can_progress, eq(true))?;
        }
        verify_that!(self.units_charged, ge(0))
    }

    fn is_finished(&self) -> bool {
        self.state.is_answered && self.state.in_flight.is_empty()
    }

    /// Returns the state after a step, or the invariant that the step violates.
    fn apply(&self, step: Step, fault: Option<Fault>) -> Result<ModelState> {
        let mut next = self.clone();
        match step {
            Step::Admit(charged) => {
                next.state.admit(charged);
                (next.is_charged, next.units_charged, next.has_actions_pending) =
                    (charged, i8::from(charged), true);
            }
            Step::RateLimit => {
                let response = next.state.rate_limit(1.0);
                next.record_response(response, fault)?;
            }
            Step::Dispatch => next.dispatch(fault)?,
            Step::GiveUp => {
                let in_flight = next.state.in_flight.clone();
                if fault == Some(Fault::NotExecutedWhileInFlight) {
                    next.state.in_flight.clear();
                }
                let response = next.state.give_up(0.1);
                next.state.in_flight = in_flight;
                next.record_response(response, fault)?;
            }
            Step::Shutdown => {
                let in_flight = next.state.in_flight.clone();
                if fault == Some(Fault::ShutdownTakenAsNotDispatched) {
                    next.state.in_flight.clear();
                }
                let response = next.state.respond_now(0.1);
                next.state.in_flight = in_flight;
                verify_that!(response, some(anything()))?;
                next.record_response(response, fault)?;
            }
            Step::ActionsDone => {
                next.has_actions_pending = false;
                if fault == Some(Fault::AnsweredTwice) {
                    next.state.is_answered = false;
                }
                if fault != Some(Fault::StalledRequestIgnored) {
                    let response = next.state.give_up_if_stalled(0.1);
                    next.record_response(response, fault)?;
                }
            }
            Step::Disconnect => {
                next.has_disconnected = true;
                let may_cancel = next.state.client_disconnected();
                verify_that!(may_cancel || !next.state.is_idempotent, eq(true))?;
            }
            Step::Write(n, written) => next.attempts[n].written = written,
            Step::Runs(n) => (next.attempts[n].outcome, next.runs) = (WorkerOutcome::Ran, next.runs + 1),
            Step::Rejects(n) => next.attempts[n].outcome = WorkerOutcome::Rejected,
            Step::AttemptEnds(n, ending) => next.end_attempt(n, ending, None, fault)?,
            Step::Responds(n, response) => next.receive_response(n, response, fault)?,
        }
        let settlement = next.state.settle();
        let refund = match fault {
            Some(Fault::RefundedTwice) => {
                settlement.is_finished
                    && next.is_charged
                    && next.attempts.iter().all(|a| a.is_reported_not_run)
            }
            Some(Fault::RefundedThoughRun) => {
                settlement.refund || settlement.is_finished && next.is_charged && next.units_charged == 1
            }
            Some(Fault::NeverRefunded) => false,
            _ => settlement.refund,
        };
        next.units_charged -= i8::from(refund);
        next.verify_invariants()?;
        Ok(next)
    }

    /// Performs the request of the decision module for another attempt.
    fn dispatch(&mut self, fault: Option<Fault>) -> Result<()> {
        self.requested_attempts += 1;
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
                    outcome: WorkerOutcome::Undecided,
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

    /// Handles a response that arrives on an attempt's connection.
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
            // The response is discarded, and the attempt still waits for its own.
            ResponseOwner::OtherRequest => return Ok(()),
            ResponseOwner::Unidentified => return self.end_attempt(n, Ending::Error, None, fault),
            ResponseOwner::ThisRequest if !is_acceptable(&head) => {
                return self.end_attempt(n, Ending::Error, None, fault)
            }
            ResponseOwner::ThisRequest => {}
        }
        let upstream_response =
            UpstreamResponse { status: head.status, headers: head.headers.clone(), body: Default::default() };
        let ended = classify(upstream_response);
        let response_ok = ended.response.is_some().then_some(ended.ending == Ending::Ok);
        if response_ok == Some(true) {
            // A successful response carries the worker's seal and the id of this attempt.
            let has_header = |name: &str| RESPONSES[response].1.iter().any(|(n, _)| *n == name);
            verify_that!(has_header("x-attempt-id") && has_header("x-server-seal"), eq(true))?;
            verify_that!(RESPONSES[response].1[0].1, eq("id-1"))?;
        }
        self.end_attempt(n, ended.ending, response_ok, fault)
    }
}

impl AttemptTruth {
    fn can_send(&self, response: usize) -> bool {
        match response {
            0..=2 => self.outcome == WorkerOutcome::Ran,
            3 | 4 => self.outcome == WorkerOutcome::Rejected,
            _ => true,
        }
    }
}

/// Explores all reachable states. Returns the numbers of states and steps, and the first violation.
fn explore(is_idempotent: bool, max_dispatches: u32, fault: Option<Fault>) -> (usize, usize, Option<String>) {
    let initial = ModelState::new(is_idempotent, max_dispatches);
    let mut seen = HashSet::from([initial.key()]);
    let mut unexplored = VecDeque::from([initial]);
    let mut steps = 0;
    while let Some(state) = unexplored.pop_front() {
        for step in state.steps() {
            steps += 1;
            match state.apply(step, fault) {
                Ok(successor) => {
                    if seen.insert(successor.key()) {
                        unexplored.push_back(successor);
                    }
                }
                Err(error) => return (seen.len(), steps, Some(format!("{step:?} in {state:?}: {error}"))),
            }
        }
    }
    (seen.len(), steps, None)
}

#[gtest]
fn no_sequence_of_steps_violates_an_invariant_or_ends_without_a_response() {
    for (is_idempotent, max_dispatches) in [(false, 1), (false, 2), (false, 3), (true, 1), (true, 2)] {
        let (states, steps, violation) = explore(is_idempotent, max_dispatches, None);
        println!("idempotent: {is_idempotent}, dispatches: at most {max_dispatches}: {states} states, {steps} steps");
        expect_that!(violation, none());
        expect_that!(states, gt(100));
    }
}

#[gtest]
fn every_injected_fault_is_detected() {
    for fault in FAULTS {
        let violation = [(false, 2), (true, 2)].into_iter().find_map(|(is_idempotent, max_dispatches)| {
            explore(is_idempotent, max_dispatches, Some(fault)).2
        });
        println!("{fault:?}: {}", violation.as_deref().unwrap_or("not found"));
        expect_that!(violation, some(anything()), "{fault:?}");
    }
}
