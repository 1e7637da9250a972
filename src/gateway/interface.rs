//! The interface of the decision module: settings, events, actions and identifiers. Nothing here decides.

pub use crate::identifiers::{CounterKey, CustomerId, Ending, HostId, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Repeatable,
    /// Again only at hosts that still hold its idempotency key.
    ByKey(KeyScope),
    /// At most once.
    Once,
}

/// The hosts that share idempotency keys: each of them discards a repeated request of a key that one of them has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of the same zone.
    Zone,
    /// The hosts of the same cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name that requests carry.
    pub name: String,
    /// Responses within this time have the full value.
    pub latency_target: Duration,
    /// Value of one request.
    pub value: f64,
    /// Fraction of the value that a response after the latency target still has.
    pub late_value_fraction: f64,
    /// How often a request may be executed.
    pub idempotency: Idempotency,
    /// Time for which hosts remember an idempotency key, from the first dispatch that may have executed.
    pub key_retention: Duration,
}

/// A plan: the quotas of each of its customers over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name that requests carry.
    pub name: String,
    /// Quota in units per second; 0: no quota.
    pub rate: f64,
    /// Units that may be spent at once.
    pub burst: f64,
    /// Attempts in flight at the same time; 0: no limit.
    pub max_concurrent: u32,
    /// Hard ceiling in units per second; 0: none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_tolerance: f64,
    /// Multiplier on the value of a request.
    pub price: f64,
    /// Fraction of its value that a request beyond the quota has.
    pub excess_value_fraction: f64,
    /// Fraction of its value that dispatching a request beyond the quota costs.
    pub excess_cost_fraction: f64,
}

/// How load reports of hosts reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Not at all.
    Off,
    /// With responses and probes.
    Inline,
    /// With probes only.
    OnProbe,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways of this tier, this one included.
    pub replicas: u32,
    /// Index of this gateway among them, from 0.
    pub ordinal: u32,
    /// Zone of this gateway.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Whether the quota counter may be called.
    pub uses_counter: bool,
    /// Timeout of a call to the quota counter.
    pub counter_timeout: Duration,
    /// Whether the units of a request are an estimate and its response reports the actual ones.
    pub units_are_estimates: bool,
    /// Upper bound on the units of one request.
    pub max_units: f64,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a request may have two attempts in flight (hedging).
    pub may_hedge: bool,
    /// Whether hosts may be probed.
    pub may_probe: bool,
    /// Upper bound on the attempts of one request.
    pub max_attempts: u32,
    /// Whether refused clients receive a `Retry-After`.
    pub sends_retry_after: bool,
    /// The longest `Retry-After` that clients respect.
    pub max_retry_after: Duration,
    /// Whether the host list is sent only after an [`Action::Subscribe`].
    pub subscribes_to_hosts: bool,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// Fraction of its capacity that a host has just after its start.
    pub cold_capacity_fraction: f64,
    /// A cold host fails when its load exceeds this multiple of its present capacity for `overload_duration`.
    pub overload_factor: f64,
    /// Time for which a cold host withstands a load above `overload_factor`.
    pub overload_duration: Duration,
    /// Time from its start after which a host has its full capacity.
    pub warmup: Duration,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Price of a probe, relative to a request.
    pub probe_price: f64,
}

/// State of a host on the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new requests.
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the host list.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Zone of the host.
    pub zone: String,
    /// Cell of the host.
    pub group: i64,
    /// Hardware type, any text; hosts of one type are assumed to be equally fast. Empty: unknown.
    pub kind: Arc<str>,
    /// State of the host.
    pub availability: Availability,
    /// Capacity relative to the other hosts.
    pub nominal_capacity: f64,
    /// Clock time of its last start; `None`: long ago.
    pub last_start: Option<Duration>,
}

/// What the entries of an [`Event::Hosts`] are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The changed entries only.
    Update,
    /// The complete list.
    Replace,
    /// The complete list as it was last known, possibly outdated.
    Restored,
    /// No entries: the call for the list has failed.
    Unavailable,
}

/// Input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host list or changes to it.
    Hosts {
        /// What the entries are.
        scope: ListScope,
        /// Entries of the list.
        entries: Vec<HostEntry>,
    },
    /// A client's request has arrived.
    Request {
        /// Identifier of the request.
        id: RequestId,
        /// Name of its class.
        class: String,
        /// Name of its customer's plan.
        plan: String,
        /// Customer that it is charged to.
        customer: CustomerId,
        /// Time until the client gives up.
        budget: Duration,
        /// Cost of the request in units, possibly an estimate.
        units: f64,
        /// Number of gateways that receive this customer's requests; 0: all of them.
        gateway_count: u32,
    },
    /// The first part of a streamed response has arrived.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Host that the attempt was sent to.
        host: HostId,
        /// Outcome of the attempt.
        ending: Ending,
        /// Whether the request needs no further attempt.
        request_done: bool,
        /// Time since the attempt was sent.
        elapsed: Duration,
        /// Actual units; 0: not reported.
        cost: f64,
        /// Use of the customer over all gateways in the meter's last period, as a fraction of its rate, if reported.
        metered: Option<f64>,
    },
    /// A probe has ended.
    ProbeFinished {
        /// The host.
        host: HostId,
        /// Outcome of the probe.
        ending: Ending,
        /// Recent service time, if reported.
        latency: Option<Duration>,
    },
    /// A call to the quota counter has ended, with or without an answer.
    CounterReply {
        /// The counter entry.
        name: CounterKey,
        /// Outcome of the call.
        ending: Ending,
        /// Total of the entry after the call.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// The answer to a call to the quota counter arrived after the call had timed out.
    LateCounterReply {
        /// The counter entry.
        name: CounterKey,
        /// Total of the entry after the call.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// Load shares by zone, from the zone failover module. Without this event zones have no shares and the hosts of the
    /// own zone are preferred.
    ZoneShares {
        /// Factors on the capacity of hosts; 0: the host's zone takes no load. Hosts not listed keep their factor.
        capacity_factors: Vec<(HostId, f64)>,
        /// Fraction of the load that goes to hosts of other zones while the own zone lacks capacity; `None`: hosts of
        /// the own zone are preferred.
        remote_share: Option<f64>,
        /// Fraction of the requests that no zone has capacity for. These are refused at once, those with the least
        /// value for their work first.
        unassigned: f64,
    },
    /// A timer has expired.
    Timer {
        /// Token of the [`Action::SetTimer`].
        token: String,
    },
}

/// Output of the decision module, for the embedder to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Host to send it to.
        host: HostId,
        /// Timeout of the attempt; `None`: until the client gives up.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer the client: the request is refused and may be sent again.
    Refuse {
        /// The request.
        id: RequestId,
        /// Time that the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Answer the client: the request has failed and may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Add to an entry of the quota counter and read its total.
    AddToCounter {
        /// The counter entry.
        name: CounterKey,
        /// Amount to add; 0 only reads.
        amount: f64,
        /// Time to live of the entry, if the call creates it.
        ttl: Duration,
    },
    /// Probe a host.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host, so that the next attempt opens a new one.
    CloseIdle {
        /// The host.
        host: HostId,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it expires.
        after: Duration,
        /// Token that the [`Event::Timer`] carries.
        token: String,
    },
    /// Subscribe to the host list.
    Subscribe,
}
