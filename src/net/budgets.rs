//! Division of ceilings among the gatekeepers of a fleet, as one process takes part in it.
//!
//! Adapts the pure [`Holder`] and [`Allocator`] to the core: converts the clock to milliseconds, ceilings to budgets,
//! and logs the state. Which share a gatekeeper gets is decided only in [`whinstall::fleet::budget`].

use std::cell::{Cell, RefCell};
use std::time::Duration;
use whinstall::fleet::budget::{
    Allocator, BudgetName, GrantRequest, GrantResponse, Holder, LeaseTimes, Ms, Origin, Ppm, TOTAL_PPM,
};
use whinstall::fleet::membership::Member;
use whinstall::fleet::settings::BudgetSettings;
use whinstall::{CeilingShare, CustomerId};

/// Path of grant requests to the leader.
pub const BUDGET_PATH: &str = "/fleet/v2/budget";
/// Number of grant requests in the duration of a lease.
const REQUESTS_PER_LEASE: f64 = 3.0;
/// Interval at which expired state of the allocator is discarded.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of budgets on a log line.
const MAX_LOGGED_BUDGETS: usize = 16;

/// The holder and the allocator of one process.
pub struct Budgets {
    settings: BudgetSettings,
    holder: RefCell<Holder>,
    allocator: RefCell<Allocator>,
    /// Demanded share of each budget, as last reported by the core.
    demands: RefCell<Vec<(BudgetName, Ppm)>>,
    swept_at: Cell<Duration>,
}

fn ms(now: Duration) -> Ms {
    now.as_millis() as Ms
}

impl Budgets {
    /// State of the process `me` in a fleet of `fleet_size` gatekeepers.
    pub fn new(settings: &BudgetSettings, me: &Origin, now: Duration, fleet_size: u32) -> Self {
        let secs_to_ms = |seconds: f64| (seconds * 1e3) as Ms;
        let times = LeaseTimes {
            lease_ms: secs_to_ms(settings.lease_secs),
            clock_margin_ms: secs_to_ms(settings.clock_margin_secs),
        };
        Budgets {
            settings: settings.clone(),
            holder: RefCell::new(Holder::new(me.clone(), ms(now), times)),
            allocator: RefCell::new(Allocator::new(me.clone(), ms(now), times, fleet_size)),
            demands: RefCell::default(),
            swept_at: Cell::new(now),
        }
    }

    /// Fraction of its even share of a ceiling that each gatekeeper has without a grant.
    pub fn floor(&self) -> f64 {
        self.settings.floor
    }

    /// Interval between two grant requests.
    pub fn request_interval(&self) -> Duration {
        Duration::from_secs_f64(self.settings.lease_secs / REQUESTS_PER_LEASE)
    }

    /// Sets the demands that the next request carries.
    pub fn set_demands(&self, demands: &[(CustomerId, Ppm)]) {
        *self.demands.borrow_mut() =
            demands.iter().map(|(id, share)| (BudgetName::clone(&id.0), *share)).collect();
    }

    /// The next grant request, to the gatekeeper `to`.
    pub fn next_request(&self, now: Duration, to: &Member) -> GrantRequest {
        self.holder.borrow_mut().next_request(ms(now), &to.origin(), self.demands.borrow().clone())
    }

    /// Responds to a grant request. Grants shares only if this process is the leader.
    pub fn handle_request(&self, now: Duration, request: &GrantRequest) -> GrantResponse {
        let mut allocator = self.allocator.borrow_mut();
        if now.saturating_sub(self.swept_at.get()) > SWEEP_INTERVAL {
            self.swept_at.set(now);
            allocator.discard_expired(ms(now));
        }
        allocator.handle_request(ms(now), request)
    }

    /// Takes the grants of a response. Returns all shares that this process may use, or `None` if it is not the
    /// response to the last request.
    pub fn handle_response(&self, now: Duration, response: &GrantResponse) -> Option<Vec<CeilingShare>> {
        let mut holder = self.holder.borrow_mut();
        holder.handle_response(response).then(|| {
            let ceiling_share = |(budget, share, expires_at): (&BudgetName, Ppm, Ms)| CeilingShare {
                customer: CustomerId(budget.clone()),
                share,
                expires_at: expires_at as f64 / 1e3,
            };
            holder.shares(ms(now)).map(ceiling_share).collect()
        })
    }

    /// Marks this process as leaving: its next request returns its grants.
    pub fn leave(&self) {
        self.holder.borrow_mut().leave();
    }

    /// Logs the grants held, and if this process is the leader, the allocation; `whinstall report` reads the line.
    pub fn log_state(&self, now: Duration) {
        let (holder, allocator, now) = (self.holder.borrow(), self.allocator.borrow(), ms(now));
        let fraction = |share: Ppm| share as f64 / TOTAL_PPM as f64;
        let held: Vec<String> = holder
            .shares(now)
            .take(MAX_LOGGED_BUDGETS)
            .map(|(budget, share, until)| format!("{budget}:{:.2}/{}ms", fraction(share), until - now))
            .collect();
        let leads = allocator.is_leader(now);
        let (leads_ms, unknown_ms) = allocator.remaining_ms(now);
        let given: Vec<String> = allocator
            .report(now)
            .iter()
            .filter(|_| leads)
            .take(MAX_LOGGED_BUDGETS)
            .map(|b| {
                let granted: Ppm = b.shares.iter().map(|share| share.1).sum();
                let free = TOTAL_PPM.saturating_sub(granted + b.unknown);
                let shares: Vec<String> = b
                    .shares
                    .iter()
                    .map(|(holder, share)| format!("{}={:.2}", holder.name, fraction(*share)))
                    .collect();
                format!(
                    "{}:{}+free={:.2}+unknown={:.2}",
                    b.budget,
                    shares.join("+"),
                    fraction(free),
                    fraction(b.unknown)
                )
            })
            .collect();
        tracing::info!(
            supports = holder.supported_leader(now).map_or("", |leader| &leader.name),
            held = held.join(","),
            leads,
            epoch = allocator.epoch(),
            leads_ms,
            unknown_ms,
            given = given.join(","),
            "fleet: budgets"
        );
    }
}
