//! Outcomes of exchanges with upstreams and their mapping to the decision module's [`Ending`].
//!
//! This module alone decides whether a request may have run; no other module of the network layer constructs an
//! [`Ending`].

#[cfg(test)]
mod tests;

use std::time::Duration;
use whinstall::zone_failover::Observation;
use whinstall::Ending;

/// Kind of upstream that an exchange addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A node that executes clients' requests.
    Node,
    /// The quota counter.
    Counter,
}

/// Outcome of an exchange. The request did not run if the outcome is `NotStarted`, `NotSent`, `NotAttempted`,
/// `Withdrawn` or has `written: false`; after any other outcome it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// A complete response with status 200.
    Answered,
    /// A complete response that proves that the upstream did not begin the request.
    NotStarted,
    /// A complete response with a status from 400 to 499: the request is at fault, not the upstream.
    ClientError,
    /// A complete response with any other status.
    UnexpectedStatus,
    /// The response is malformed or too long.
    InvalidResponse,
    /// The connection was refused, was not established, or broke before the last byte of the request was written.
    NotSent,
    /// The connection broke or was closed after the last byte of the request was written and before the response was
    /// complete.
    ConnectionLost,
    /// The timeout of the exchange expired.
    TimedOut {
        /// Whether the last byte of the request had been written.
        written: bool,
    },
    /// The core cancelled the exchange.
    Cancelled {
        /// Whether the last byte of the request had been written.
        written: bool,
    },
    /// Nothing was sent: the session had ended, its deadline had passed or its attempts were used up.
    NotAttempted,
    /// Nothing was sent: the node was draining or was removed from the endpoint table.
    Withdrawn,
}

impl ExchangeOutcome {
    /// Maps the outcome to the decision module's terms. A counter call whose amount may have been added must map to
    /// [`Ending::Timeout`] or [`Ending::Reset`]: after any other failure the module adds the amount again, which
    /// would count it twice.
    pub fn to_ending(self, upstream: UpstreamKind) -> Ending {
        match (self, upstream) {
            (ExchangeOutcome::Answered, _) => Ending::Ok,
            (ExchangeOutcome::NotStarted, _) => Ending::Full,
            // `Cancelled` does not affect the node's health: invalid requests of one client must not eject nodes.
            (ExchangeOutcome::ClientError, UpstreamKind::Node) => Ending::Cancelled,
            (ExchangeOutcome::ClientError, UpstreamKind::Counter) => Ending::Full,
            (ExchangeOutcome::UnexpectedStatus, UpstreamKind::Node) => Ending::Error,
            (ExchangeOutcome::UnexpectedStatus, UpstreamKind::Counter) => Ending::Full,
            (ExchangeOutcome::InvalidResponse, UpstreamKind::Node) => Ending::Error,
            (ExchangeOutcome::NotSent, _) => Ending::ConnectFailed,
            (ExchangeOutcome::ConnectionLost, UpstreamKind::Node) => Ending::Reset,
            (ExchangeOutcome::InvalidResponse | ExchangeOutcome::ConnectionLost, UpstreamKind::Counter) => {
                Ending::Reset
            }
            (ExchangeOutcome::TimedOut { written: true }, _) => Ending::Timeout,
            (ExchangeOutcome::TimedOut { written: false }, _) => Ending::ConnectFailed,
            (ExchangeOutcome::Cancelled { written: true }, _) => Ending::Cancelled,
            (ExchangeOutcome::Cancelled { written: false }, _) => Ending::NotSent,
            (ExchangeOutcome::NotAttempted | ExchangeOutcome::Withdrawn, _) => Ending::NotSent,
        }
    }

    /// The observation for outlier detection that this outcome gives about the node's zone, `elapsed` after the start
    /// of the exchange: a response, a connection refused or lost before `detection_timeout`, or no response for
    /// `detection_timeout`. `None` for an exchange that was cancelled or never sent.
    pub fn zone_observation(self, elapsed: Duration, detection_timeout: Duration) -> Option<Observation> {
        match self {
            ExchangeOutcome::Answered
            | ExchangeOutcome::NotStarted
            | ExchangeOutcome::ClientError
            | ExchangeOutcome::UnexpectedStatus
            | ExchangeOutcome::InvalidResponse => Some(Observation::Responded),
            ExchangeOutcome::NotSent | ExchangeOutcome::ConnectionLost if elapsed < detection_timeout => {
                Some(Observation::Refused)
            }
            ExchangeOutcome::NotSent | ExchangeOutcome::TimedOut { .. } if elapsed >= detection_timeout => {
                Some(Observation::TimedOut)
            }
            _ => None,
        }
    }
}
