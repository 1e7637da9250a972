//! What one gatekeeper holds, and whom it supports as the divider. It owns the promise that support is, and the terms of
//! its parts. It must never go by a part past its term, support two at once, or take an answer to any but its last
//! request.

use super::{BudgetName, GrantRequest, GrantResponse, HeldGrant, LeaseTimes, Ms, Origin, Ppm};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Part {
    by: Origin,
    number: u64,
    part: Ppm,
    until: Ms,
}

/// One gatekeeper's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Origin,
    times: LeaseTimes,
    /// It may have promised support in a former life until then.
    quiet_until: Ms,
    /// Whom it supports, and until when it supports no other.
    supports: Option<(Origin, Ms)>,
    /// The last stamp it heard, and whose.
    heard: Option<(Origin, u64)>,
    /// Its last request: the number, to whom, and when.
    asked: Option<(u64, Origin, Ms)>,
    count: u64,
    parts: BTreeMap<BudgetName, Part>,
    left: bool,
}

impl Holder {
    /// A process that begins: what a former life of it promised holds for a term and a margin.
    pub fn new(me: Origin, now: Ms, times: LeaseTimes) -> Self {
        let quiet_until = now + times.lease_with_margin_ms();
        let (parts, left) = (BTreeMap::new(), false);
        Holder { me, times, quiet_until, supports: None, heard: None, asked: None, count: 0, parts, left }
    }

    /// The next request, to the one that is taken for the divider.
    pub fn next_request(&mut self, now: Ms, to: &Origin, wants: Vec<(BudgetName, Ppm)>) -> GrantRequest {
        self.parts.retain(|_, part| now < part.until);
        let free = self.supports.as_ref().is_none_or(|(who, until)| who == to || now >= *until);
        let stamp = self.heard.as_ref().filter(|heard| heard.0 == *to).map(|heard| heard.1);
        let support = stamp.filter(|_| free && now >= self.quiet_until && !self.left);
        if support.is_some() {
            self.supports = Some((to.clone(), now + self.times.lease_with_margin_ms()));
        }
        self.count += 1;
        self.asked = Some((self.count, to.clone(), now));
        let held = |(budget, p): (&BudgetName, &Part)| HeldGrant {
            budget: budget.clone(),
            granted_by: p.by.clone(),
            grant_number: p.number,
            share: p.part,
        };
        let held = self.parts.iter().map(held).collect();
        let (from, to) = (self.me.clone(), to.clone());
        GrantRequest {
            from,
            to,
            number: self.count,
            support_stamp: support,
            held,
            demands: wants,
            is_leaving: self.left,
        }
    }

    /// An answer came. `false`: it is none to the last request.
    pub fn handle_response(&mut self, answer: &GrantResponse) -> bool {
        let Some((number, to, at)) = self.asked.as_ref() else { return false };
        if *number != answer.request_number || *to != answer.from || self.left {
            return false;
        }
        self.heard = Some((answer.from.clone(), answer.stamp));
        for (budget, number, part) in answer.grants.iter().filter(|_| answer.is_leader) {
            let (by, until) = (answer.from.clone(), at + self.times.lease_ms);
            self.parts.insert(budget.clone(), Part { by, number: *number, part: *part, until });
        }
        true
    }

    /// What it may go by now, of a budget: looked at as each session is admitted.
    pub fn share(&self, now: Ms, budget: &str) -> Ppm {
        self.parts.get(budget).filter(|part| now < part.until).map_or(0, |part| part.part)
    }

    /// All that it may go by now, each with the time at which it ends.
    pub fn shares(&self, now: Ms) -> impl Iterator<Item = (&BudgetName, Ppm, Ms)> {
        self.parts
            .iter()
            .filter(move |(_, part)| now < part.until)
            .map(|(b, part)| (b, part.part, part.until))
    }

    /// Whom it supports now.
    pub fn supported_leader(&self, now: Ms) -> Option<&Origin> {
        self.supports.as_ref().filter(|(_, until)| now < *until).map(|(who, _)| who)
    }

    /// It ends: it holds nothing from now on, and its next request says so.
    pub fn leave(&mut self) {
        self.left = true;
        self.parts.clear();
    }
}
