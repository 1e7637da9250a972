//! What one gatekeeper gives out while it leads: who supports it until when, and what each may still go by. It owns the
//! ledger. It must never give without the support of a majority, count a part as free that anybody may go by, or know
//! what a budget is good for.

use super::{
    share, BudgetName, GrantRequest, GrantResponse, HeldGrant, LeaseTimes, Ms, Origin, Ppm, TOTAL_PPM,
};
use std::collections::{BTreeMap, BTreeSet};

/// What one may still go by, of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    /// Parts given, by number, each counted until then.
    given: BTreeMap<u64, (Ppm, Ms)>,
    /// A part that another divider gave, which it said that it goes by.
    foreign: Option<(Ppm, Ms)>,
    wants: Ppm,
    /// Its wants count until then.
    wants_until: Ms,
}

impl Account {
    /// The most it may go by.
    fn counted(&self, now: Ms) -> Ppm {
        let given = self.given.values().filter(|given| now < given.1).map(|given| given.0);
        given
            .chain(self.foreign.filter(|foreign| now < foreign.1).map(|foreign| foreign.0))
            .max()
            .unwrap_or(0)
    }
}

/// One budget's ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Ledger {
    accounts: BTreeMap<Origin, Account>,
    /// Those that said in this reign what they go by of another divider.
    told: BTreeSet<Origin>,
    /// What a former divider may have given to whom nobody knows.
    unknown: Ppm,
}

impl Ledger {
    fn counted(&self, now: Ms) -> Ppm {
        self.accounts.values().map(|account| account.counted(now)).sum()
    }
}

/// One gatekeeper's side as the divider.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Allocator {
    me: Origin,
    times: LeaseTimes,
    /// Members that the platform says there are.
    members: usize,
    /// It may have led in a former life, or promised support to another, until then.
    quiet_until: Ms,
    /// By name: the life that supports it, and until when.
    supporters: BTreeMap<std::sync::Arc<str>, (u64, Ms)>,
    /// It leads until then, and since a reign began what is unknown is unknown until then.
    leads_until: Ms,
    unknown_until: Ms,
    reigns: u64,
    ledgers: BTreeMap<BudgetName, Ledger>,
    given: u64,
    /// Parts of this reign have this number or a greater one.
    reign_from: u64,
    /// By name: the last life that asked, and the number of its last request.
    last: BTreeMap<std::sync::Arc<str>, (u64, u64)>,
    gone: BTreeSet<Origin>,
}

/// So many names of members that asked are remembered, and so many lives that have left.
const NAMES_MOST: usize = 4096;

/// What operators see of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetReport {
    /// Which.
    pub budget: BudgetName,
    /// By holder: the part that is counted for it.
    pub shares: Vec<(Origin, Ppm)>,
    /// What is out of reach until the unknown is known.
    pub unknown: Ppm,
}

