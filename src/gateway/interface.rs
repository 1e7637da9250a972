//! What goes in and out of the decisions: settings, events, actions, ids. Nothing here decides.

pub use crate::identifiers::{CounterKey, CustomerId, Ending, HostId, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Repeatable,
    /// Again only where its key is remembered.
    ByKey(KeyScope),
    /// Never twice.
    Once,
}

/// The hosts that drop a keyed repeat.
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
    /// Its name on requests.
    pub name: String,
    /// Answers within this earn the full worth.
    pub latency_target: Duration,
    /// Worth of one request.
    pub value: f64,
    /// Part of the worth that a late answer earns.
    pub late_value_fraction: f64,
    /// May it run again?
    pub idempotency: Idempotency,
    /// How long a key is remembered, from the first send that may have run.
    pub key_retention: Duration,
}

/// A plan: the quotas of each of its customers over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name on requests.
    pub name: String,
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_concurrent: u32,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// Units by which that store may fall below nothing.
    pub ceiling_tolerance: f64,
    /// Multiplier on the worth.
    pub price: f64,
    /// Part of its worth earned beyond the quota.
    pub excess_value_fraction: f64,
    /// Part of its worth that a send beyond the quota costs.
    pub excess_cost_fraction: f64,
}

/// How load reports reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Not at all.
    Off,
    /// With answers and probes.
    Inline,
    /// With probes only.
    OnProbe,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways of this tier, this one included.
    pub replicas: u32,
    /// The number of this one among them, from 0.
    pub ordinal: u32,
    /// The zone of this gateway.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// May the counter service be called?
    pub uses_counter: bool,
    /// A call to it is given up after this.
    pub counter_timeout: Duration,
    /// Are units guesses, the true ones told with the answer?
    pub units_are_estimates: bool,
    /// The most units of one request.
    pub max_units: f64,
    /// May an attempt be called off?
    pub may_cancel: bool,
    /// May a request have two attempts out?
    pub may_hedge: bool,
    /// May hosts be probed?
    pub may_probe: bool,
    /// Attempts of one request, at most.
    pub max_attempts: u32,
    /// Do clients hear how long to stay away?
    pub sends_retry_after: bool,
    /// The longest such span that they heed.
    pub max_retry_after: Duration,
    /// Must the host list be asked for?
    pub subscribes_to_hosts: bool,
    /// How load reports come.
    pub load_reports: LoadReports,
    /// A host starts at this part of its capacity.
    pub cold_capacity_fraction: f64,
    /// Beyond this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long, a cold host falls over.
    pub overload_duration: Duration,
    /// A host is warm this long after its start.
    pub warmup: Duration,
    /// Price of attempts that cross zones.
    pub cross_zone_price: f64,
    /// Price of a probe a request.
    pub probe_price: f64,
}

/// State of a host on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes work.
    Ready,
    /// Completes its work; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the host list.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// Which host.
    pub host: HostId,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub group: i64,
    /// Its kind of machine: hosts of one kind are taken to be alike. Any word; empty: not told.
    pub kind: Arc<str>,
    /// Its state.
    pub availability: Availability,
    /// Its size compared to the others.
    pub nominal_capacity: f64,
    /// Clock time of its last start; `None`: long ago.
    pub last_start: Option<Duration>,
}

/// What a `Hosts` event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed lines only.
    Update,
    /// The whole list.
    Replace,
    /// The whole list as it was last known; maybe old.
    Restored,
    /// A call for the list failed; no lines.
    Unavailable,
}

/// What a gateway hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host list or changes to it.
    Hosts {
        /// What the lines are.
        scope: ListScope,
        /// The lines.
        entries: Vec<HostEntry>,
    },
    /// A client's request.
    Request {
        /// Its id.
        id: RequestId,
        /// Name of its class.
        class: String,
        /// Name of its customer's plan.
        plan: String,
        /// Its customer.
        customer: CustomerId,
        /// Time until the client gives up.
        budget: Duration,
        /// Its units, or a guess at them.
        units: f64,
        /// Gateways through which this customer's requests come.
        gateway_count: u32,
    },
    /// A streamed answer has begun.
    ResponseStarted {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// The client has left.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// On which host.
        host: HostId,
        /// How.
        ending: Ending,
        /// Is the request over?
        request_done: bool,
        /// Time since it was sent.
        elapsed: Duration,
        /// True units; 0: not told.
        cost: f64,
        /// What the customer used over all gateways in the meter's last period, as a part of its rate, if told.
        metered: Option<f64>,
    },
    /// A probe has ended.
    ProbeFinished {
        /// Which host.
        host: HostId,
        /// How.
        ending: Ending,
        /// Recent service time, where reported.
        latency: Option<Duration>,
    },
    /// The counter has answered, or not.
    CounterReply {
        /// Which count.
        name: CounterKey,
        /// How.
        ending: Ending,
        /// The number after the call.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// A call to the counter that had ended without an answer was answered after all.
    LateCounterReply {
        /// Which count.
        name: CounterKey,
        /// The number after the call.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// Shares of load by hall, from the halls' module: a factor on each host's size (0: its hall takes
    /// nothing now), and the part of requests that fits in no hall. Never told: no halls in force.
    ZoneShares {
        /// Hosts and their factors; hosts not named keep theirs.
        capacity_factors: Vec<(HostId, f64)>,
        /// Part of the work that goes to hosts of other zones while the own hall is short; `None`: near hosts
        /// first, as without halls.
        remote_share: Option<f64>,
        /// Part of requests to refuse at once, those of least worth for their work first.
        unassigned: f64,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: String,
    },
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Which request.
        id: RequestId,
        /// To which host.
        host: HostId,
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Duration>,
    },
    /// Give up waiting for an attempt.
    Cancel {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: refused, harmless to try again.
    Refuse {
        /// Which request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, promising nothing.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Add to a count and read it.
    AddToCounter {
        /// Which count.
        name: CounterKey,
        /// How much; 0 only reads.
        amount: f64,
        /// How long a new count is kept.
        ttl: Duration,
    },
    /// Probe a host.
    Probe {
        /// Which host.
        host: HostId,
    },
    /// Close the idle connections to a host: the next attempt there opens a new one.
    CloseIdle {
        /// Which host.
        host: HostId,
    },
    /// Set a timer.
    SetTimer {
        /// Due after this.
        after: Duration,
        /// Comes back with the event.
        token: String,
    },
    /// Subscribe to the host list.
    Subscribe,
}
