//! Owns how far one request has come: held, sent, may have run, answered. Pure. It must never let a request be answered
//! twice, be sent again once it may have run (unless it may run again), be promised not to run once it may have, or
//! end without an answer while its client waits; and it holds to this whatever its decision module asks for.

use whinstall::Ending;

/// The final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// What the worker said in this attempt, as it is.
    Upstream(u32),
    /// Beyond the tenant's quota; come back after so many seconds.
    RateLimited(f64),
    /// Not run, and it never will be; come back after so many seconds.
    NotExecuted(f64),
    /// It may have run; a worker failed it.
    UpstreamFailed,
    /// It may have run; there was no answer in time.
    TimedOut,
}

/// What becomes of an attempt that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It goes out.
    Send(u32),
    /// It must not: it is to end as one that was never sent.
    Withhold(u32),
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// When it went out.
    pub sent: f64,
    /// The final answer, where this has decided it.
    pub answer: Option<FinalResponse>,
}

/// What is due to a request as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Its unit goes back, now and never again.
    pub take_back: bool,
    /// Nothing is owed and nothing is out: it can be forgotten.
    pub over: bool,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestState {
    repeatable: bool,
    /// The most workers that it may be sent to.
    most: u32,
    /// Not admitted yet.
    held: bool,
    /// Is a unit charged for it?
    charged: bool,
    may_have_run: bool,
    answered: bool,
    /// Attempts that were asked for, and those of them that went out.
    attempts: u32,
    sent: u32,
    /// Those that have not ended, and since when.
    out: Vec<(u32, f64)>,
    /// The last one that came back with a whole answer of a worker that failed it.
    failure: Option<u32>,
    /// Did one end for want of time?
    late: bool,
    /// Given up while an attempt was out: come back after so many seconds, if it has not run.
    given_up: Option<f64>,
}

impl RequestState {
    /// One that was just read.
    pub fn new(repeatable: bool, most: u32) -> Self {
        RequestState {
            repeatable,
            most,
            held: true,
            charged: false,
            may_have_run: false,
            answered: false,
            attempts: 0,
            sent: 0,
            out: Vec::new(),
            failure: None,
            late: false,
            given_up: None,
        }
    }

    /// May it run more than once?
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// Has its client been answered, or has it left?
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Is an attempt at a worker?
    pub fn is_at_worker(&self) -> bool {
        !self.out.is_empty()
    }

    /// May it be sent once more by its own rules?
    pub fn may_go_again(&self) -> bool {
        self.sent < self.most && self.may_go()
    }

    fn may_go(&self) -> bool {
        let once = self.repeatable || !self.may_have_run && self.out.is_empty();
        once && !self.held && !self.answered && self.given_up.is_none()
    }

    /// It passed its quota, with or without a unit charged.
    pub fn admitted(&mut self, charged: bool) {
        (self.held, self.charged) = (false, charged);
    }

    /// It is beyond its quota.
    pub fn limited(&mut self, after: f64) -> Option<FinalResponse> {
        let promise = !self.may_have_run && self.out.is_empty();
        let answer = if promise { FinalResponse::RateLimited(after) } else { FinalResponse::UpstreamFailed };
        self.answer(answer)
    }

    /// An attempt is asked for.
    pub fn dispatch(&mut self, now: f64) -> DispatchDecision {
        let (attempt, goes) = (self.attempts, self.may_go_again());
        self.attempts += 1;
        self.out.push((attempt, now));
        if !goes {
            return DispatchDecision::Withhold(attempt);
        }
        self.sent += 1;
        DispatchDecision::Send(attempt)
    }

    /// An attempt has ended. `whole`: there is a whole answer of the worker to pass on, good (true) or a failure.
    /// `None`: it is not out.
    pub fn ended(&mut self, attempt: u32, ending: Ending, whole: Option<bool>) -> Option<AttemptEnd> {
        let at = self.out.iter().position(|(a, _)| *a == attempt)?;
        let (_, sent) = self.out.remove(at);
        self.may_have_run |= !ending.never_ran();
        self.late |= ending == Ending::Timeout;
        if whole == Some(false) {
            self.failure = Some(attempt);
        }
        let answer = match self.given_up.filter(|_| self.out.is_empty()) {
            _ if ending == Ending::Ok && whole == Some(true) => self.answer(FinalResponse::Upstream(attempt)),
            Some(after) => self.give_up(after),
            None => None,
        };
        Some(AttemptEnd { sent, answer })
    }

    /// Nothing more is to be tried. What is out still ends by itself first, and may answer it.
    pub fn give_up(&mut self, after: f64) -> Option<FinalResponse> {
        if !self.out.is_empty() {
            self.given_up = self.given_up.or(Some(after));
            return None;
        }
        let answer = match (self.may_have_run, self.failure, self.late) {
            (false, ..) => FinalResponse::NotExecuted(after),
            (true, Some(attempt), _) => FinalResponse::Upstream(attempt),
            (true, None, true) => FinalResponse::TimedOut,
            (true, None, false) => FinalResponse::UpstreamFailed,
        };
        self.answer(answer)
    }

    /// The process ends: the final answer now, whatever is out.
    pub fn abandon(&mut self, after: f64) -> Option<FinalResponse> {
        if self.out.is_empty() {
            return self.give_up(after);
        }
        self.answer(FinalResponse::TimedOut)
    }

    /// All that was decided is carried out: what is neither out nor held, and owed an answer, is given up.
    pub fn turn_over(&mut self, after: f64) -> Option<FinalResponse> {
        let stuck = !self.held && !self.answered && self.out.is_empty();
        stuck.then(|| self.give_up(after)).flatten()
    }

    /// The client has left. `true`: what is out may be called off; what may run only once ends by itself.
    pub fn leave(&mut self) -> bool {
        (self.answered, self.held) = (true, false);
        self.repeatable || self.out.is_empty()
    }

    fn answer(&mut self, answer: FinalResponse) -> Option<FinalResponse> {
        self.held = false;
        (!std::mem::replace(&mut self.answered, true)).then_some(answer)
    }

    /// What is due now.
    pub fn settle(&mut self) -> Settlement {
        let over = self.answered && self.out.is_empty();
        let take_back = over && !self.may_have_run && std::mem::take(&mut self.charged);
        Settlement { take_back, over }
    }
}

#[cfg(test)]
#[path = "request_state_tests.rs"]
mod tests;
