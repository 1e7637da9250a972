//! Wire format of the simulator: its serde types, and their conversion from and to the types of the library.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;
use whinstall::settings::{self, duration_from_secs};
use whinstall::*;

/// The ending for a wire code. An unknown code is an error after which the request may have been executed.
fn ending(code: i64) -> Ending {
    match code {
        0 => Ending::Ok,
        2 => Ending::Full,
        3 => Ending::Timeout,
        4 => Ending::ConnectFailed,
        5 => Ending::Reset,
        6 => Ending::Cancelled,
        7 => Ending::NotSent,
        _ => Ending::Error,
    }
}

macro_rules! wire {
    ($($name:ident { $($field:ident: $kind:ty,)* })*) => {$(
        #[derive(Deserialize, Default)]
        #[serde(rename_all = "camelCase", default)]
        pub struct $name { $(pub $field: $kind,)* }
    )*};
}

wire! {
    WireStart {
        init_seed: Value,
        boot_info: Value,
    }
    WireHost {
        host: String,
        failure_domain: String,
        group: i64,
        hw: String,
        availability: String,
        nominal: f64,
        last_start_s: f64,
    }
    WireMembers {
        scope: String,
        hosts: Vec<WireHost>,
    }
    WireAsk {
        job: String,
        tier_class: String,
        tariff: String,
        user_key: String,
        budget_s: f64,
        quota_units: f64,
        width: f64,
    }
    WireAttempt {
        job: String,
        send_no: f64,
        host: String,
        ending: i64,
        done_flag: bool,
        delay_seen_s: f64,
        cost: f64,
        metered: f64,
    }
    WireStats {
        latency_ms: Option<f64>,
    }
    WireHealth {
        host: String,
        ending: i64,
        stats: Value,
    }
    WireCount {
        counter: String,
        ending: i64,
        total: f64,
        delay_seen_s: f64,
    }
    WireTimer {
        cookie: String,
    }
}

fn host_entry(w: WireHost) -> HostEntry {
    HostEntry {
        host: HostId(Arc::from(w.host)),
        zone: w.failure_domain,
        group: w.group,
        kind: w.hw.into(),
        availability: match w.availability.as_str() {
            "ready" => Availability::Ready,
            "draining" => Availability::Draining,
            _ => Availability::Gone,
        },
        nominal_capacity: w.nominal,
        last_start: (w.last_start_s != 0.0).then(|| duration_from_secs(w.last_start_s)),
    }
}

/// A line of input, addressed to an instance.
pub enum Input {
    /// An instance starts.
    Start(u64, Box<Settings>),
    /// An instance was killed.
    PowerOff,
    /// An event for the library.
    Event(Event),
    /// An event that this adapter does not know.
    Unknown,
}

fn read<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T, String> {
    serde_json::from_value(value).map_err(|e| e.to_string())
}

