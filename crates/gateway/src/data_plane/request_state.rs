//! State of one request between its receipt and its final response.
//!
//! Whatever the decision module asks for, a request
//!
//! * is answered at most once, and always, unless its client disconnects;
//! * is not dispatched again once it may have run, unless it is idempotent;
//! * gets a response that promises "not executed" (429, 503) only if no worker has run it or ever will;
//! * gives its unit of quota back at most once, and only if it has not run.
//!
//! The state machine is pure: it performs no I/O and reads no clock.

use whinstall::Ending;

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The worker's response to the attempt of this number, unchanged.
    Upstream(u32),
    /// Over the tenant's quota and not executed; the client may retry after so many seconds.
    RateLimited(f64),
    /// Not executed, and it never will be; the client may retry after so many seconds, whether or not the request is
    /// idempotent.
    NotExecuted(f64),
    /// It may have run, and a worker failed it. Only an idempotent request may be retried.
    UpstreamFailed,
    /// It may have run, and no response came in time. Only an idempotent request may be retried.
    TimedOut,
}

/// Whether an attempt that the decision module asks for is dispatched. Both variants carry the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It is sent to the worker.
    Send(u32),
    /// It must not be sent. The caller ends it at once as one that never left ([`Ending::NotSent`]).
    Withhold(u32),
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// When it was dispatched, in seconds of the clock that was passed in.
    pub dispatched_at: f64,
    /// The final response, if its end decided it.
    pub response: Option<FinalResponse>,
}

/// What remains to be done for a request in its current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Its unit of quota is to be refunded; true at most once for each request.
    pub refund: bool,
    /// It is answered and no attempt is in flight: its state can be dropped.
    pub is_finished: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlightAttempt {
    number: u32,
    dispatched_at: f64,
}

/// State of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestState {
    is_idempotent: bool,
    /// Upper bound on the attempts that are sent to workers.
    max_dispatches: u32,
    awaits_admission: bool,
    is_charged: bool,
    may_have_run: bool,
    is_answered: bool,
    /// Attempts that were asked for, sent or withheld.
    attempts: u32,
    /// Attempts that were sent.
    dispatches: u32,
    in_flight: Vec<InFlightAttempt>,
    /// The last attempt to which a worker gave a complete response that reports a failure.
    failure: Option<u32>,
    has_timed_out: bool,
    /// Set if the request was given up while an attempt was in flight: the retry delay in seconds for its client, if it
    /// turns out not to have run.
    given_up: Option<f64>,
}

impl RequestState {
    /// A request that was just received and may be sent to workers `max_dispatches` times.
    pub fn new(is_idempotent: bool, max_dispatches: u32) -> Self {
        RequestState {
            is_idempotent,
            max_dispatches,
            awaits_admission: true,
            is_charged: false,
            may_have_run: false,
            is_answered: false,
            attempts: 0,
            dispatches: 0,
            in_flight: Vec::new(),
            failure: None,
            has_timed_out: false,
            given_up: None,
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Whether its client has been answered or has disconnected.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Whether its own state allows another dispatch. The retry budget is not considered.
    pub fn can_dispatch(&self) -> bool {
        let cannot_run_twice = self.is_idempotent || !self.may_have_run && self.in_flight.is_empty();
        let is_open = !self.awaits_admission && !self.is_answered && self.given_up.is_none();
        self.dispatches < self.max_dispatches && cannot_run_twice && is_open
    }

    /// It is within its tenant's quota; `is_charged`: a unit was charged for it.
    pub fn admit(&mut self, is_charged: bool) {
        (self.awaits_admission, self.is_charged) = (false, is_charged);
    }

    /// It is over its tenant's quota.
    pub fn rate_limit(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        let has_not_run = !self.may_have_run && self.in_flight.is_empty();
        self.respond(match has_not_run {
            true => FinalResponse::RateLimited(retry_after_secs),
            false => FinalResponse::UpstreamFailed,
        })
    }

    /// The decision module asks for an attempt. Withheld ones, too, count as in flight until they are ended.
    pub fn begin_attempt(&mut self, now: f64) -> DispatchDecision {
        let (number, can_dispatch) = (self.attempts, self.can_dispatch());
        self.attempts += 1;
        self.in_flight.push(InFlightAttempt { number, dispatched_at: now });
        if !can_dispatch {
            return DispatchDecision::Withhold(number);
        }
        self.dispatches += 1;
        DispatchDecision::Send(number)
    }

    /// An attempt has ended. `response_ok`: whether the worker's complete response is at hand, and then whether it is a
    /// success. `None` if this attempt is not in flight.
    pub fn end_attempt(
        &mut self,
        number: u32,
        ending: Ending,
        response_ok: Option<bool>,
    ) -> Option<EndedAttempt> {
        let at = self.in_flight.iter().position(|a| a.number == number)?;
        let InFlightAttempt { dispatched_at, .. } = self.in_flight.remove(at);
        self.may_have_run |= !ending.never_ran();
        self.has_timed_out |= ending == Ending::Timeout;
        if response_ok == Some(false) {
            self.failure = Some(number);
        }
        let response = match self.given_up.filter(|_| self.in_flight.is_empty()) {
            _ if ending == Ending::Ok && response_ok == Some(true) => {
                self.respond(FinalResponse::Upstream(number))
            }
            Some(retry_after_secs) => self.give_up(retry_after_secs),
            None => None,
        };
        Some(EndedAttempt { dispatched_at, response })
    }

    /// No further attempt is to be made. Attempts in flight end by themselves first, and one may still answer it.
    pub fn give_up(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        if !self.in_flight.is_empty() {
            self.given_up = self.given_up.or(Some(retry_after_secs));
            return None;
        }
        let response = match (self.may_have_run, self.failure, self.has_timed_out) {
            (false, ..) => FinalResponse::NotExecuted(retry_after_secs),
            (true, Some(attempt), _) => FinalResponse::Upstream(attempt),
            (true, None, true) => FinalResponse::TimedOut,
            (true, None, false) => FinalResponse::UpstreamFailed,
        };
        self.respond(response)
    }

    /// The process exits: the final response now, even with an attempt in flight.
    pub fn respond_now(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        if self.in_flight.is_empty() {
            return self.give_up(retry_after_secs);
        }
        self.respond(FinalResponse::TimedOut)
    }

    /// Gives up a request that nothing would move forward: admitted, unanswered and without an attempt in flight. To be
    /// called once everything that the decision module asked for is carried out.
    pub fn give_up_if_stalled(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        let is_stalled = !self.awaits_admission && !self.is_answered && self.in_flight.is_empty();
        is_stalled.then(|| self.give_up(retry_after_secs)).flatten()
    }

    /// The client has disconnected. Returns whether attempts in flight may be cancelled; those of a request that may run
    /// only once end by themselves.
    pub fn client_disconnected(&mut self) -> bool {
        (self.is_answered, self.awaits_admission) = (true, false);
        self.is_idempotent || self.in_flight.is_empty()
    }

    /// The response, unless there was one before.
    fn respond(&mut self, response: FinalResponse) -> Option<FinalResponse> {
        self.awaits_admission = false;
        (!std::mem::replace(&mut self.is_answered, true)).then_some(response)
    }

    /// What remains to be done now. Takes the refund, if one is due.
    pub fn settle(&mut self) -> Settlement {
        let is_finished = self.is_answered && self.in_flight.is_empty();
        let refund = is_finished && !self.may_have_run && std::mem::take(&mut self.is_charged);
        Settlement { refund, is_finished }
    }
}

#[cfg(test)]
#[path = "request_state_tests.rs"]
mod tests;