impl Allocator {
    /// A process that begins, of so many members.
    pub fn new(me: Origin, now: Ms, times: LeaseTimes, members: u32) -> Self {
        Allocator {
            me,
            times,
            members: members.max(1) as usize,
            quiet_until: now + times.lease_with_margin_ms(),
            supporters: BTreeMap::new(),
            leads_until: 0,
            unknown_until: 0,
            reigns: 0,
            ledgers: BTreeMap::new(),
            given: 0,
            reign_from: 0,
            last: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Does it lead now?
    pub fn is_leader(&self, now: Ms) -> bool {
        now < self.leads_until
    }

    /// Reigns so far.
    pub fn epoch(&self) -> u64 {
        self.reigns
    }

    /// Milliseconds for which it leads yet, and until nothing is unknown any more.
    pub fn remaining_ms(&self, now: Ms) -> (Ms, Ms) {
        (self.leads_until.saturating_sub(now), self.unknown_until.saturating_sub(now))
    }

    fn support(&mut self, now: Ms, request: &GrantRequest) {
        let Some(stamp) = request.support_stamp.filter(|stamp| *stamp <= now) else { return };
        let until = stamp + self.times.lease_ms;
        let life = request.from.incarnation;
        let held = self.supporters.entry(request.from.name.clone()).or_insert((life, until));
        *held = (*held).max((life, until)); // of a later life, or of the same one for longer
                                            // A majority supports it until the last of that many stops.
        let mut ends: Vec<Ms> = self.supporters.values().map(|s| s.1).collect();
        let place = self.members / 2;
        let until = match place < ends.len() {
            true => *ends.select_nth_unstable_by(place, |a, b| b.cmp(a)).1,
            false => 0,
        };
        if now < until && now >= self.quiet_until {
            if now >= self.leads_until {
                self.begin(now);
            }
            self.leads_until = self.leads_until.max(until);
        }
    }

    /// A reign begins: another may have led until just now. What this one gave before may since have been given again
    /// by that one, so nothing is known but what holders say from now on.
    fn begin(&mut self, now: Ms) {
        self.reigns += 1;
        self.reign_from = self.given + 1;
        self.unknown_until = now + self.times.lease_with_margin_ms();
        self.ledgers.clear();
    }

    /// Is it news, from the last life of its name and with a number that was not there before? What is repeated or late
    /// tells of what is no longer so.
    fn is_news(&mut self, request: &GrantRequest) -> bool {
        let this = (request.from.incarnation, request.number);
        if request.to != self.me
            || (self.last.len() >= NAMES_MOST && !self.last.contains_key(&request.from.name))
        {
            return false;
        }
        let last = self.last.entry(request.from.name.clone()).or_default();
        let news = *last < this;
        *last = this.max(*last);
        news
    }

    /// Answers a request, which came at `now`.
    pub fn handle_request(&mut self, now: Ms, request: &GrantRequest) -> GrantResponse {
        let (mut parts, news) = (Vec::new(), self.is_news(request));
        if news {
            self.support(now, request);
        }
        if !news {
            // Its sender goes by no answer to it any more.
        } else if request.is_leaving {
            self.left(&request.from);
        } else if self.is_leader(now) && !self.gone.contains(&request.from) {
            self.hear(now, request);
            for (budget, wants) in &request.demands {
                if let Some((number, part)) = self.give(now, &request.from, budget, *wants) {
                    parts.push((budget.clone(), number, part));
                }
            }
        }
        let (from, leads) = (self.me.clone(), self.is_leader(now));
        GrantResponse { from, request_number: request.number, stamp: now, is_leader: leads, grants: parts }
    }

    fn left(&mut self, who: &Origin) {
        for ledger in self.ledgers.values_mut() {
            ledger.accounts.remove(who);
        }
        if self.gone.len() < NAMES_MOST {
            self.gone.insert(who.clone());
        }
    }

    fn ledger(&mut self, now: Ms, budget: &BudgetName) -> &mut Ledger {
        let unknown = if now < self.unknown_until { TOTAL_PPM } else { 0 };
        self.ledgers.entry(budget.clone()).or_insert_with(|| Ledger { unknown, ..Ledger::default() })
    }

    /// What one says it goes by.
    fn hear(&mut self, now: Ms, request: &GrantRequest) {
        let (me, from, until) = (self.me.clone(), self.reign_from, now + self.times.lease_with_margin_ms());
        // Only one that supports this divider takes nothing of another any more.
        let supports = request.support_stamp.is_some() && now < self.unknown_until;
        for HeldGrant { budget, granted_by: by, grant_number: number, share: part } in &request.held {
            let ledger = self.ledger(now, budget);
            let account = ledger.accounts.entry(request.from.clone()).or_default();
            if *by == me && *number >= from {
                // It takes no answer to an earlier request any more.
                account.given.retain(|n, _| n >= number);
                account.foreign = None;
            } else if supports && ledger.told.insert(request.from.clone()) {
                let known = account.counted(now);
                account.foreign = Some((*part, until));
                ledger.unknown = ledger.unknown.saturating_sub(part.saturating_sub(known));
            }
        }
    }

    /// The part that one is given of a budget, with its number.
    fn give(&mut self, now: Ms, to: &Origin, budget: &BudgetName, wants: Ppm) -> Option<(u64, Ppm)> {
        let (until, unknown) = (now + self.times.lease_with_margin_ms(), now < self.unknown_until);
        let ledger = self.ledger(now, budget);
        if !unknown {
            ledger.unknown = 0;
        }
        let account = ledger.accounts.entry(to.clone()).or_default();
        (account.wants, account.wants_until) = (wants.min(TOTAL_PPM), until);
        let counted = account.counted(now);
        let asking: Vec<(&Origin, Ppm)> = ledger
            .accounts
            .iter()
            .filter(|(_, account)| now < account.wants_until)
            .map(|(who, account)| (who, account.wants))
            .collect();
        let fair = share::max_min_fair(&asking.iter().map(|asking| asking.1).collect::<Vec<_>>());
        let place = asking.iter().position(|asking| asking.0 == to)?;
        let others = ledger.counted(now) - counted;
        let room = TOTAL_PPM.saturating_sub(others + ledger.unknown);
        let part = share::next_share(counted, fair[place], room);
        self.given += 1;
        let number = self.given;
        let account = self.ledgers.get_mut(budget)?.accounts.get_mut(to)?;
        account.given.retain(|_, given| now < given.1);
        account.given.insert(number, (part, until));
        Some((number, part))
    }

    /// Forgets what is over.
    pub fn discard_expired(&mut self, now: Ms) {
        self.supporters.retain(|_, supporter| now < supporter.1);
        self.ledgers.retain(|_, ledger| {
            ledger.accounts.retain(|_, account| account.counted(now) > 0 || now < account.wants_until);
            !ledger.accounts.is_empty()
        });
    }

    /// What operators see, budget by budget.
    pub fn report(&self, now: Ms) -> Vec<BudgetReport> {
        let one = |(budget, ledger): (&BudgetName, &Ledger)| BudgetReport {
            budget: budget.clone(),
            shares: ledger
                .accounts
                .iter()
                .map(|(who, account)| (who.clone(), account.counted(now)))
                .collect(),
            unknown: if now < self.unknown_until { ledger.unknown } else { 0 },
        };
        self.ledgers.iter().map(one).collect()
    }
}
