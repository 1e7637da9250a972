//! The settings object of a gateway, from the first message of the simulator or from its configuration file.
//!
//! This module knows its keys and units; the decision module and the sockets receive typed settings. Keys that it
//! does not know are skipped, because deployments add some.

use crate::gateway::*;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Settings of the socket layer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SocketSettings {
    /// Timeout of a connect.
    pub connect_timeout: Duration,
    /// Idle time after which hosts close a connection.
    pub host_idle_timeout: Duration,
    /// Timeout of a call to the quota counter.
    pub counter_timeout: Duration,
    /// Longest `Retry-After` that clients respect.
    pub max_retry_after: Duration,
}

/// The settings object does not have the expected form.
#[derive(Debug)]
pub struct SettingsError(serde_json::Error);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Reads a settings object: the settings of the decision module and those of the socket layer. Keys that are not
/// given are zero, empty or false; durations that are negative or not finite are zero.
///
/// # Errors
/// A value of the wrong type.
pub fn read(value: Value) -> Result<(Settings, SocketSettings), SettingsError> {
    let wire: WireSettings = serde_json::from_value(value).map_err(SettingsError)?;
    let sockets = SocketSettings {
        connect_timeout: duration_from_secs(wire.limits.dial_timeout_s),
        host_idle_timeout: duration_from_secs(wire.limits.conn_idle_s),
        counter_timeout: duration_from_secs(wire.family_info.count_wait_s),
        max_retry_after: duration_from_secs(wire.limits.max_retry_after_s),
    };
    Ok((wire.into_settings(), sockets))
}

/// A configuration cannot replace the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplaceError {
    /// The first field at fault, by its path.
    pub field: String,
    /// The reason why it is rejected.
    pub reason: ReplaceErrorReason,
}

/// Why a field of a configuration prevents it from replacing the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceErrorReason {
    /// The configuration in force has the field, the new one does not.
    Missing,
    /// The type of the field differs from the one in force.
    TypeChanged,
    /// The value must be a number above 0.
    NotPositive,
    /// The list must not be empty.
    Empty,
    /// A class must have a name.
    Unnamed,
    /// The name of a class is used more than once.
    DuplicateName(String),
    /// The value is not a known kind of idempotency.
    UnknownIdempotency,
}

impl ReplaceErrorReason {
    fn at(self, field: impl Into<String>) -> ReplaceError {
        ReplaceError { field: field.into(), reason: self }
    }
}

impl fmt::Display for ReplaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.field)?;
        match &self.reason {
            ReplaceErrorReason::Missing => f.write_str(": missing"),
            ReplaceErrorReason::TypeChanged => f.write_str(": type differs from the one in force"),
            ReplaceErrorReason::NotPositive => f.write_str(": must be a number above 0"),
            ReplaceErrorReason::Empty => f.write_str(": must not be empty"),
            ReplaceErrorReason::Unnamed => f.write_str(": must be a non-empty string"),
            ReplaceErrorReason::DuplicateName(name) => write!(f, ": duplicate name {name:?}"),
            ReplaceErrorReason::UnknownIdempotency => {
                f.write_str(": must be \"repeatable\", \"once\" or \"by_key\"")
            }
        }
    }
}

impl std::error::Error for ReplaceError {}

/// Keys that only some kinds of classes have.
const OPTIONAL_CLASS_KEYS: [&str; 3] = ["aimStretch", "group", "windowS"];

/// Checks whether a configuration may replace the one in force at a reload. It must have every key that the one in
/// force has, and each class and plan every key that all of those in force have; deadlines and the number of attempts
/// must be above 0. The list of hosts (`known`) is not checked: the server table validates it.
///
/// # Errors
/// The first field at fault.
pub fn check_replacement(new: &Value, in_force: &Value) -> Result<(), ReplaceError> {
    check_keys(new, in_force, "")?;
    let settings = &new["settings"];
    check_positive(settings["limits"].get("maxAttempts"), "settings.limits.maxAttempts".into())?;
    let classes = settings["classes"].as_array().filter(|classes| !classes.is_empty());
    let classes = classes.ok_or_else(|| ReplaceErrorReason::Empty.at("settings.classes"))?;
    let mut names = BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        let path = |key: &str| format!("settings.classes[{index}].{key}");
        check_positive(class.get("hardLimitS"), path("hardLimitS"))?;
        check_positive(class.get("aimS"), path("aimS"))?;
        let name = class["name"].as_str().filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| ReplaceErrorReason::Unnamed.at(path("name")))?;
        if !names.insert(name) {
            return Err(ReplaceErrorReason::DuplicateName(name.to_string()).at(path("name")));
        }
        if !matches!(class["idempotency"].as_str(), Some("repeatable" | "once" | "by_key")) {
            return Err(ReplaceErrorReason::UnknownIdempotency.at(path("idempotency")));
        }
    }
    Ok(())
}

fn check_positive(value: Option<&Value>, path: String) -> Result<(), ReplaceError> {
    match value.and_then(Value::as_f64) {
        Some(number) if number > 0.0 => Ok(()),
        _ => Err(ReplaceErrorReason::NotPositive.at(path)),
    }
}

/// Checks that `new`, the value at `path`, has the keys and types of the one in force.
fn check_keys(new: &Value, in_force: &Value, path: &str) -> Result<(), ReplaceError> {
    match (new, in_force) {
        (Value::Object(new), Value::Object(in_force)) => {
            let required = in_force.iter().filter(|(key, value)| !value.is_null() && *key != "known");
            for (key, in_force) in required {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let new = new.get(key).filter(|value| !value.is_null());
                check_keys(new.ok_or_else(|| ReplaceErrorReason::Missing.at(&path))?, in_force, &path)?;
            }
            Ok(())
        }
        (Value::Array(new), Value::Array(in_force)) => {
            let Some(required) = common_keys(in_force) else { return Ok(()) };
            let mut entries = new.iter().enumerate();
            entries.try_for_each(|(n, entry)| check_keys(entry, &required, &format!("{path}[{n}]")))
        }
        (Value::Number(_), Value::Number(_))
        | (Value::String(_), Value::String(_))
        | (Value::Bool(_), Value::Bool(_)) => Ok(()),
        _ => Err(ReplaceErrorReason::TypeChanged.at(path)),
    }
}