/// Parses the event `what`.
///
/// # Errors
/// The event lacks a required value, or one has the wrong type.
pub fn parse(what: &str, value: Value) -> Result<Input, String> {
    let id = |job: String| RequestId(Arc::from(job));
    let host_id = |host: String| HostId(Arc::from(host));
    let event = match what {
        "Start" => {
            let w: WireStart = read(value)?;
            let seed = w.init_seed.as_u64().or_else(|| w.init_seed.as_i64().map(|s| s as u64));
            return Ok(Input::Start(
                seed.ok_or("Start: 'initSeed' is missing or not an integer of 64 bits")?,
                Box::new(settings::read(w.boot_info).map_err(|e| e.to_string())?.0),
            ));
        }
        "PowerOff" => return Ok(Input::PowerOff),
        "Members" => {
            let w: WireMembers = read(value)?;
            let scope = match w.scope.as_str() {
                "update" => ListScope::Update,
                "replace" => ListScope::Replace,
                "restored" => ListScope::Restored,
                "unavailable" => ListScope::Unavailable,
                other => return Err(format!("Members: unknown scope '{other}'")),
            };
            Event::Hosts { scope, entries: w.hosts.into_iter().map(host_entry).collect() }
        }
        "Ask" => {
            let w: WireAsk = read(value)?;
            Event::Request {
                id: id(w.job),
                class: w.tier_class,
                plan: w.tariff,
                customer: CustomerId(Arc::from(w.user_key)),
                budget: duration_from_secs(w.budget_s),
                units: w.quota_units,
                gateway_count: w.width as u32,
            }
        }
        "Streaming" => {
            let w: WireAttempt = read(value)?;
            Event::ResponseStarted { id: id(w.job), attempt: w.send_no as u32 }
        }
        "Gone" => {
            let w: WireAttempt = read(value)?;
            Event::ClientDisconnected { id: id(w.job) }
        }
        "AttemptEnd" => {
            let w: WireAttempt = read(value)?;
            Event::AttemptFinished {
                id: id(w.job),
                attempt: w.send_no as u32,
                host: host_id(w.host),
                ending: ending(w.ending),
                request_done: w.done_flag,
                elapsed: duration_from_secs(w.delay_seen_s),
                cost: w.cost,
                // The wire value is the percentage plus one; 0 stands for none.
                metered: Some((w.metered - 1.0) / 100.0).filter(|part| *part >= 0.0),
            }
        }
        "Health" => {
            let w: WireHealth = read(value)?;
            let stats: WireStats = read(w.stats).unwrap_or_default();
            let latency = stats.latency_ms.map(|ms| duration_from_secs(ms / 1e3));
            Event::ProbeFinished { host: host_id(w.host), ending: ending(w.ending), latency }
        }
        "CountResult" => {
            let w: WireCount = read(value)?;
            Event::CounterReply {
                name: CounterKey(Arc::from(w.counter)),
                ending: ending(w.ending),
                total: w.total,
                elapsed: duration_from_secs(w.delay_seen_s),
            }
        }
        "TimeoutFired" => Event::Timer { token: read::<WireTimer>(value)?.cookie },
        _ => return Ok(Input::Unknown),
    };
    Ok(Input::Event(event))
}

/// A line of output.
#[derive(Serialize)]
#[serde(tag = "what", rename_all_fields = "camelCase")]
pub enum Reply<'a> {
    Deliver {
        gateway: u64,
        job: &'a str,
        host: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        try_for_s: Option<f64>,
    },
    CallOff {
        gateway: u64,
        job: &'a str,
        send_no: u32,
    },
    CloseIdle {
        gateway: u64,
        host: &'a str,
    },
    TurnAway {
        gateway: u64,
        job: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        stay_away_s: Option<f64>,
    },
    EndFailed {
        gateway: u64,
        job: &'a str,
    },
    Bump {
        gateway: u64,
        ttl_s: f64,
        counter: &'a str,
        amount: f64,
    },
    Test {
        gateway: u64,
        host: &'a str,
    },
    SetTimer {
        gateway: u64,
        after_s: f64,
        cookie: &'a str,
    },
    Watch {
        gateway: u64,
        on: bool,
    },
    Eor {
        round: u64,
    },
}

/// The line of output for an action of an instance.
pub fn reply(gateway: u64, action: &Action) -> Reply<'_> {
    match action {
        Action::Send { id, host, timeout } => {
            Reply::Deliver { gateway, job: &id.0, host: &host.0, try_for_s: timeout.map(|t| t.as_secs_f64()) }
        }
        Action::Cancel { id, attempt } => Reply::CallOff { gateway, job: &id.0, send_no: *attempt },
        Action::Refuse { id, retry_after } => {
            Reply::TurnAway { gateway, job: &id.0, stay_away_s: retry_after.map(|s| s.as_secs_f64()) }
        }
        Action::Fail { id } => Reply::EndFailed { gateway, job: &id.0 },
        Action::AddToCounter { name, amount, ttl } => {
            Reply::Bump { gateway, ttl_s: ttl.as_secs_f64(), counter: &name.0, amount: *amount }
        }
        Action::Probe { host } => Reply::Test { gateway, host: &host.0 },
        Action::CloseIdle { host } => Reply::CloseIdle { gateway, host: &host.0 },
        Action::SetTimer { after, token } => {
            Reply::SetTimer { gateway, after_s: after.as_secs_f64(), cookie: token }
        }
        Action::Subscribe => Reply::Watch { gateway, on: true },
    }
}
