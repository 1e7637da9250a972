//! Timing and size limits of the log.

use super::types::Millis;

/// Timing and size limits. All members should use the same ones, with
/// `heartbeat_interval` < `lease_duration` < `election_timeout`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftConfig {
    /// A leader broadcasts at least this often.
    pub heartbeat_interval: Millis,
    /// A follower that hears no leader for this long, and up to twice that, starts an election. Nobody votes
    /// within this time of hearing from a leader, or of its own start. A leader that is not in contact with a
    /// quorum for this long steps down.
    pub election_timeout: Millis,
    /// How long a leader relies on a contact with a quorum. Shorter than `election_timeout` by what clocks
    /// may differ in speed.
    pub lease_duration: Millis,
    /// A voter that was silent for this long is removed, if `min_voters` permits.
    pub voter_removal_timeout: Millis,
    /// A silent voter is removed only from a configuration of more than this many: more than twice the
    /// failures that are to be tolerated.
    pub min_voters: usize,
    /// Upper bound for the entries of a message.
    pub max_entries_per_append: usize,
    /// Bytes of a snapshot in a message.
    pub snapshot_chunk_bytes: usize,
    /// Upper bound for the unacknowledged chunks of a snapshot transfer.
    pub max_chunks_in_flight: usize,
    /// A write that takes longer means that the disk is stalled.
    pub disk_stall_timeout: Millis,
}
