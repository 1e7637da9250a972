//! The leader's side: which members support this allocator, and what it has granted.
//!
//! A member supports at most one allocator at a time. An allocator is the leader while a majority of the members
//! supports it, so there is at most one leader at any time.
//!
//! Invariants:
//! - grants are made only with the support of a majority;
//! - a share counts as free only when no holder can still use it.
//!
//! What a budget is for does not matter here.

use super::{
    share, BudgetName, GrantRequest, GrantResponse, HeldGrant, LeaseTimes, Ms, Origin, Ppm, TOTAL_PPM,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What one holder may use of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderState {
    /// Grants of this allocator by number: the share, and until when it counts.
    grants: BTreeMap<u64, (Ppm, Ms)>,
    /// A grant of another allocator that the holder reported to use, and until when it counts.
    foreign_grant: Option<(Ppm, Ms)>,
    demand: Ppm,
    /// Until then the demand counts.
    demand_until: Ms,
}

impl HolderState {
    /// The largest share that the holder may be using.
    fn max_share(&self, now: Ms) -> Ppm {
        let own = self.grants.values().filter(|grant| now < grant.1).map(|grant| grant.0);
        let foreign = self.foreign_grant.filter(|grant| now < grant.1).map(|grant| grant.0);
        own.chain(foreign).max().unwrap_or(0)
    }
}

/// Holders of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BudgetState {
    holders: BTreeMap<Origin, HolderState>,
    /// Holders that reported in this epoch which grant of another allocator they use.
    reported: BTreeSet<Origin>,
    /// Share that a previous leader may have granted to holders that have not reported.
    unknown: Ppm,
}

impl BudgetState {
    /// The sum of the largest shares that the holders may be using.
    fn max_share(&self, now: Ms) -> Ppm {
        self.holders.values().map(|holder| holder.max_share(now)).sum()
    }
}

/// State of one gatekeeper as an allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator {
    me: Origin,
    times: LeaseTimes,
    /// Configured number of members of the fleet.
    members: usize,
    /// Until then a previous incarnation may have been the leader, or this member may have promised its support to
    /// another allocator.
    not_leader_until: Ms,
    /// By name of the member: the incarnation that supports this allocator, and until when.
    supporters: BTreeMap<Arc<str>, (u64, Ms)>,
    /// Until then this allocator is the leader.
    leader_until: Ms,
    /// Until then holders may use grants of a previous leader that this one does not know.
    unknown_until: Ms,
    epoch: u64,
    budgets: BTreeMap<BudgetName, BudgetState>,
    grant_count: u64,
    /// Number of the first grant of this epoch.
    first_grant_of_epoch: u64,
    /// By name of the member: the last incarnation that sent a request, and the number of its last request.
    last_requests: BTreeMap<Arc<str>, (u64, u64)>,
    departed: BTreeSet<Origin>,
}

/// Maximum number of member names whose last request is remembered, and of departed incarnations.
const MAX_REMEMBERED: usize = 4096;

/// Allocation of one budget, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetReport {
    /// The budget.
    pub budget: BudgetName,
    /// For each holder, the largest share that it may be using.
    pub shares: Vec<(Origin, Ppm)>,
    /// Share that cannot be granted because a previous leader may have granted it.
    pub unknown: Ppm,
}

impl Allocator {
    /// State of a process that starts now in a fleet of this many members.
    pub fn new(me: Origin, now: Ms, times: LeaseTimes, members: u32) -> Self {
        Allocator {
            me,
            times,
            members: members.max(1) as usize,
            not_leader_until: now + times.lease_with_margin_ms(),
            supporters: BTreeMap::new(),
            leader_until: 0,
            unknown_until: 0,
            epoch: 0,
            budgets: BTreeMap::new(),
            grant_count: 0,
            first_grant_of_epoch: 0,
            last_requests: BTreeMap::new(),
            departed: BTreeSet::new(),
        }
    }

    /// Whether this allocator is the leader now.
    pub fn is_leader(&self, now: Ms) -> bool {
        now < self.leader_until
    }

    /// Number of times that this allocator has become the leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Milliseconds for which this allocator remains the leader, and until all grants of previous leaders have ended.
    pub fn remaining_ms(&self, now: Ms) -> (Ms, Ms) {
        (self.leader_until.saturating_sub(now), self.unknown_until.saturating_sub(now))
    }

    /// Counts the support that comes with a request, and becomes or remains the leader if a majority supports it.
    fn record_support(&mut self, now: Ms, request: &GrantRequest) {
        let Some(stamp) = request.support_stamp.filter(|stamp| *stamp <= now) else { return };
        // The supporter received the stamp after it was made and sent its promise after that, so the promise outlasts
        // a lease that starts at the stamp.
        let until = stamp + self.times.lease_ms;
        let incarnation = request.from.incarnation;
        let support = self.supporters.entry(request.from.name.clone()).or_insert((incarnation, until));
        // Support of a later incarnation replaces that of an earlier one; within an incarnation it is only extended.
        *support = (*support).max((incarnation, until));
        // A majority supports this allocator until the support of the last member that completes it ends.
        let mut ends: Vec<Ms> = self.supporters.values().map(|support| support.1).collect();
        let majority_index = self.members / 2;
        let majority_until = match majority_index < ends.len() {
            true => *ends.select_nth_unstable_by(majority_index, |a, b| b.cmp(a)).1,
            false => 0,
        };
        if now < majority_until && now >= self.not_leader_until {
            if now >= self.leader_until {
                self.begin_epoch(now);
            }
            self.leader_until = self.leader_until.max(majority_until);
        }
    }

