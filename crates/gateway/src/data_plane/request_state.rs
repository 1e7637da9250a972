//! State of one request between its receipt and its final response.
//!
//! Invariants, whatever the decision module requests:
//!
//! * A request gets exactly one final response, or none if its client disconnects first.
//! * A non-idempotent request is not dispatched again once it may have run.
//! * A response that promises "not executed" (429, 503) is sent only if no worker has run the request or ever will.
//! * The quota unit of a request is refunded at most once, and only if the request has not run.
//!
//! The state machine is pure: it performs no I/O and reads no clock.

use whinstall::Ending;

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The worker's response to the attempt of this number, unchanged.
    Upstream(u32),
    /// The request is over the tenant's quota and was not executed; the client may retry after this many seconds.
    RateLimited(f64),
    /// The request was not executed and never will be; the client may retry after this many seconds, even a
    /// non-idempotent request.
    NotExecuted(f64),
    /// The request may have run, and its attempts failed. The client may retry only an idempotent request.
    UpstreamFailed,
    /// The request may have run, and no response arrived in time. The client may retry only an idempotent request.
    TimedOut,
}

/// Whether an attempt that the decision module requests is dispatched. Both variants carry the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The attempt is sent to the worker.
    Send(u32),
    /// The attempt must not be sent. The caller ends it at once with [`Ending::NotSent`].
    Withhold(u32),
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// When the attempt was dispatched, in seconds of the clock that is passed in.
    pub dispatched_at: f64,
    /// The final response to the request, if the end of this attempt determines it.
    pub response: Option<FinalResponse>,
}

/// Clean-up that a request requires in its current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Whether the request's quota unit must be refunded; true at most once for each request.
    pub refund: bool,
    /// Whether the request is answered and has no attempt in flight, so that its state can be dropped.
    pub is_finished: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlightAttempt {
    number: u32,
    dispatched_at: f64,
}

/// State of one request from receipt to final response.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestState {
    is_idempotent: bool,
    /// Upper bound on the attempts that are sent to workers.
    max_dispatches: u32,
    awaits_admission: bool,
    /// Whether a quota unit is charged for the request and not refunded.
    is_charged: bool,
    may_have_run: bool,
    /// Whether the client has been answered or has disconnected.
    is_answered: bool,
    /// Number of attempts that the decision module requested, both sent and withheld.
    attempts: u32,
    /// Number of attempts that were sent.
    dispatches: u32,
    /// Attempts that have not ended, including withheld ones.
    in_flight: Vec<InFlightAttempt>,
    /// The last attempt to which a worker gave a complete response that reports a failure.
    failed_attempt: Option<u32>,
    has_timed_out: bool,
    /// Set if the request was given up while an attempt was in flight: the retry delay for the client, in seconds, which
    /// applies if the request turns out not to have run.
    given_up_retry_after_secs: Option<f64>,
}