/// The first object of a list, reduced to the keys that all objects of the list have. `None` if the first entry is no
/// object.
fn common_keys(list: &[Value]) -> Option<Value> {
    let Value::Object(first) = list.first()? else { return None };
    let is_common = |key: &String| list.iter().all(|entry| entry.get(key).is_some());
    let required =
        first.iter().filter(|(key, _)| is_common(key) && !OPTIONAL_CLASS_KEYS.contains(&key.as_str()));
    Some(Value::Object(required.map(|(key, value)| (key.clone(), value.clone())).collect()))
}

/// A duration from seconds; zero if they are negative or not finite.
pub fn duration_from_secs(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).unwrap_or(Duration::ZERO)
}

/// Declares structs of the JSON form, with camel-case keys that all have defaults. Units are in the names (`_s`:
/// seconds).
macro_rules! wire {
    ($($name:ident { $($field:ident: $kind:ty,)* })*) => {$(
        #[derive(Deserialize, Default)]
        #[serde(rename_all = "camelCase", default)]
        struct $name { $($field: $kind,)* }
    )*};
}

wire! {
    WireClass {
        name: String,
        aim_s: f64,
        gain: f64,
        late_worth: f64,
        idempotency: String,
        group: String,
        window_s: f64,
    }
    WirePlan {
        name: String,
        per_second: f64,
        most_at_once: f64,
        at_once: f64,
        ceiling_rate: f64,
        ceiling_burst: f64,
        tolerance: f64,
        price: f64,
        excess_worth: f64,
        beyond_costs: f64,
    }
    WireFamily {
        may_count: bool,
        count_wait_s: f64,
        post_paid: bool,
        units_top: f64,
    }
    WireLimits {
        cancel: bool,
        dial_timeout_s: f64,
        conn_idle_s: f64,
        may_duplicate: bool,
        may_probe: bool,
        max_attempts: f64,
        retry_after: bool,
        max_retry_after_s: f64,
    }
    WireReport {
        how: String,
    }
    WireRules {
        cold_share: f64,
        tip_multiple: f64,
        fall_s: f64,
        warm_after_s: f64,
    }
    WireCharges {
        cross_zone: f64,
        probe: f64,
    }
    WireSettings {
        replicas_of_me: f64,
        ordinal: f64,
        zone: String,
        classes: Vec<WireClass>,
        tiers_of_service: Vec<WirePlan>,
        family_info: WireFamily,
        limits: WireLimits,
        discovery: String,
        load_report: WireReport,
        rules: WireRules,
        charges: WireCharges,
    }
}

impl WireSettings {
    /// The settings of the decision module.
    fn into_settings(self) -> Settings {
        let integer = |x: f64| x as u32;
        Settings {
            replicas: integer(self.replicas_of_me),
            ordinal: integer(self.ordinal),
            zone: self.zone,
            classes: self.classes.into_iter().map(class).collect(),
            plans: self.tiers_of_service.into_iter().map(plan).collect(),
            uses_counter: self.family_info.may_count,
            counter_timeout: duration_from_secs(self.family_info.count_wait_s),
            units_are_estimates: self.family_info.post_paid,
            max_units: self.family_info.units_top,
            may_cancel: self.limits.cancel,
            may_hedge: self.limits.may_duplicate,
            may_probe: self.limits.may_probe,
            max_attempts: integer(self.limits.max_attempts),
            sends_retry_after: self.limits.retry_after,
            max_retry_after: duration_from_secs(self.limits.max_retry_after_s),
            subscribes_to_hosts: self.discovery == "on_request",
            load_reports: match self.load_report.how.as_str() {
                "inline" => LoadReports::Inline,
                "on_probe" => LoadReports::OnProbe,
                _ => LoadReports::Off,
            },
            cold_capacity_fraction: self.rules.cold_share,
            overload_factor: self.rules.tip_multiple,
            overload_duration: duration_from_secs(self.rules.fall_s),
            warmup: duration_from_secs(self.rules.warm_after_s),
            cross_zone_price: self.charges.cross_zone,
            probe_price: self.charges.probe,
        }
    }
}

fn class(w: WireClass) -> Class {
    let group = match w.group.as_str() {
        "all" => KeyScope::All,
        "zone" => KeyScope::Zone,
        _ => KeyScope::Cell,
    };
    Class {
        name: w.name,
        latency_target: duration_from_secs(w.aim_s),
        value: w.gain,
        late_value_fraction: w.late_worth,
        idempotency: match w.idempotency.as_str() {
            "repeatable" => Idempotency::Repeatable,
            "by_key" => Idempotency::ByKey(group),
            _ => Idempotency::Once,
        },
        key_retention: duration_from_secs(w.window_s),
    }
}

fn plan(w: WirePlan) -> Plan {
    Plan {
        name: w.name,
        rate: w.per_second,
        burst: w.most_at_once,
        max_concurrent: w.at_once as u32,
        ceiling_rate: w.ceiling_rate,
        ceiling_burst: w.ceiling_burst,
        ceiling_tolerance: w.tolerance,
        price: w.price,
        excess_value_fraction: w.excess_worth,
        excess_cost_fraction: w.beyond_costs,
    }
}
