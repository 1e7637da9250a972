//! Owns who votes: machines that join, catch up and vote, disks that are lost, machines that are gone; and handing over the
//! lead. It must never change the members by more than one, nor before the last change is committed.

use super::*;

impl<C: Clone> Raft<C> {
    /// A core machine says that it is there, with this disk, and hears no leader.
    pub fn join(&mut self, now: Millis, id: NodeId) {
        if id == self.me {
            return;
        }
        let fresh = self.unknown(now);
        // It is back.
        self.leaving.remove(&id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.present.insert(id.ip, id.disk);
        // Others of this machine's disks that don't vote are nobody's any more.
        let members = self.log.members().1;
        leader.peers.retain(|p, _| p.ip != id.ip || *p == id || members.contains(p));
        let known = leader.peers.contains_key(&id);
        let progress = leader.peers.entry(id).or_insert(fresh);
        if !members.contains(&id) {
            progress.heard = now;
        }
        if !known {
            self.feed(now, id, true);
        }
        self.flush(now);
    }

    /// A machine says that it ends: it may go at once, where silence would have to tell. Whoever leads, now or soon, knows.
    pub fn leave(&mut self, now: Millis, id: NodeId) {
        self.leaving.retain(|_, until| now < *until);
        if id != self.me {
            self.leaving.insert(id, now + self.tuning.out_after);
        }
        if let Role::Leader(_) = &self.role {
            self.mend_members(now);
        }
        self.flush(now);
    }

    /// One change of members at a time: who has caught up votes, whose disk is lost or who is gone for long goes.
    pub(super) fn mend_members(&mut self, now: Millis) {
        let (at, members) = self.log.members();
        let Role::Leader(leader) = &mut self.role else { return };
        let busy = at > self.commit && self.mutant != Some(InjectedFault::TwoChanges);
        let early = self.commit < leader.first && self.mutant != Some(InjectedFault::EarlyChange);
        if early || busy || leader.transfer.is_some() {
            return;
        }
        let (out_after, election) = (self.tuning.out_after, self.tuning.election);
        // Machines that only wanted to join and are not heard any more.
        leader.peers.retain(|id, p| members.contains(id) || now < p.heard + 4 * out_after);
        let silent = |id: &NodeId, span: Millis| {
            *id != self.me && leader.peers.get(id).is_none_or(|p| now >= p.heard + span)
        };
        let superseded = |id: &NodeId| leader.present.get(&id.ip).is_some_and(|disk| *disk != id.disk);
        // Never by a step after which those that are heard could not go on.
        let able = |next: &Members| 2 * next.iter().filter(|id| !silent(id, election)).count() > next.len();
        let leaves = |id: &NodeId| self.leaving.get(id).is_some_and(|until| now < *until);
        // Of two, one that ends leaves the other able to go on; one that is silent may be cut off.
        let enough = |id: &NodeId| members.len() > self.tuning.least || members.len() == 2 && leaves(id);
        let gone = |id: &&NodeId| {
            let lost = superseded(id) && silent(id, election);
            lost || enough(id) && (silent(id, out_after) || leaves(id))
        };
        // A lost disk goes before the machine's next one comes: with both, all others would be needed for every step, and
        // a machine that loses its disk again in its repair would leave no majority for ever.
        let ready = |(id, p): &(&NodeId, &Progress)| {
            let other = members.iter().any(|m| m.ip == id.ip);
            !other && !leaves(id) && p.matched >= self.commit && !silent(id, election) && !superseded(id)
        };
        let mut next = members.clone();
        if let Some(id) = members.iter().find(|id| superseded(id) && gone(id)) {
            next.remove(id);
        } else if let Some((id, _)) = leader.peers.iter().find(ready) {
            next.insert(*id);
        } else if let Some(id) = members.iter().find(gone) {
            next.remove(id);
        }
        if next != members && able(&next) {
            self.add(now, EntryPayload::Members(next));
        }
    }

    /// A change of members is committed, or anything else: who does not vote any more is told no more, and does not lead.
    pub(super) fn retire(&mut self, now: Millis) {
        let (at, members) = self.log.members();
        if at > self.commit {
            return;
        }
        if !members.contains(&self.me) {
            return self.step_down(now, self.term);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let superseded = |id: &NodeId| leader.present.get(&id.ip).is_some_and(|disk| *disk != id.disk);
        leader.peers.retain(|id, _| members.contains(id) || !superseded(id));
    }

    /// Hands the lead to whoever is up with it: this process ends, or its disk hangs.
    pub fn transfer(&mut self, now: Millis) {
        let members = self.members();
        let election = self.tuning.election;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.is_some() {
            return;
        }
        let fit = leader.peers.iter().filter(|(id, p)| members.contains(id) && now < p.heard + election);
        let Some((to, _)) = fit.max_by_key(|(_, p)| p.matched) else { return };
        leader.transfer = Some((*to, now));
        self.hand_over();
        self.flush(now);
    }

    /// Tells the next leader to stand, once it holds all.
    pub(super) fn hand_over(&mut self) {
        let (last, term) = (self.log.last(), self.term);
        let Role::Leader(leader) = &self.role else { return };
        let Some((to, _)) = leader.transfer else { return };
        let ready = leader.peers.get(&to).is_some_and(|p| p.matched >= last);
        if ready || self.broken(InjectedFault::EarlyHandOver) {
            self.send(to, Message::TimeoutNow { term });
        }
    }
}
