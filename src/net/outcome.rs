//! Owns the one type for every way in which a connection to a node or to the counter can end, and the one
//! function that maps it to the module's outcome. It must never look at a socket itself, and nothing else may
//! build an [`Ending`]: whether a request ran or never ran is decided here alone.

use whinstall::Ending;

/// Who was at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A drafting node.
    Node,
    /// The quota counter.
    Counter,
}

/// How a connection's one exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A whole answer of status 200.
    Answered,
    /// A whole answer that proves that nothing was begun.
    TurnedAway,
    /// A whole answer of a status of 400 to 499: the request is at fault, not who answered.
    Rejected,
    /// A whole answer of any other status.
    Declined,
    /// What came back is no answer that can be read, or one that is too long.
    Garbled,
    /// The connection was refused, never came up, or broke before the last byte was written.
    NeverWritten,
    /// The connection broke or ended after the last byte was written.
    Broken,
    /// Waiting ended; was the last byte written by then?
    TimedOut {
        /// Was it?
        written: bool,
    },
    /// The core called it off; was the last byte written by then?
    CalledOff {
        /// Was it?
        written: bool,
    },
    /// Never begun: the session was over, its time was up, or it has used up its dispatches.
    NotBegun,
    /// Never begun: the server table told meanwhile that the node drains or is gone.
    Withdrawn,
}

impl ConnectionEnd {
    /// The module's outcome. A counter's call that may have been added must end as a time-out or a reset: after
    /// these the module drops the amount instead of adding it again.
    pub fn ending(self, peer: Peer) -> Ending {
        match (self, peer) {
            (ConnectionEnd::Answered, _) => Ending::Ok,
            (ConnectionEnd::TurnedAway, _) => Ending::Full,
            // No sign of a host's health: whoever sends what no host can use must not get hosts left out.
            (ConnectionEnd::Rejected, Peer::Node) => Ending::Cancelled,
            (ConnectionEnd::Rejected, Peer::Counter) => Ending::Full,
            (ConnectionEnd::Declined, Peer::Node) => Ending::Error,
            (ConnectionEnd::Declined, Peer::Counter) => Ending::Full,
            (ConnectionEnd::Garbled, Peer::Node) => Ending::Error,
            (ConnectionEnd::NeverWritten, _) => Ending::ConnectFailed,
            (ConnectionEnd::Broken, Peer::Node) => Ending::Reset,
            (ConnectionEnd::Garbled | ConnectionEnd::Broken, Peer::Counter) => Ending::Reset,
            (ConnectionEnd::TimedOut { written: true }, _) => Ending::Timeout,
            (ConnectionEnd::TimedOut { written: false }, _) => Ending::ConnectFailed,
            (ConnectionEnd::CalledOff { written: true }, _) => Ending::Cancelled,
            (ConnectionEnd::CalledOff { written: false }, _) => Ending::Moot,
            (ConnectionEnd::NotBegun | ConnectionEnd::Withdrawn, _) => Ending::Moot,
        }
    }
}

impl ConnectionEnd {
    /// What an ending after `took` tells of the node's hall: bytes came back, something refused at once, or
    /// nothing at all for the `silence` span. What was called off, or never begun, tells nothing.
    pub fn seen(
        self,
        took: std::time::Duration,
        silence: std::time::Duration,
    ) -> Option<whinstall::halls::Seen> {
        use whinstall::halls::Seen;
        match self {
            ConnectionEnd::Answered
            | ConnectionEnd::TurnedAway
            | ConnectionEnd::Rejected
            | ConnectionEnd::Declined
            | ConnectionEnd::Garbled => Some(Seen::Answered),
            ConnectionEnd::NeverWritten | ConnectionEnd::Broken if took < silence => Some(Seen::Refused),
            ConnectionEnd::NeverWritten | ConnectionEnd::TimedOut { .. } if took >= silence => {
                Some(Seen::Silent)
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards hosts from clients whose requests they turn back: such an answer neither harms a host's health nor
    /// proves that nothing ran.
    #[test]
    fn a_rejected_request_says_nothing_of_the_host() {
        let end = ConnectionEnd::Rejected;
        assert_eq!(end.ending(Peer::Node), Ending::Cancelled);
        assert!(!end.ending(Peer::Node).never_ran());
        assert_eq!(end.ending(Peer::Counter), Ending::Full);
    }

    /// Guards against taking a slow answer or a quick refusal for a cut hall.
    #[test]
    fn only_long_silence_is_silence() {
        use std::time::Duration;
        use whinstall::halls::Seen;
        let (short, long, silence) =
            (Duration::from_millis(5), Duration::from_secs(1), Duration::from_millis(600));
        assert_eq!(ConnectionEnd::Declined.seen(long, silence), Some(Seen::Answered));
        assert_eq!(ConnectionEnd::NeverWritten.seen(short, silence), Some(Seen::Refused));
        assert_eq!(ConnectionEnd::NeverWritten.seen(long, silence), Some(Seen::Silent));
        assert_eq!(ConnectionEnd::TimedOut { written: true }.seen(short, silence), None);
        assert_eq!(ConnectionEnd::TimedOut { written: false }.seen(long, silence), Some(Seen::Silent));
        assert_eq!(ConnectionEnd::CalledOff { written: true }.seen(long, silence), None);
    }
}
