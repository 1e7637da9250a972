//! Owns a leader's part and a follower's part in copying the log: entries, snapshots in pieces, what is committed. It must
//! never count a copy that is not on a disk, nor commit an entry of an earlier term but by one of its own.

use super::*;

/// Room is made at once for a snapshot of so many bytes that is coming; for more, as it comes.
const SNAPSHOT_MOST: u64 = 64 * 1024 * 1024;

impl<C: Clone> Raft<C> {
    // The leader's part.

    /// Most have voted for it.
    pub(super) fn begin_term(&mut self, now: Millis) {
        let first = self.log.last() + 1;
        let peers = self.members().into_iter().filter(|id| *id != self.me);
        let peers = peers.map(|id| (id, self.unknown(now))).collect();
        self.role = Role::Leader(Leader { peers, first, since: now, ..Leader::default() });
        self.leader = Some(self.me);
        self.add(now, EntryPayload::TermStart);
    }

    /// A machine of which nothing is known yet in this term.
    pub(super) fn unknown(&self, now: Millis) -> Progress {
        let next = self.log.last() + 1;
        Progress { next, matched: 0, round: 0, contact: 0, heard: now, stamp: None, pieces: None }
    }

    /// Appends to the log, and tells all.
    pub(super) fn add(&mut self, now: Millis, body: EntryPayload<C>) -> (Index, Term) {
        let place = (self.log.last() + 1, self.term);
        self.put(vec![Entry { term: place.1, index: place.0, body }]);
        self.broadcast(now);
        self.advance(now);
        place
    }

