//! The thin side of budgets that are divided over the fleet: this process's clock in milliseconds, what the core wants,
//! and the log line. It owns one holder and one divider. It must never decide how much anybody has.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use whinstall::fleet::budget::{
    Allocator, BudgetName, GrantRequest, GrantResponse, Holder, LeaseTimes, Ms, Origin, Ppm, TOTAL_PPM,
};
use whinstall::fleet::membership::Member;
use whinstall::fleet::settings::BudgetSettings;
use whinstall::{CeilingShare, CustomerId};

/// Where the divider is asked.
pub const BUDGET_AT: &str = "/fleet/v2/budget";
/// So many requests in a term.
const ASKS: f64 = 3.0;
/// What is over is looked for this often.
const SWEEP: Duration = Duration::from_secs(1);
/// Budgets on a log line at the most.
const TOLD_MOST: usize = 16;

/// Both sides of one process.
pub struct Budgets {
    settings: BudgetSettings,
    holder: RefCell<Holder>,
    divider: RefCell<Allocator>,
    wants: RefCell<Vec<(BudgetName, Ppm)>>,
    swept: Cell<Duration>,
}

fn ms(now: Duration) -> Ms {
    now.as_millis() as Ms
}

impl Budgets {
    /// This life of this gatekeeper, one of so many.
    pub fn new(settings: &BudgetSettings, me: &Origin, now: Duration, members: u32) -> Self {
        let span = |seconds: f64| (seconds * 1e3) as Ms;
        let times = LeaseTimes {
            lease_ms: span(settings.lease_secs),
            clock_margin_ms: span(settings.clock_margin_secs),
        };
        Budgets {
            settings: settings.clone(),
            holder: RefCell::new(Holder::new(me.clone(), ms(now), times)),
            divider: RefCell::new(Allocator::new(me.clone(), ms(now), times, members)),
            wants: RefCell::default(),
            swept: Cell::new(now),
        }
    }

    /// The part of its even share that each has whatever happens.
    pub fn floor(&self) -> f64 {
        self.settings.floor
    }

    /// Between two requests.
    pub fn every(&self) -> Duration {
        Duration::from_secs_f64(self.settings.lease_secs / ASKS)
    }

    /// What the core wants.
    pub fn wants(&self, wants: &[(CustomerId, Ppm)]) {
        *self.wants.borrow_mut() = wants.iter().map(|(id, part)| (BudgetName::clone(&id.0), *part)).collect();
    }

    /// The next request, to this one.
    pub fn ask(&self, now: Duration, to: &Member) -> GrantRequest {
        self.holder.borrow_mut().next_request(ms(now), &to.origin(), self.wants.borrow().clone())
    }

    /// Answers a request as the divider, if this one is.
    pub fn answer(&self, now: Duration, request: &GrantRequest) -> GrantResponse {
        let mut divider = self.divider.borrow_mut();
        if now.saturating_sub(self.swept.get()) > SWEEP {
            self.swept.set(now);
            divider.discard_expired(ms(now));
        }
        divider.handle_request(ms(now), request)
    }

    /// An answer came: what the core may go by now, in its own clock.
    pub fn answered(&self, now: Duration, answer: &GrantResponse) -> Option<Vec<CeilingShare>> {
        let mut holder = self.holder.borrow_mut();
        holder.handle_response(answer).then(|| {
            let parts = holder.shares(ms(now));
            let part = |(budget, part, until): (&BudgetName, Ppm, Ms)| CeilingShare {
                customer: CustomerId(budget.clone()),
                share: part,
                expires_at: until as f64 / 1e3,
            };
            parts.map(part).collect()
        })
    }

    /// This process ends.
    pub fn leave(&self) {
        self.holder.borrow_mut().leave();
    }

    /// How things stand, for operators.
    pub fn tell(&self, now: Duration) {
        let (holder, divider, now) = (self.holder.borrow(), self.divider.borrow(), ms(now));
        let of = |part: Ppm| part as f64 / TOTAL_PPM as f64;
        let held: Vec<String> = holder
            .shares(now)
            .take(TOLD_MOST)
            .map(|(budget, part, until)| format!("{budget}:{:.2}/{}ms", of(part), until - now))
            .collect();
        let leads = divider.is_leader(now);
        let (reign, unknown) = divider.remaining_ms(now);
        let given: Vec<String> = divider
            .report(now)
            .iter()
            .filter(|_| leads)
            .take(TOLD_MOST)
            .map(|b| {
                let given: Ppm = b.shares.iter().map(|part| part.1).sum();
                let free = TOTAL_PPM.saturating_sub(given + b.unknown);
                let parts: Vec<String> =
                    b.shares.iter().map(|(who, part)| format!("{}={:.2}", who.name, of(*part))).collect();
                format!("{}:{}+free={:.2}+unknown={:.2}", b.budget, parts.join("+"), of(free), of(b.unknown))
            })
            .collect();
        tracing::info!(
            supports = holder.supported_leader(now).map_or("", |who| &who.name),
            held = held.join(","),
            leads,
            epoch = divider.epoch(),
            leads_ms = reign,
            unknown_ms = unknown,
            given = given.join(","),
            "fleet: budgets"
        );
    }
}
