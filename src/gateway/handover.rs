//! Handover of the state to the next process of the same gateway: plain records that are serialized by field name, and
//! their conversion from and to the state. The hard ceilings are spent by one of the two processes only.

use crate::gateway::state::{ClassStats, Customer, DecayingRate, FailureStats, Gateway, Host};
use crate::identifiers::{CustomerId, HostId};
use crate::quota::share::Share;
use std::sync::Arc;

/// A value and the time of its last update, in Unix seconds.
type TimedValue = (f64, f64);
/// Failure ratio, number of outcomes behind it, and the time of the last update in Unix seconds.
type FailureRecord = (f64, f64, f64);

/// Declares a record. `as` gives the serialized name of a field where it differs from its name in the code.
macro_rules! record {
    (
        $(#[$about:meta])*
        $name:ident { $($(#[$doc:meta])* $field:ident $(as $serialized:literal)?: $kind:ty,)* }
    ) => {
        $(#[$about])*
        #[derive(Clone, Debug, Default, PartialEq)]
        #[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize), serde(default))]
        pub struct $name {
            $(
                $(#[$doc])*
                $(#[cfg_attr(feature = "adapter", serde(rename = $serialized))])?
                pub $field: $kind,
            )*
        }
    };
}

record! {
    /// State that one process hands over to the next. Times are in Unix seconds. Each version ignores fields that it
    /// does not know and uses defaults for those that are missing.
    ExportedState {
        /// When the gateway started.
        started_at as "started": Option<f64>,
        /// When the gateway received its first request.
        first_request_at as "serving": Option<f64>,
        /// Customers.
        customers: Vec<ExportedCustomer>,
        /// Observations of hosts.
        hosts: Vec<ExportedHost>,
        /// Ratio of actual to expected latency, by hardware type.
        kind_slowness as "kinds": Vec<(String, f64)>,
        /// Averages by class: name, mean latency in seconds, mean units, number of answers.
        class_stats as "seen": Vec<(String, f64, f64, f64)>,
        /// Failures by the idle time of the connection before the attempt.
        idle_failures as "idle": Vec<FailureRecord>,
        /// Calls per second to the counter, and the rate up to which slow start applies.
        call_rate as "pace": (f64, f64),
        /// Fraction of the recent calls that were late, lost or rejected.
        miss_ratio as "misses": f64,
        /// Decaying rates: units reported, units not reported, calls wanted, work sent, answers, timeouts.
        rates as "flows": Vec<TimedValue>,
        /// Mean value of a request per unit of work, and mean number of attempts in flight.
        load as "press": (f64, f64),
        /// Retries that the retry budget allows.
        retry_tokens as "retries": f64,
    }
}

record! {
    /// State of one customer. Units are those of its plan.
    ExportedCustomer {
        /// Identifier of the customer.
        id: String,
        /// Name of the customer's plan.
        plan: String,
        /// Number of gateways that receive its requests.
        gateway_count as "width": f64,
        /// Offset of its windows from the clock, as a fraction of the window length.
        window_offset as "phase": f64,
        /// Arrival time of its last request.
        last_request_at as "seen": f64,
        /// Number of the window that the charges below belong to.
        window: i64,
        /// Total of the window over all gateways, including units in calls that are not answered yet.
        total: Option<f64>,
        /// When the total was reported.
        total_at as "told_at": f64,
        /// Units that were not sent to the counter.
        unsynced_units as "unsynced": f64,
        /// Units that this gateway charged in the window.
        own_units as "own": f64,
        /// Units that the window started with.
        opening_balance as "store": f64,
        /// Demand in units at this gateway.
        demand as "asked": TimedValue,
        /// Demand in units at this gateway over a short time.
        burst_demand as "surge": TimedValue,
        /// Estimate of this gateway's share of the quota.
        quota_share as "share": Share,
        /// Units in this gateway's share of the ceiling's token bucket.
        ceiling_tokens as "ceiling": f64,
        /// When `ceiling_tokens` was last refilled.
        ceiling_tokens_at as "ceiling_at": f64,
    }
}

record! {
    /// Observations of one host since its last start.
    ExportedHost {
        /// Identifier of the host.
        id: String,
        /// Last start of the host. Observations of another incarnation are not imported.
        started_at as "started": Option<f64>,
        /// When it last sent a response of any kind.
        last_response_at as "heard": f64,
        /// Average ratio of actual to expected latency.
        slowness as "slow": TimedValue,
        /// Failures by class, in the order of [`ExportedState::class_stats`].
        class_failures as "health": Vec<FailureRecord>,
        /// Work in its token bucket while it is cold, in seconds of expected latency.
        cold_tokens as "cold": TimedValue,
    }
}

fn to_record(x: &FailureStats) -> FailureRecord {
    (x.failure_ratio, x.outcomes, x.updated_at)
}

fn from_record(record: FailureRecord) -> FailureStats {
    FailureStats { failure_ratio: record.0, outcomes: record.1, updated_at: record.2 }
}

fn to_decaying_rate((per_second, updated_at): TimedValue) -> DecayingRate {
    DecayingRate { per_second, updated_at }
}

impl Gateway {
    /// The decaying rates in the order of [`ExportedState::rates`].
    fn exported_rates(&mut self) -> [&mut DecayingRate; 6] {
        [
            &mut self.reported_rate,
            &mut self.unreported_rate,
            &mut self.call_demand,
            &mut self.warm_work_rate,
            &mut self.answer_rate,
            &mut self.timeout_rate,
        ]
    }

    /// Exports the state for the next process. This process completes its requests, but from now on the ceilings are
    /// spent, and the charges that are not synced are reported, by the next process.
    pub fn export_state(&mut self) -> ExportedState {
        let plans: Vec<String> = self.settings.plans.iter().map(|p| p.name.clone()).collect();
        let customers = self.customers.iter_mut().map(|(id, customer)| {
            let exported = ExportedCustomer {
                id: id.0.to_string(),
                plan: plans[customer.plan].clone(),
                gateway_count: customer.gateway_count,
                window_offset: customer.window_offset,
                last_request_at: customer.last_request_at,
                window: customer.window,
                total: customer.total.map(|t| t + customer.calling_units),
                total_at: customer.total_at,
                unsynced_units: std::mem::take(&mut customer.unsynced_units),
                own_units: customer.own_units,
                opening_balance: customer.opening_balance,
                demand: (customer.demand.per_second, customer.demand.updated_at),
                burst_demand: (customer.burst_demand.per_second, customer.burst_demand.updated_at),
                quota_share: customer.quota_share.clone(),
                ceiling_tokens: customer.ceiling_tokens,
                ceiling_tokens_at: customer.ceiling_tokens_at,
            };
            customer.total = customer.total.map(|t| t + exported.unsynced_units);
            exported
        });
        let customers = customers.collect();
        self.is_exported = true;
        let host = |(id, h): (&HostId, &Host)| ExportedHost {
            id: id.0.to_string(),
            started_at: h.started_at,
            last_response_at: h.last_response_at,
            slowness: (h.slowness, h.slowness_at),
            class_failures: h.class_failures.iter().map(to_record).collect(),
            cold_tokens: (h.cold_tokens, h.cold_tokens_at),
        };
        ExportedState {
            started_at: self.started_at,
            first_request_at: self.first_request_at,
            customers,
            hosts: self.hosts.iter().map(host).collect(),
            kind_slowness: self.kind_slowness.iter().map(|(k, v)| (k.to_string(), *v)).collect(),
            class_stats: self
                .settings
                .classes
                .iter()
                .zip(&self.class_stats)
                .map(|(c, s)| (c.name.clone(), s.latency, s.units, s.answers))
                .collect(),
            idle_failures: self.idle_failures.iter().map(to_record).collect(),
            call_rate: (self.call_rate, self.call_rate_threshold),
            miss_ratio: self.miss_ratio,
            rates: self.exported_rates().map(|rate| (rate.per_second, rate.updated_at)).to_vec(),
            load: (self.mean_value_density, self.mean_in_flight),
            retry_tokens: self.retry_tokens,
        }
    }

    /// Reverts [`Gateway::export_state`] after a failed handover: this process spends the ceilings and reports its
    /// charges again.
    pub fn resume_after_export(&mut self, state: &ExportedState) {
        self.is_exported = false;
        for exported in state.customers.iter().filter(|c| c.unsynced_units != 0.0) {
            let Some(c) = self.customers.get_mut(exported.id.as_str()) else { continue };
            if c.window == exported.window {
                c.total = c.total.map(|t| t - exported.unsynced_units);
                c.unsynced_units += exported.unsynced_units;
            }
        }
    }

    /// Imports the state of the previous process. To be called before the first request. Customers, classes and hosts
    /// that this process does not have are skipped.
    pub fn import_state(&mut self, state: ExportedState) {
        if state.customers.is_empty() && state.class_stats.is_empty() {
            return;
        }
        (self.started_at, self.first_request_at) =
            (state.started_at.or(self.started_at), state.first_request_at);
        let class_index = |name: &str| self.settings.classes.iter().rposition(|c| c.name == name);
        let class_indices: Vec<Option<usize>> =
            state.class_stats.iter().map(|stats| class_index(&stats.0)).collect();
        for (stats, index) in state.class_stats.iter().zip(&class_indices) {
            if let Some(index) = index {
                self.class_stats[*index] = ClassStats { latency: stats.1, units: stats.2, answers: stats.3 };
            }
        }
        for exported in state.customers {
            let plan = self.settings.plans.iter().rposition(|p| p.name == exported.plan);
            let Some(plan) = plan else { continue };
            let customer = Customer {
                last_request_at: exported.last_request_at,
                window: exported.window,
                total: exported.total,
                total_at: exported.total_at,
                unsynced_units: exported.unsynced_units,
                own_units: exported.own_units,
                opening_balance: exported.opening_balance,
                demand: to_decaying_rate(exported.demand),
                burst_demand: to_decaying_rate(exported.burst_demand),
                quota_share: exported.quota_share,
                ceiling_tokens: exported.ceiling_tokens,
                ceiling_tokens_at: exported.ceiling_tokens_at,
                sync_at: if exported.unsynced_units > 0.0 { self.now } else { f64::INFINITY },
                ..Customer::new(plan, exported.gateway_count.max(1.0), exported.window_offset)
            };
            let id = CustomerId(Arc::from(exported.id));
            self.customers.insert(id.clone(), customer);
            self.schedule(&id);
        }
        for exported in state.hosts {
            let host = self.hosts.get_mut(exported.id.as_str());
            let Some(host) = host.filter(|host| host.started_at == exported.started_at) else { continue };
            host.last_response_at = exported.last_response_at;
            (host.slowness, host.slowness_at) = exported.slowness;
            (host.cold_tokens, host.cold_tokens_at) = exported.cold_tokens;
            host.class_failures.resize_with(self.settings.classes.len(), FailureStats::default);
            for (record, index) in exported.class_failures.into_iter().zip(&class_indices) {
                if let Some(index) = index {
                    host.class_failures[*index] = from_record(record);
                }
            }
        }
        self.kind_slowness.extend(state.kind_slowness.into_iter().map(|(k, v)| (Arc::from(k), v)));
        for (stats, record) in self.idle_failures.iter_mut().zip(state.idle_failures) {
            *stats = from_record(record);
        }
        (self.call_rate, self.call_rate_threshold) = state.call_rate;
        self.miss_ratio = state.miss_ratio;
        for (rate, value) in self.exported_rates().into_iter().zip(state.rates) {
            *rate = to_decaying_rate(value);
        }
        (self.mean_value_density, self.mean_in_flight) = state.load;
        self.retry_tokens = state.retry_tokens;
        self.draw_tables_valid_until = self.now;
    }
}