    /// Starts an epoch as the leader. Another allocator may have been the leader until just now and may have granted
    /// again what this one granted before. So nothing is known but what holders report from now on.
    fn begin_epoch(&mut self, now: Ms) {
        self.epoch += 1;
        self.first_grant_of_epoch = self.grant_count + 1;
        self.unknown_until = now + self.times.lease_with_margin_ms();
        self.budgets.clear();
    }

    /// Whether a request is addressed to this incarnation and newer than all requests of its sender so far. Repeated
    /// and late requests describe an outdated state.
    fn is_new_request(&mut self, request: &GrantRequest) -> bool {
        let this = (request.from.incarnation, request.number);
        if request.to != self.me
            || (self.last_requests.len() >= MAX_REMEMBERED
                && !self.last_requests.contains_key(&request.from.name))
        {
            return false;
        }
        let last = self.last_requests.entry(request.from.name.clone()).or_default();
        let is_new = *last < this;
        *last = this.max(*last);
        is_new
    }

    /// Responds to a request received at `now`.
    pub fn handle_request(&mut self, now: Ms, request: &GrantRequest) -> GrantResponse {
        let (mut grants, is_new) = (Vec::new(), self.is_new_request(request));
        if is_new {
            self.record_support(now, request);
        }
        if !is_new {
            // Nothing is granted: the sender no longer accepts a response to an old request.
        } else if request.is_leaving {
            self.remove_holder(&request.from);
        } else if self.is_leader(now) && !self.departed.contains(&request.from) {
            self.record_held_grants(now, request);
            for (budget, demand) in &request.demands {
                if let Some((number, share)) = self.grant(now, &request.from, budget, *demand) {
                    grants.push((budget.clone(), number, share));
                }
            }
        }
        let (from, is_leader) = (self.me.clone(), self.is_leader(now));
        GrantResponse { from, request_number: request.number, stamp: now, is_leader, grants }
    }

    fn remove_holder(&mut self, holder: &Origin) {
        for budget in self.budgets.values_mut() {
            budget.holders.remove(holder);
        }
        if self.departed.len() < MAX_REMEMBERED {
            self.departed.insert(holder.clone());
        }
    }

    fn budget_state(&mut self, now: Ms, budget: &BudgetName) -> &mut BudgetState {
        let unknown = if now < self.unknown_until { TOTAL_PPM } else { 0 };
        self.budgets
            .entry(budget.clone())
            .or_insert_with(|| BudgetState { unknown, ..BudgetState::default() })
    }

    /// Records which grants the sender of a request uses.
    fn record_held_grants(&mut self, now: Ms, request: &GrantRequest) {
        let (me, first_grant, until) =
            (self.me.clone(), self.first_grant_of_epoch, now + self.times.lease_with_margin_ms());
        // Reports of foreign grants count only with support: a supporter accepts no further grant of another
        // allocator.
        let is_supporter = request.support_stamp.is_some() && now < self.unknown_until;
        for HeldGrant { budget, granted_by, grant_number, share } in &request.held {
            let state = self.budget_state(now, budget);
            let holder = state.holders.entry(request.from.clone()).or_default();
            if *granted_by == me && *grant_number >= first_grant {
                // The holder accepts no response to an earlier request, so it cannot use an earlier grant any more.
                holder.grants.retain(|number, _| number >= grant_number);
                holder.foreign_grant = None;
            } else if is_supporter && state.reported.insert(request.from.clone()) {
                let known = holder.max_share(now);
                holder.foreign_grant = Some((*share, until));
                state.unknown = state.unknown.saturating_sub(share.saturating_sub(known));
            }
        }
    }

    /// Grants a share of a budget to a holder; returns the number of the grant and the share.
    fn grant(&mut self, now: Ms, to: &Origin, budget: &BudgetName, demand: Ppm) -> Option<(u64, Ppm)> {
        let (until, has_unknown) = (now + self.times.lease_with_margin_ms(), now < self.unknown_until);
        let state = self.budget_state(now, budget);
        if !has_unknown {
            state.unknown = 0;
        }
        let holder = state.holders.entry(to.clone()).or_default();
        (holder.demand, holder.demand_until) = (demand.min(TOTAL_PPM), until);
        let current = holder.max_share(now);
        let demands: Vec<(&Origin, Ppm)> = state
            .holders
            .iter()
            .filter(|(_, holder)| now < holder.demand_until)
            .map(|(origin, holder)| (origin, holder.demand))
            .collect();
        let fair = share::max_min_fair(&demands.iter().map(|demand| demand.1).collect::<Vec<_>>());
        let index = demands.iter().position(|demand| demand.0 == to)?;
        let others = state.max_share(now) - current;
        let available = TOTAL_PPM.saturating_sub(others + state.unknown);
        let share = share::next_share(current, fair[index], available);
        self.grant_count += 1;
        let number = self.grant_count;
        let holder = self.budgets.get_mut(budget)?.holders.get_mut(to)?;
        holder.grants.retain(|_, grant| now < grant.1);
        holder.grants.insert(number, (share, until));
        Some((number, share))
    }

    /// Discards ended support, grants and demands.
    pub fn discard_expired(&mut self, now: Ms) {
        self.supporters.retain(|_, support| now < support.1);
        self.budgets.retain(|_, budget| {
            budget.holders.retain(|_, holder| holder.max_share(now) > 0 || now < holder.demand_until);
            !budget.holders.is_empty()
        });
    }

    /// Allocation of each budget, for operators.
    pub fn report(&self, now: Ms) -> Vec<BudgetReport> {
        let report = |(budget, state): (&BudgetName, &BudgetState)| BudgetReport {
            budget: budget.clone(),
            shares: state
                .holders
                .iter()
                .map(|(origin, holder)| (origin.clone(), holder.max_share(now)))
                .collect(),
            unknown: if now < self.unknown_until { state.unknown } else { 0 },
        };
        self.budgets.iter().map(report).collect()
    }
}
