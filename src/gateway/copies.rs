//! What other gateways charged, by copies of their books: handed in whole, and this gateway's own handed out. It owns
//! how the copies reach the records; it must never refuse anything. Without copies nothing of this is ever called.

use crate::gateway::interface::Plan;
use crate::gateway::state::{Customer, Gateway};
use crate::ground::CustomerId;
use std::collections::BTreeMap;

/// What this gateway charged one customer in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Spending {
    /// Whom.
    pub customer: CustomerId,
    /// The window's number, the same at every gateway.
    pub window: i64,
    /// Units; within a window they only grow, but for what is settled.
    pub units: f64,
    /// The window and the next one are over then, in Unix seconds.
    pub until: f64,
}

/// Units of other gateways, and of former lives of this one, by customer and window.
type Told = BTreeMap<(CustomerId, i64), (f64, f64)>;

fn copied(told: &Told, customer: &CustomerId, window: i64) -> (f64, f64) {
    told.get(&(customer.clone(), window)).copied().unwrap_or_default()
}

impl Customer {
    /// Takes over what the copies tell of the window it is in. Within a window what is spent never shrinks, whoever
    /// was forgotten meanwhile. What a former life charged counts as this gateway's own: its share is spent.
    pub(crate) fn copied(&mut self, told: &Told, id: &CustomerId) {
        let (others, former) = copied(told, id, self.window);
        self.elsewhere = self.elsewhere.max(others);
        self.own += (former - self.former).max(0.0);
        self.former = self.former.max(former);
    }
}

/// What all charged a customer, not met here before, in the window before this one and beyond what the rate gave back
/// since: it owes that. A gateway that met it carries its own books over.
pub(crate) fn owed(told: &Told, customer: &CustomerId, window: i64, plan: &Plan) -> f64 {
    let (others, former) = copied(told, customer, window - 1);
    (others + former - plan.rate * Gateway::window_s(plan)).max(0.0)
}

impl Gateway {
    /// A customer has come, maybe for the first time or in a new window: what the copies tell of it counts at once.
    pub(crate) fn look_up(&mut self, id: &CustomerId) {
        if !self.told_elsewhere.is_empty() {
            self.customers.entry(id.clone()).and_modify(|c| c.copied(&self.told_elsewhere, id));
        }
    }

    /// What this gateway charged, by customer, in windows that are not over.
    pub fn spending(&self) -> Vec<Spending> {
        let customers =
            self.customers.iter().filter(|(_, c)| c.own > c.former && self.s.plans[c.plan].rate > 0.0);
        let told = customers.map(|(id, c)| {
            let length = Gateway::window_s(&self.s.plans[c.plan]);
            let until = (c.window as f64 + 2.0 - c.phase) * length;
            Spending { customer: id.clone(), window: c.window, units: c.own - c.former, until }
        });
        told.filter(|s| s.until > self.now).collect()
    }

    /// What other gateways are known to have charged, all of it: it takes the place of what was told before.
    pub fn elsewhere(&mut self, told: Vec<(CustomerId, i64, f64, f64)>) {
        self.told_elsewhere =
            told.into_iter().map(|(id, window, others, former)| ((id, window), (others, former))).collect();
        for (id, c) in &mut self.customers {
            c.copied(&self.told_elsewhere, id);
        }
    }
}
