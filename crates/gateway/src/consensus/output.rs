//! Outputs: the actions that a [`super::Raft`] requests from its driver.

use super::message::Message;
use super::types::{Entry, NodeId, Snapshot, Term};

/// Number of a write batch of this process, from 1; batches become durable in this order.
pub type WriteId = u64;
/// Number of a read of this process, from 1.
pub type ReadId = u64;

/// An action for the driver, which performs the actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output<C> {
    /// Write all of these atomically and in this order, sync, then call [`super::Raft::on_persisted`] with
    /// `id`. Later outputs need not wait for that: messages that depend on a write are held back until it is
    /// durable.
    Persist {
        /// Number of the batch.
        id: WriteId,
        /// The writes, in order.
        writes: Vec<LogWrite<C>>,
    },
    /// Send this message. It may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message<C>,
    },
    /// This entry is committed: apply it. Entries come in log order, each once per process.
    Apply(Entry<C>),
    /// Replace the state machine's state by this one, which is newer than all that was applied.
    InstallSnapshot(Snapshot),
    /// The read with this number may be answered from what is applied now.
    ReadReady(ReadId),
}

/// One write to the disk. The writes of one [`Output::Persist`] become durable together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LogWrite<C> {
    /// The current term and the vote in it.
    HardState {
        /// The term.
        term: Term,
        /// The candidate or leader that has this member's vote in the term.
        vote: Option<NodeId>,
    },
    /// Entries to append. Stored entries from the index of the first one on are dropped.
    Append(Vec<Entry<C>>),
    /// A snapshot. Stored entries up to its index are dropped.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Drop all other entries too: the snapshot came from a leader, and the stored log conflicts with it
        /// or ends before it.
        replaces_log: bool,
    },
}
