//! The side of a member: the grants that it holds, and the allocator that it supports as the leader.
//!
//! Invariants:
//! - a grant is not used beyond its lease;
//! - a member supports at most one allocator at a time: support is a promise for the lease plus the margin;
//! - only the response to the last request is accepted.

use super::{BudgetName, GrantRequest, GrantResponse, HeldGrant, LeaseTimes, Ms, Origin, Ppm};
use std::collections::BTreeMap;

/// A grant in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    granted_by: Origin,
    number: u64,
    share: Ppm,
    expires_at: Ms,
}

/// State of one member as a holder of grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Origin,
    times: LeaseTimes,
    /// Until then a previous incarnation may still be bound by a promise of support, so none is given.
    no_support_until: Ms,
    /// The supported allocator, and until when no other may be supported.
    supports: Option<(Origin, Ms)>,
    /// The last stamp received, and its allocator.
    last_stamp: Option<(Origin, u64)>,
    /// The last request: its number, its allocator, and when it was sent.
    last_request: Option<(u64, Origin, Ms)>,
    request_count: u64,
    grants: BTreeMap<BudgetName, Grant>,
    is_leaving: bool,
}

impl Holder {
    /// State of a process that starts now. Promises of its previous incarnation may bind it for a lease and a margin.
    pub fn new(me: Origin, now: Ms, times: LeaseTimes) -> Self {
        Holder {
            me,
            times,
            no_support_until: now + times.lease_with_margin_ms(),
            supports: None,
            last_stamp: None,
            last_request: None,
            request_count: 0,
            grants: BTreeMap::new(),
            is_leaving: false,
        }
    }

    /// Makes the next request, to the allocator `to` that is taken for the leader. The caller sends it.
    pub fn next_request(&mut self, now: Ms, to: &Origin, demands: Vec<(BudgetName, Ppm)>) -> GrantRequest {
        self.grants.retain(|_, grant| now < grant.expires_at);
        let may_support =
            self.supports.as_ref().is_none_or(|(allocator, until)| allocator == to || now >= *until);
        let stamp = self.last_stamp.as_ref().filter(|stamp| stamp.0 == *to).map(|stamp| stamp.1);
        let support_stamp = stamp.filter(|_| may_support && now >= self.no_support_until && !self.is_leaving);
        if support_stamp.is_some() {
            self.supports = Some((to.clone(), now + self.times.lease_with_margin_ms()));
        }
        self.request_count += 1;
        self.last_request = Some((self.request_count, to.clone(), now));
        let held = |(budget, grant): (&BudgetName, &Grant)| HeldGrant {
            budget: budget.clone(),
            granted_by: grant.granted_by.clone(),
            grant_number: grant.number,
            share: grant.share,
        };
        GrantRequest {
            from: self.me.clone(),
            to: to.clone(),
            number: self.request_count,
            support_stamp,
            held: self.grants.iter().map(held).collect(),
            demands,
            is_leaving: self.is_leaving,
        }
    }

    /// Takes the grants of a response. Their leases run from the time at which the request was sent. Returns `false`,
    /// and takes nothing, unless it is the response to the last request.
    pub fn handle_response(&mut self, response: &GrantResponse) -> bool {
        let Some((number, to, sent_at)) = self.last_request.as_ref() else { return false };
        if *number != response.request_number || *to != response.from || self.is_leaving {
            return false;
        }
        self.last_stamp = Some((response.from.clone(), response.stamp));
        for (budget, number, share) in response.grants.iter().filter(|_| response.is_leader) {
            let (granted_by, expires_at) = (response.from.clone(), sent_at + self.times.lease_ms);
            let grant = Grant { granted_by, number: *number, share: *share, expires_at };
            self.grants.insert(budget.clone(), grant);
        }
        true
    }

    /// Share of a budget that this member may use now.
    pub fn share(&self, now: Ms, budget: &str) -> Ppm {
        self.grants.get(budget).filter(|grant| now < grant.expires_at).map_or(0, |grant| grant.share)
    }

    /// All shares that this member may use now, each with the time at which its lease ends.
    pub fn shares(&self, now: Ms) -> impl Iterator<Item = (&BudgetName, Ppm, Ms)> {
        self.grants
            .iter()
            .filter(move |(_, grant)| now < grant.expires_at)
            .map(|(budget, grant)| (budget, grant.share, grant.expires_at))
    }

    /// The allocator that this member supports now.
    pub fn supported_leader(&self, now: Ms) -> Option<&Origin> {
        self.supports.as_ref().filter(|(_, until)| now < *until).map(|(allocator, _)| allocator)
    }

    /// Drops all grants for a shutdown; the next request tells the allocator.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.grants.clear();
    }
}
