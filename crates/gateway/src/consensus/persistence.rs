//! Write batches, and the messages that must wait for them.
//!
//! Raft answers RPCs only after the persistent state that the answer depends on is on stable storage (Raft
//! paper, figure 2). Here writes are asynchronous: a message that was produced while the hard state (term and
//! vote) is not durable yet is held back until it is; an acknowledgement of entries says only what is durable
//! ([`Raft::durable_index`]).

use super::{Entry, Index, InjectedFault, LogWrite, Message, Millis, NodeId, Output, Raft, Term, WriteId};
use std::collections::VecDeque;

/// A write batch that was handed to the driver and is not durable yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    pub id: WriteId,
    /// The lowest index whose entry on disk is the one in memory only after this write.
    pub first_index: Option<Index>,
    pub issued_at: Millis,
}

/// A message that waits until the hard state that it depends on is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldMessage<C> {
    /// The write batch with that hard state; `None` until the batch is issued.
    pub after: Option<WriteId>,
    pub to: NodeId,
    pub message: Message<C>,
}

impl<C> HeldMessage<C> {
    pub fn into_output(self) -> Output<C> {
        Output::Send { to: self.to, message: self.message }
    }
}

/// The writes of a member, from their creation until they are durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WriteQueue<C> {
    /// Writes of the input that is being handled: the next batch.
    pub unissued: Vec<LogWrite<C>>,
    /// The latest batch that was handed to the driver.
    pub last_issued: WriteId,
    /// The latest batch that is durable.
    pub last_durable: WriteId,
    /// The batches between these two, oldest first.
    pub pending: VecDeque<PendingWrite>,
    /// The latest batch with a hard state.
    pub hard_state_write: WriteId,
    /// Messages that wait for a hard state, oldest first.
    pub held_messages: VecDeque<HeldMessage<C>>,
}

impl<C> Default for WriteQueue<C> {
    fn default() -> Self {
        WriteQueue {
            unissued: Vec::new(),
            last_issued: 0,
            last_durable: 0,
            pending: VecDeque::new(),
            hard_state_write: 0,
            held_messages: VecDeque::new(),
        }
    }
}

impl<C> WriteQueue<C> {
    /// Adds a write to the next batch.
    pub fn add(&mut self, write: LogWrite<C>) {
        self.unissued.push(write);
    }

    /// All batches up to this one are durable; the messages that waited for them.
    pub fn complete(&mut self, write: WriteId) -> Vec<HeldMessage<C>> {
        self.last_durable = self.last_durable.max(write);
        self.pending.retain(|pending| pending.id > write);
        let is_free = |held: &HeldMessage<C>| held.after.is_some_and(|after| after <= write);
        let count = self.held_messages.iter().take_while(|held| is_free(held)).count();
        self.held_messages.drain(..count).collect()
    }

    /// Whether the current term and vote are durable, of what was issued.
    pub fn is_hard_state_durable(&self) -> bool {
        self.hard_state_write <= self.last_durable
    }

    fn has_unissued_hard_state(&self) -> bool {
        self.unissued.iter().any(|write| matches!(write, LogWrite::HardState { .. }))
    }
}

impl<C: Clone> Raft<C> {
    /// Appends entries to the log in memory, and to the next write batch.
    pub(super) fn append_to_log(&mut self, entries: Vec<Entry<C>>) {
        self.write_queue.add(LogWrite::Append(entries.clone()));
        self.log.append(entries);
    }

    pub(super) fn set_hard_state(&mut self, term: Term, vote: Option<NodeId>) {
        (self.term, self.vote) = (term, vote);
        if !self.has_fault(InjectedFault::HardStateNotWritten) {
            self.write_queue.add(LogWrite::HardState { term, vote });
        }
    }

    /// Hands out the writes of this input as one batch.
    pub(super) fn issue_writes(&mut self, now: Millis) {
        if self.write_queue.unissued.is_empty() {
            return;
        }
        let has_hard_state = self.write_queue.has_unissued_hard_state();
        let writes = std::mem::take(&mut self.write_queue.unissued);
        let first_index = writes.iter().filter_map(|write| self.first_changed_index(write)).min();
        let queue = &mut self.write_queue;
        queue.last_issued += 1;
        let id = queue.last_issued;
        if has_hard_state {
            queue.hard_state_write = id;
            // These were produced after the hard state changed, and depend on it.
            for held in queue.held_messages.iter_mut().filter(|held| held.after.is_none()) {
                held.after = Some(id);
            }
        }
        queue.pending.push_back(PendingWrite { id, first_index, issued_at: now });
        self.outputs.push(Output::Persist { id, writes });
        if self.has_fault(InjectedFault::SendBeforeHardStateSync) {
            let held = std::mem::take(&mut self.write_queue.held_messages);
            self.outputs.extend(held.into_iter().map(HeldMessage::into_output));
        }
    }

    /// Sends a message, as soon as the current term and vote are durable.
    pub(super) fn send(&mut self, to: NodeId, message: Message<C>) {
        let queue = &mut self.write_queue;
        if queue.has_unissued_hard_state() {
            queue.held_messages.push_back(HeldMessage { after: None, to, message });
        } else if !queue.is_hard_state_durable()
            && self.injected_fault != Some(InjectedFault::SendBeforeHardStateSync)
        {
            let after = Some(queue.hard_state_write);
            queue.held_messages.push_back(HeldMessage { after, to, message });
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// The highest index up to which the log on disk is surely the log in memory.
    pub(super) fn durable_index(&self) -> Index {
        let last_index = self.log.last_index();
        if self.has_fault(InjectedFault::AckBeforeSync) {
            return last_index;
        }
        let unissued = self.write_queue.unissued.iter().filter_map(|write| self.first_changed_index(write));
        let pending = self.write_queue.pending.iter().filter_map(|write| write.first_index);
        let first_changed = pending.chain(unissued).min();
        first_changed.map_or(last_index, |first| first.saturating_sub(1).min(last_index))
    }

    /// The lowest index whose entry on disk a write changes.
    fn first_changed_index(&self, write: &LogWrite<C>) -> Option<Index> {
        match write {
            LogWrite::Append(entries) => entries.first().map(|entry| entry.index),
            // Until the snapshot is durable no entry on the disk is known to be the leader's.
            LogWrite::Snapshot { replaces_log: true, .. }
                if !self.has_fault(InjectedFault::AckSnapshotBeforeSync) =>
            {
                Some(1)
            }
            _ => None,
        }
    }

    /// Whether the oldest pending write takes longer than the disk stall timeout.
    pub fn is_disk_stalled(&self, now: Millis) -> bool {
        let oldest = self.write_queue.pending.front();
        oldest.is_some_and(|write| now > write.issued_at + self.config.disk_stall_timeout)
    }
}