    /// Says to each what it lacks, or that the leader is there.
    pub(super) fn broadcast(&mut self, now: Millis) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.sent = now;
        leader.rounds.push_back((leader.round, now));
        while leader.rounds.len() > 256 {
            leader.rounds.pop_front();
        }
        for to in leader.peers.keys().copied().collect::<Vec<_>>() {
            self.feed(now, to, true);
        }
    }

    /// Sends a machine what it lacks; `always`: a word even if that is nothing.
    pub(super) fn feed(&mut self, now: Millis, to: NodeId, always: bool) {
        let (base, last, term, commit) = (self.log.base().0, self.log.last(), self.term, self.commit);
        let attached = self.is_attached(now);
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(p) = leader.peers.get_mut(&to) else { return };
        if p.next <= base || p.pieces.is_some() {
            return self.feed_pieces(now, to, always);
        }
        if !always && p.next > last {
            return;
        }
        let prev = p.next - 1;
        let Some(prev_term) = self.log.term(prev) else { return };
        let entries = self.log.from(prev + 1, self.tuning.batch);
        p.next += entries.len() as Index;
        let prev = (prev, prev_term);
        let sure = p.stamp.filter(|_| attached);
        self.send(to, Message::Append { term, prev, entries, commit, sure, round });
    }

    fn feed_pieces(&mut self, now: Millis, to: NodeId, always: bool) {
        let Some(newest) = self.log.snapshot.clone() else { return };
        let (term, size, room) = (self.term, self.tuning.piece as u64, self.tuning.window as u64);
        let patience = 4 * self.tuning.heartbeat;
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let Some(p) = leader.peers.get_mut(&to) else { return };
        let s = p.pieces.get_or_insert(Sending { snapshot: newest, sent: 0, came: 0, at: now });
        let total = s.snapshot.data.len() as u64;
        if now > s.at + patience {
            // Pieces were lost on their way: again from what came.
            (s.sent, s.at) = (s.came, now);
        }
        let mut messages = Vec::new();
        // Where no more may be on its way a heartbeat is due: the next piece's place without its bytes.
        while (s.sent < total && s.sent < s.came + room * size) || (always && messages.is_empty()) {
            let open = s.sent < s.came + room * size;
            let end = if open { (s.sent + size).min(total) } else { s.sent };
            let Snapshot { index, term: last, members, data } = &s.snapshot;
            messages.push(Message::Piece {
                term,
                round,
                index: *index,
                last: *last,
                members: members.clone(),
                offset: s.sent,
                total,
                data: data.slice(s.sent as usize..end as usize),
            });
            s.sent = end;
        }
        for message in messages {
            self.send(to, message);
        }
    }

    /// Is this answer one to this leader, in this term?
    pub(super) fn answered(&mut self, now: Millis, from: NodeId, term: Term, round: u64) -> bool {
        if term > self.term {
            self.step_down(now, term);
            return false;
        }
        if term < self.term && !self.broken(InjectedFault::OldAck) {
            return false;
        }
        let late = self.broken(InjectedFault::LeaseByArrival);
        let Role::Leader(leader) = &mut self.role else { return false };
        let Some(p) = leader.peers.get_mut(&from) else { return false };
        p.heard = now;
        if round > p.round {
            p.round = round;
            // The round's own sending time; one that is not kept any more tells nothing new.
            if let Some((_, at)) = leader.rounds.iter().find(|(r, _)| *r == round) {
                p.contact = p.contact.max(if late { now } else { *at });
            }
        }
        true
    }

    /// A machine's own time goes back to it, with the next word that is sure.
    pub(super) fn stamped(&mut self, from: NodeId, stamp: Millis) {
        if let Role::Leader(leader) = &mut self.role {
            if let Some(p) = leader.peers.get_mut(&from) {
                p.stamp = Some(stamp);
            }
        }
    }

    /// A machine told how far its log is this leader's.
    pub(super) fn replied(&mut self, now: Millis, from: NodeId, index: Index, matches: bool) {
        let last = self.log.last();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(p) = leader.peers.get_mut(&from) else { return };
        if matches {
            p.matched = p.matched.max(index.min(last));
            p.next = p.next.max(p.matched + 1);
            if p.pieces.as_ref().is_some_and(|s| p.matched >= s.snapshot.index) {
                p.pieces = None;
            }
        } else {
            // What it has on its disk never becomes less; else it is told from where it says.
            p.next = (index + 1).clamp(p.matched + 1, last + 1);
            p.pieces = None;
        }
        self.advance(now);
        self.feed(now, from, false);
        self.hand_over();
    }

    /// A piece came.
    pub(super) fn piece_came(&mut self, now: Millis, from: NodeId, index: Index, offset: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(p) = leader.peers.get_mut(&from) else { return };
        if let Some(s) = p.pieces.as_mut().filter(|s| s.snapshot.index == index) {
            if offset > s.came {
                (s.came, s.at, s.sent) = (offset, now, s.sent.max(offset));
            } else if offset < s.came {
                // It lost what it had: from there.
                (s.came, s.sent, s.at) = (offset, offset, now);
            }
        }
        self.advance(now);
        self.feed(now, from, false);
    }

    /// When most were last surely in touch: sending time of what they have answered since.
    pub(super) fn contact(&self, now: Millis) -> Millis {
        let Role::Leader(leader) = &self.role else { return 0 };
        self.most(now, |p| p.contact.max(leader.since))
    }

    /// The highest value that most of the voters have reached, this one with `own`.
    fn most<T: Ord + Copy + Default>(&self, own: T, of: impl Fn(&Progress) -> T) -> T {
        let Role::Leader(leader) = &self.role else { return T::default() };
        let members = self.members();
        let value = |id: &NodeId| match id {
            id if *id == self.me => own,
            id => leader.peers.get(id).map(&of).unwrap_or_default(),
        };
        let mut values: Vec<T> = members.iter().map(value).collect();
        if self.broken(InjectedFault::LearnerCounts) || self.broken(InjectedFault::RemovedCounts) {
            let before = self.log.members_at(self.log.members().0.saturating_sub(1));
            let wrong = |id: &&NodeId| {
                !members.contains(id) && before.contains(id) == self.broken(InjectedFault::RemovedCounts)
            };
            values.extend(leader.peers.keys().filter(wrong).map(value));
        }
        values.sort_unstable();
        // Sorted upwards: most are at or above this one.
        values
            .len()
            .checked_sub(members.len() / 2 + 1)
            .and_then(|n| values.get(n).copied())
            .unwrap_or_default()
    }

    /// Commits what most hold, and answers reads that most were in touch for.
    pub(super) fn advance(&mut self, now: Millis) {
        if !self.leads() {
            return;
        }
        let held = self.most(self.synced_index(), |p| p.matched);
        let own = self.log.term(held) == Some(self.term) || self.broken(InjectedFault::CommitOldTerm);
        if held > self.commit && own {
            self.commit = held;
            self.apply();
            self.retire(now);
            // The others hear at once: they hand it out.
            self.broadcast(now);
        }
        let (commit, own_round) = (self.commit, u64::MAX);
        let round = match self.broken(InjectedFault::ReadWithoutContact) {
            true => u64::MAX,
            false => self.most(own_round, |p| p.round),
        };
        let Role::Leader(leader) = &mut self.role else { return };
        if commit < leader.first {
            return;
        }
        let (ready, rest) = std::mem::take(&mut leader.reads).into_iter().partition(|r| r.1 <= round);
        leader.reads = rest;
        let ready: Vec<(u64, u64)> = ready;
        self.out.extend(ready.into_iter().map(|(number, _)| Output::ReadReady(number)));
    }

    /// A leader's upkeep.
    pub(super) fn lead(&mut self, now: Millis) {
        let silent = now >= self.contact(now).saturating_add(self.tuning.election);
        if silent && !self.broken(InjectedFault::NeverStepsDown) {
            // Most did not answer for an election's time: somebody else may lead by now.
            return self.step_down(now, self.term);
        }
        let Role::Leader(leader) = &self.role else { return };
        let due = now >= leader.sent + self.tuning.heartbeat;
        if leader.transfer.is_some_and(|(_, since)| now > since + self.tuning.election) {
            // The one that was told to stand may yet do so, at any time: this term's lead is over.
            return self.step_down(now, self.term);
        }
        if due {
            self.broadcast(now);
        }
        if self.hangs(now) {
            self.transfer(now);
        }
        self.mend_members(now);
    }

    // The follower's part.

    /// Is this message one of a leader that is to be followed?
    pub(super) fn follow(&mut self, now: Millis, from: NodeId, term: Term, round: u64) -> bool {
        if term < self.term {
            // It hears of the newer term, unless this one must be silent until that is on its disk.
            self.send(
                from,
                Message::AppendReply { term: self.term, round: 0, index: 0, matches: false, stamp: now },
            );
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.step_down(now, term);
        }
        if self.vote != Some(from) && !self.broken(InjectedFault::VoteUnnamed) {
            // Whom it may be bound to, for its next life. Nobody else can win this term: most have voted for this one, and
            // whoever has not may name it as well.
            self.set_term(term, Some(from));
        }
        self.leader = Some(from);
        self.heard = Some(now);
        self.heard_round = self.heard_round.max(round);
        self.await_leader(now);
        true
    }

    pub(super) fn appended(
        &mut self,
        from: NodeId,
        prev: (Index, Term),
        mut entries: Vec<Entry<C>>,
        (commit, sure): (Index, Option<Millis>),
        now: Millis,
    ) {
        let base = self.log.base().0;
        let end = prev.0 + entries.len() as Index;
        if prev.0 < base {
            // What lies before the snapshot is committed, and the same.
            entries.retain(|e| e.index > base);
        } else if self.log.term(prev.0) != Some(prev.1) && !self.broken(InjectedFault::PrevUnchecked) {
            // From where to go on: behind what is surely the same, or the end of a shorter log.
            let index = (prev.0.saturating_sub(1)).min(self.log.last());
            let index = if index == prev.0.saturating_sub(1) { self.commit.min(index) } else { index };
            let (term, round) = (self.term, self.heard_round);
            return self.send(from, Message::AppendReply { term, round, index, matches: false, stamp: now });
        }
        let differs = entries.iter().position(|e| self.log.term(e.index) != Some(e.term));
        if let Some(at) = differs {
            self.put(entries.split_off(at));
        }
        self.verified = self.verified.max(end);
        self.told_commit = self.told_commit.max(commit);
        // Not a stamp of a life before this one.
        self.sure = self.sure.max(sure.filter(|at| (self.started..=now).contains(at)));
        let sure = if self.broken(InjectedFault::UnverifiedCommit) { self.log.last() } else { self.verified };
        let commit = commit.min(sure);
        if commit > self.commit {
            self.commit = commit;
            self.apply();
        }
        self.tell_matched(now, from);
    }

    /// Tells the leader how much of its log is on this disk.
    pub(super) fn tell_matched(&mut self, now: Millis, to: NodeId) {
        let index = self.verified.min(self.synced_index());
        let (term, round) = (self.term, self.heard_round);
        self.send(to, Message::AppendReply { term, round, index, matches: true, stamp: now });
    }

    pub(super) fn piece(
        &mut self,
        now: Millis,
        from: NodeId,
        (index, last, members): (Index, Term, Members),
        (offset, total): (u64, u64),
        data: &[u8],
    ) {
        let (term, round) = (self.term, self.heard_round);
        if index <= self.commit && !self.broken(InjectedFault::SnapshotBack) {
            // Held already: all up to what is committed here is the leader's.
            self.verified = self.verified.max(self.commit);
            return self.tell_matched(now, from);
        }
        let fresh = || Incoming { index, last, data: Vec::new() };
        let incoming = self.incoming.get_or_insert_with(fresh);
        if (incoming.index, incoming.last) != (index, last) {
            *incoming = fresh();
        }
        if incoming.data.len() as u64 == offset {
            // Room for all of it at once: growing would copy it again and again.
            incoming.data.reserve_exact((total.saturating_sub(offset)).min(SNAPSHOT_MOST) as usize);
            incoming.data.extend_from_slice(data);
        }
        let came = incoming.data.len() as u64;
        if came < total {
            return self.send(from, Message::PieceReply { term, round, index, offset: came });
        }
        let data = bytes::Bytes::from(std::mem::take(&mut incoming.data));
        self.incoming = None;
        let snapshot = Snapshot { index, term: last, members, data };
        let whole = self.log.term(index) != Some(last);
        self.writes.push(LogWrite::Snapshot { snapshot: snapshot.clone(), whole });
        self.log.compact(snapshot.clone(), whole);
        (self.commit, self.applied) = (index, index);
        self.verified = self.verified.max(index);
        self.told_commit = self.told_commit.max(index);
        self.out.push(Output::Install(snapshot));
        self.tell_matched(now, from);
    }
}
