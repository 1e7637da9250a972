//! How an exchange with an upstream ended, and the one mapping of that to the decision module's [`Ending`].
//!
//! Whether a request may have run is decided here and nowhere else, so nothing else may build an [`Ending`].

#[cfg(test)]
mod tests;

use std::time::Duration;
use whinstall::zone_failover::Observation;
use whinstall::Ending;

/// The kind of upstream that an exchange was with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A drafting node.
    Node,
    /// The quota counter.
    Counter,
}

/// How an exchange ended. A request certainly did not run after `NotStarted`, `NotSent`, `NotAttempted` and
/// `Withdrawn`, or after an exchange that ended with `written: false`; after any other outcome it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// A complete response with status 200.
    Answered,
    /// A complete response that proves that the request was not begun.
    NotStarted,
    /// A complete response with a status from 400 to 499: the request is at fault, not the upstream.
    ClientError,
    /// A complete response with any other status.
    UnexpectedStatus,
    /// The response is malformed or too long.
    InvalidResponse,
    /// The connection was refused, not established, or broke before the last byte was written.
    NotSent,
    /// The connection broke or ended after the last byte was written.
    ConnectionLost,
    /// The timeout expired.
    TimedOut {
        /// Whether the last byte had been written.
        written: bool,
    },
    /// The core cancelled the exchange.
    Cancelled {
        /// Whether the last byte had been written.
        written: bool,
    },
    /// Not begun: the session was over, out of time or out of attempts.
    NotAttempted,
    /// Not begun: the node began to drain or was removed from the endpoint table.
    Withdrawn,
}

impl ExchangeOutcome {
    /// The outcome in the decision module's terms. A counter call that may have been added must map to a timeout
    /// or a reset: only after these the module drops the amount instead of adding it again.
    pub fn to_ending(self, upstream: UpstreamKind) -> Ending {
        match (self, upstream) {
            (ExchangeOutcome::Answered, _) => Ending::Ok,
            (ExchangeOutcome::NotStarted, _) => Ending::Full,
            // Says nothing about a node's health: one client's bad requests must not get nodes ejected.
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

    /// What an outcome after `elapsed` shows about the node's zone: that it answers, that something there refuses
    /// at once, or that nothing came for the `silence_timeout`. A cancelled exchange, or one not begun, shows
    /// nothing.
    pub fn zone_observation(self, elapsed: Duration, silence_timeout: Duration) -> Option<Observation> {
        match self {
            ExchangeOutcome::Answered
            | ExchangeOutcome::NotStarted
            | ExchangeOutcome::ClientError
            | ExchangeOutcome::UnexpectedStatus
            | ExchangeOutcome::InvalidResponse => Some(Observation::Responded),
            ExchangeOutcome::NotSent | ExchangeOutcome::ConnectionLost if elapsed < silence_timeout => {
                Some(Observation::Refused)
            }
            ExchangeOutcome::NotSent | ExchangeOutcome::TimedOut { .. } if elapsed >= silence_timeout => {
                Some(Observation::TimedOut)
            }
            _ => None,
        }
    }
}