impl RequestState {
    /// Creates the state of a request that was just received and may be sent to workers at most `max_dispatches` times.
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
            failed_attempt: None,
            has_timed_out: false,
            given_up_retry_after_secs: None,
        }
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Whether the client has been answered or has disconnected.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Whether the request's own state allows another dispatch. The retry budget is not considered.
    pub fn can_dispatch(&self) -> bool {
        let cannot_run_twice = self.is_idempotent || !self.may_have_run && self.in_flight.is_empty();
        let is_open = !self.awaits_admission && !self.is_answered && self.given_up_retry_after_secs.is_none();
        self.dispatches < self.max_dispatches && cannot_run_twice && is_open
    }

    /// Records that the request is within its tenant's quota. `is_charged`: whether a quota unit was charged for it.
    pub fn admit(&mut self, is_charged: bool) {
        (self.awaits_admission, self.is_charged) = (false, is_charged);
    }

    /// Rejects the request as over its tenant's quota. Returns the final response, if there was none before.
    pub fn rate_limit(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        let has_not_run = !self.may_have_run && self.in_flight.is_empty();
        self.respond(match has_not_run {
            true => FinalResponse::RateLimited(retry_after_secs),
            false => FinalResponse::UpstreamFailed,
        })
    }

    /// Begins an attempt that the decision module requests. A withheld attempt, too, counts as in flight until the caller
    /// ends it.
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

    /// Records the end of an attempt. `response_ok`: whether the worker's complete response reports success; `None` if no
    /// complete response was received. Returns `None` if this attempt is not in flight.
    pub fn end_attempt(
        &mut self,
        number: u32,
        ending: Ending,
        response_ok: Option<bool>,
    ) -> Option<EndedAttempt> {
        let index = self.in_flight.iter().position(|a| a.number == number)?;
        let InFlightAttempt { dispatched_at, .. } = self.in_flight.remove(index);
        self.may_have_run |= !ending.never_ran();
        self.has_timed_out |= ending == Ending::Timeout;
        if response_ok == Some(false) {
            self.failed_attempt = Some(number);
        }
        let response = match self.given_up_retry_after_secs.filter(|_| self.in_flight.is_empty()) {
            _ if ending == Ending::Ok && response_ok == Some(true) => {
                self.respond(FinalResponse::Upstream(number))
            }
            Some(retry_after_secs) => self.give_up(retry_after_secs),
            None => None,
        };
        Some(EndedAttempt { dispatched_at, response })
    }

    /// Gives the request up: no further attempt is made. The final response is deferred while attempts are in flight, as
    /// one of them may still succeed.
    pub fn give_up(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        if !self.in_flight.is_empty() {
            self.given_up_retry_after_secs = self.given_up_retry_after_secs.or(Some(retry_after_secs));
            return None;
        }
        let response = match (self.may_have_run, self.failed_attempt, self.has_timed_out) {
            (false, ..) => FinalResponse::NotExecuted(retry_after_secs),
            (true, Some(attempt), _) => FinalResponse::Upstream(attempt),
            (true, None, true) => FinalResponse::TimedOut,
            (true, None, false) => FinalResponse::UpstreamFailed,
        };
        self.respond(response)
    }

    /// Returns the final response at once, even with an attempt in flight, because the process exits.
    pub fn respond_now(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        if self.in_flight.is_empty() {
            return self.give_up(retry_after_secs);
        }
        self.respond(FinalResponse::TimedOut)
    }

    /// Gives the request up if it is stalled: admitted, unanswered and without an attempt in flight. Must be called after
    /// all actions of the decision module are performed; a stalled request would otherwise wait forever.
    pub fn give_up_if_stalled(&mut self, retry_after_secs: f64) -> Option<FinalResponse> {
        let is_stalled = !self.awaits_admission && !self.is_answered && self.in_flight.is_empty();
        is_stalled.then(|| self.give_up(retry_after_secs)).flatten()
    }

    /// Records that the client has disconnected. Returns whether attempts in flight may be cancelled; those of a
    /// non-idempotent request must be left to end by themselves.
    pub fn client_disconnected(&mut self) -> bool {
        (self.is_answered, self.awaits_admission) = (true, false);
        self.is_idempotent || self.in_flight.is_empty()
    }

    /// Marks the request as answered. Returns the response, or `None` if the request was answered before.
    fn respond(&mut self, response: FinalResponse) -> Option<FinalResponse> {
        self.awaits_admission = false;
        (!std::mem::replace(&mut self.is_answered, true)).then_some(response)
    }

    /// Returns the clean-up that is due now. A refund is returned only once.
    pub fn settle(&mut self) -> Settlement {
        let is_finished = self.is_answered && self.in_flight.is_empty();
        let refund = is_finished && !self.may_have_run && std::mem::take(&mut self.is_charged);
        Settlement { refund, is_finished }
    }
}

#[cfg(test)]
#[path = "request_state_tests.rs"]
mod tests;
