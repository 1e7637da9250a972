//! Deliberate violations of the protocol, for tests only.

/// A violation of a protocol rule that can be injected. Tests inject each one to show that they detect it.
#[cfg_attr(not(test), allow(dead_code))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// Votes and terms are sent before they are on disk.
    SendBeforeHardStateSync,
    /// Entries of earlier terms are committed by counting replicas (against Raft paper, 5.4.2).
    CommitEarlierTermByCount,
    /// Reads are answered without confirming leadership.
    ReadWithoutQuorum,
    /// A configuration change does not wait until the previous one is committed.
    OverlappingConfChanges,
    /// Entries are acknowledged to the leader before they are on disk.
    AckBeforeSync,
    /// A received snapshot is installed although it is older than the commit index.
    InstallOlderSnapshot,
    /// A machine that lost its disk keeps its identity and continues to vote.
    ReuseIdAfterDiskLoss,
    /// A vote is granted to a candidate whose log is less up to date.
    IgnoreLogRecency,
    /// A process votes right after its start, though a leader may rely on a contact before it.
    VoteRightAfterRestart,
    /// A vote is granted while a leader is heard.
    VoteDespiteLeader,
    /// A leader keeps its lease during a leadership transfer.
    LeaseDuringTransfer,
    /// A leader changes the configuration before it has committed an entry of its own term.
    ConfChangeBeforeTermCommit,
    /// A snapshot is acknowledged before it is on disk.
    AckSnapshotBeforeSync,
    /// An election starts without a PreVote.
    SkipPreVote,
    /// A leader does not step down when it loses contact with the quorum.
    SkipCheckQuorum,
    /// The lease counts from the arrival of a response instead of the sending of the heartbeat.
    LeaseFromResponseArrival,
    /// Non-voters count towards the quorum.
    CountLearners,
    /// Removed voters count towards the quorum.
    CountRemovedVoters,
    /// A snapshot does not contain the configuration.
    SnapshotWithoutVoters,
    /// A follower commits entries that were not matched against the leader's log.
    CommitUnverifiedEntries,
    /// A leadership transfer does not wait until the target has all entries.
    TransferToLaggingFollower,
    /// Term and vote are not written to disk.
    HardStateNotWritten,
    /// A follower does not record its leader as its vote.
    FollowWithoutVote,
    /// A response to an earlier term's leader is accepted.
    AcceptStaleResponse,
    /// A vote is granted to several candidates in one term.
    VoteTwice,
    /// Entries are appended without checking the entry before them.
    SkipPrevLogCheck,
}
