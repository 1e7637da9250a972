//! The settings object that a gateway is told at its start, by the simulator's first message or by its
//! configuration file: the only place that knows its keys and units. It must never decide anything, and keys
//! that it does not know are skipped, as sites add some.

use crate::gateway::*;
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// What the sockets need of the settings, beside what the decisions go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SocketSettings {
    /// A connection that is not up by then never comes up.
    pub dial_timeout: Duration,
    /// Hosts close connections that stood idle for so long.
    pub conn_idle: Duration,
    /// A call to the counter is given up after this.
    pub count_wait: Duration,
    /// The longest advice to stay away that clients heed.
    pub max_retry_after: Duration,
}

/// Reads the settings object: the part for the decisions and the part for the sockets.
pub fn read(value: Value) -> Result<(Settings, SocketSettings), String> {
    let told: WireSettings = serde_json::from_value(value).map_err(|e| format!("settings: {e}"))?;
    let sockets = SocketSettings {
        dial_timeout: span(told.limits.dial_timeout_s),
        conn_idle: span(told.limits.conn_idle_s),
        count_wait: span(told.family_info.count_wait_s),
        max_retry_after: span(told.limits.max_retry_after_s),
    };
    Ok((told.into_settings(), sockets))
}

/// Keys of a class that only some effects have.
const OF_SOME_CLASSES: [&str; 3] = ["aimStretch", "group", "windowS"];

/// May this whole configuration replace the one in force, as far as keys go? It must have every key that the one in
/// force has, each class and plan every key that all of them have, and deadlines and attempts that are numbers above
/// 0. The list of nodes is discovery's to judge.
///
/// # Errors
/// One line that names the first field at fault.
pub fn replaces(new: &Value, in_force: &Value) -> Result<(), String> {
    has_keys_of(new, in_force, "")?;
    let above_nought = |value: Option<&Value>, path: String| {
        let number = value.and_then(Value::as_f64);
        number.filter(|n| *n > 0.0).map(drop).ok_or_else(|| format!("{path}: no number above 0"))
    };
    let settings = &new["settings"];
    above_nought(settings["limits"].get("maxAttempts"), "settings.limits.maxAttempts".into())?;
    let classes = settings["classes"].as_array().filter(|c| !c.is_empty()).ok_or("settings.classes: none")?;
    let mut names = std::collections::BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        let path = |key: &str| format!("settings.classes[{index}].{key}");
        above_nought(class.get("hardLimitS"), path("hardLimitS"))?;
        above_nought(class.get("aimS"), path("aimS"))?;
        let name = class["name"].as_str().filter(|n| !n.is_empty()).ok_or_else(|| path("name"))?;
        if !names.insert(name) {
            return Err(format!("{}: {name:?} stands twice", path("name")));
        }
        let known = matches!(class["idempotency"].as_str(), Some("repeatable" | "once" | "by_key"));
        if !known {
            return Err(format!("{}: no such effect", path("idempotency")));
        }
    }
    Ok(())
}

fn has_keys_of(new: &Value, in_force: &Value, path: &str) -> Result<(), String> {
    match (new, in_force) {
        (Value::Object(new), Value::Object(held)) => {
            for (key, held) in held.iter().filter(|(key, held)| !held.is_null() && *key != "known") {
                let path = format!("{path}{}{key}", if path.is_empty() { "" } else { "." });
                let new = new.get(key).filter(|v| !v.is_null()).ok_or_else(|| format!("{path}: missing"))?;
                has_keys_of(new, held, &path)?;
            }
            Ok(())
        }
        (Value::Array(new), Value::Array(held)) => {
            let Some(Value::Object(first)) = held.first() else { return Ok(()) };
            let common = |key: &String| held.iter().all(|h| h.get(key).is_some());
            let needed =
                first.iter().filter(|(key, _)| common(key) && !OF_SOME_CLASSES.contains(&key.as_str()));
            let needed = Value::Object(needed.map(|(k, v)| (k.clone(), v.clone())).collect());
            let mut entries = new.iter().enumerate();
            entries.try_for_each(|(n, entry)| has_keys_of(entry, &needed, &format!("{path}[{n}]")))
        }
        (Value::Number(_), Value::Number(_))
        | (Value::String(_), Value::String(_))
        | (Value::Bool(_), Value::Bool(_)) => Ok(()),
        _ => Err(format!("{path}: of another kind than before")),
    }
}

/// A span in seconds; what is negative or not finite counts as none.
pub fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

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
    /// As the decisions want them.
    fn into_settings(self) -> Settings {
        let whole = |x: f64| x as u32;
        Settings {
            replicas: whole(self.replicas_of_me),
            ordinal: whole(self.ordinal),
            zone: self.zone,
            classes: self.classes.into_iter().map(class).collect(),
            plans: self.tiers_of_service.into_iter().map(plan).collect(),
            may_count: self.family_info.may_count,
            count_wait: span(self.family_info.count_wait_s),
            post_paid: self.family_info.post_paid,
            units_top: self.family_info.units_top,
            may_cancel: self.limits.cancel,
            may_duplicate: self.limits.may_duplicate,
            may_probe: self.limits.may_probe,
            max_attempts: whole(self.limits.max_attempts),
            retry_after: self.limits.retry_after,
            max_retry_after: span(self.limits.max_retry_after_s),
            on_request: self.discovery == "on_request",
            load_reports: match self.load_report.how.as_str() {
                "inline" => LoadReports::Inline,
                "on_probe" => LoadReports::OnProbe,
                _ => LoadReports::Off,
            },
            cold_share: self.rules.cold_share,
            tip_multiple: self.rules.tip_multiple,
            fall: span(self.rules.fall_s),
            warm_after: span(self.rules.warm_after_s),
            cross_zone_price: self.charges.cross_zone,
            probe_price: self.charges.probe,
        }
    }
}

fn class(w: WireClass) -> Class {
    let group = match w.group.as_str() {
        "all" => KeyGroup::All,
        "zone" => KeyGroup::Zone,
        _ => KeyGroup::Cell,
    };
    Class {
        name: w.name,
        aim: span(w.aim_s),
        gain: w.gain,
        late_worth: w.late_worth,
        idempotency: match w.idempotency.as_str() {
            "repeatable" => Idempotency::Repeatable,
            "by_key" => Idempotency::ByKey(group),
            _ => Idempotency::Once,
        },
        key_window: span(w.window_s),
    }
}

fn plan(w: WirePlan) -> Plan {
    Plan {
        name: w.name,
        rate: w.per_second,
        burst: w.most_at_once,
        at_once: w.at_once as u32,
        ceiling_rate: w.ceiling_rate,
        ceiling_burst: w.ceiling_burst,
        tolerance: w.tolerance,
        price: w.price,
        excess_worth: w.excess_worth,
        beyond_costs: w.beyond_costs,
    }
}
