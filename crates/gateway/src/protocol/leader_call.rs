//! Calls of operators and workers that need the replicated log, on their way between a core node and the leader.

use crate::configuration::ConfigChange;
use crate::consensus::Index;
use crate::discovery::ShutdownAnnouncement;
use serde::{Deserialize, Serialize};

/// A call of an operator or a worker that the leader decides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Change the configuration.
    Amend(ConfigChange),
    /// Read the newest configuration.
    Read,
    /// Reject a call that could not be parsed, with this reason. A rejection, too, needs a leader in touch with a
    /// quorum.
    #[serde(rename = "Refuse")]
    Reject(String),
    /// Record that a worker shuts down.
    #[serde(rename = "Announce")]
    AnnounceShutdown(ShutdownAnnouncement),
}

/// The outcome of an [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The change or announcement is committed, and enough synced disks hold it (HTTP 200).
    #[serde(rename = "Taken")]
    Accepted,
    /// The change is rejected for good, with this HTTP status and reason.
    #[serde(rename = "Refused")]
    Rejected(u16, String),
    /// Whether it will be committed is unknown: the caller retries (HTTP 503).
    #[serde(rename = "Unclear")]
    Undetermined(String),
    /// A read is answered by the state as of this log index, or a later one.
    Read(Index),
}
