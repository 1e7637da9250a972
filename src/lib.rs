//! **whinstall** is the decision library of a gateway that enforces the quotas of the customers of a shared back end. It
//! decides whether a request is admitted, which host receives it, whether it is retried, and how the client is answered.
//!
//! Quotas are windows with a global total, as in Kong's GraphQL Rate Limiting Advanced plugin: a request is charged its
//! cost in units against its customer's window, whose total all gateways sync through a counter service. A request that
//! would exceed the limit is refused at once. `docs/design.md` has the details.
//!
//! The library is pure and single-threaded: it has no clock, no I/O and no global state. The embedder passes [`Event`]s
//! with the time and executes the [`Action`]s.
//!
//! ```
//! use whinstall::*;
//! use std::{sync::Arc, time::Duration};
//!
//! let secs = Duration::from_secs_f64;
//! let settings = Settings {
//!     replicas: 2,
//!     ordinal: 0,
//!     zone: "a".into(),
//!     classes: vec![Class {
//!         name: "read".into(),
//!         latency_target: secs(1.0),
//!         value: 1.0,
//!         late_value_fraction: 0.0,
//!         idempotency: Idempotency::Repeatable,
//!         key_retention: secs(5.0),
//!     }],
//!     plans: vec![Plan {
//!         name: "basic".into(),
//!         rate: 5.0,
//!         burst: 20.0,
//!         max_concurrent: 0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!         ceiling_tolerance: 0.0,
//!         price: 1.0,
//!         excess_value_fraction: 0.0,
//!         excess_cost_fraction: 0.5,
//!     }],
//!     uses_counter: true,
//!     counter_timeout: secs(0.05),
//!     units_are_estimates: false,
//!     max_units: 8.0,
//!     may_cancel: true,
//!     may_hedge: false,
//!     may_probe: false,
//!     max_attempts: 3,
//!     sends_retry_after: true,
//!     max_retry_after: secs(1.0),
//!     subscribes_to_hosts: false,
//!     load_reports: LoadReports::Off,
//!     cold_capacity_fraction: 0.2,
//!     overload_factor: 2.0,
//!     overload_duration: secs(1.0),
//!     warmup: secs(15.0),
//!     cross_zone_price: 0.0,
//!     probe_price: 0.01,
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let host = HostEntry {
//!     host: HostId(Arc::from("10.0.0.1:80")),
//!     zone: "a".into(),
//!     group: 0,
//!     kind: "standard".into(),
//!     availability: Availability::Ready,
//!     nominal_capacity: 1.0,
//!     last_start: None,
//! };
//! gateway.handle(secs(1.0), Event::Hosts { scope: ListScope::Replace, entries: vec![host] }, &mut actions);
//! let request = Event::Request {
//!     id: RequestId(Arc::from("r1")),
//!     class: "read".into(),
//!     plan: "basic".into(),
//!     customer: CustomerId(Arc::from("c1")),
//!     budget: secs(2.0),
//!     units: 2.0,
//!     gateway_count: 2,
//! };
//! gateway.handle(secs(1.1), request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod config;
pub mod fleet;
mod gateway;
pub mod identifiers;
pub mod operators;
pub mod quota;
#[cfg(feature = "adapter")]
pub mod settings;
pub mod zone_failover;

pub use gateway::*;
