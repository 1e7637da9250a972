//! The settings file of a process: its machine, its network, its platform, and the bounds of the deployment. What the
//! file does not say has the default stated here, or is an error.

use crate::json_path::parse_duration;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings can't be used. A process that runs keeps its previous settings then.
#[derive(Debug, displaydoc::Display)]
pub enum SettingsError {
    /// WHINSTALL_NODE_FILE is not set
    PathNotSet,
    /// {0}: {1}
    Unreadable(String, std::io::Error),
    /// not TOML: {0}
    NotToml(String),
    /// {0}: missing or not {1}
    InvalidField(String, &'static str),
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::Unreadable(_, error) => Some(error),
            SettingsError::PathNotSet | SettingsError::NotToml(_) | SettingsError::InvalidField(..) => None,
        }
    }
}

/// The environment variable that names the settings file.
const PATH_VARIABLE: &str = "WHINSTALL_NODE_FILE";

/// The bounds of the deployment (`constraints.envelope`), all in force at once.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// A machine counts as connected once its connections have been stable for so long.
    pub contact: Duration,
    /// A call of an operator, or of a worker that leaves, is acknowledged within this.
    pub ack_bound: Duration,
    /// A machine that returns counts as lost for so long: it may still be catching up.
    pub resync_bound: Duration,
    /// No request reaches a worker later than this after its departure was acknowledged.
    pub drain_bound: Duration,
    /// SIGKILL follows SIGTERM after this.
    pub grace_period: Duration,
    /// A configuration version is in force everywhere this long after it was acknowledged.
    pub settle: Duration,
    /// The retry budget: in every `retry_window`, `retry_ratio` times the requests, and `retry_slack` more.
    pub retry_ratio: f64,
    /// The length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries that are allowed in any window, however few requests it has.
    pub retry_slack: f64,
    /// Length of the span in which a tenant's quota holds: its admitted requests stay within the quota times
    /// `1 + quota_overshoot`, plus `quota_margin`.
    pub quota_horizon: Duration,
    /// Fraction of the quota by which a tenant may exceed it in one `quota_horizon`.
    pub quota_overshoot: f64,
    /// Requests by which a tenant may exceed the quota in one `quota_horizon`, in addition to `quota_overshoot`.
    pub quota_margin: f64,
}

/// How much may be lost at the same time without losing what was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossTolerance {
    /// Machines with a disk.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of its machine.
    pub node: String,
    /// Address of its machine.
    pub ip: IpAddr,
    /// Zone of its machine.
    pub zone: String,
    /// Region of its machine; empty if the file doesn't say.
    pub region: String,
    /// The region of each zone of the deployment.
    pub region_by_zone: BTreeMap<String, String>,
    /// Whether the whole system starts for the first time.
    pub cold_start: bool,
    /// Memory that the process may use: bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may open.
    pub max_descriptors: usize,
    /// The folder of its files; the core role needs one.
    pub data_path: Option<PathBuf>,
    /// The port on which core machines accept the system's own processes, and edges each other's datagrams.
    pub internal_port: u16,
    /// Core machines that were known when the file was written. Others are learned from these.
    pub seeds: Vec<SocketAddr>,
    /// Where the edge role serves clients.
    pub front_address: Option<SocketAddr>,
    /// Where the edge role answers the platform's readiness checks.
    pub readiness_address: Option<SocketAddr>,
    /// Where the core role accepts calls of workers and operators.
    pub control_address: Option<SocketAddr>,
    /// Interval between two heartbeats of a worker.
    pub heartbeat: Duration,
    /// How much may be lost at the same time.
    pub tolerance: LossTolerance,
    /// The bounds of the deployment.
    pub envelope: DeploymentBounds,
}

/// A parsed settings file, whose values are addressed by dotted paths such as `network.seed_list`.
struct SettingsFile(toml::Table);

impl SettingsFile {
    fn value(&self, path: &str) -> Option<&toml::Value> {
        let mut keys = path.split('.');
        let first = self.0.get(keys.next()?)?;
        keys.try_fold(first, |value, key| value.get(key))
    }

    /// The value at `path` as `convert` reads it; `None` if the file has none. An error if it is not `expected`.
    fn optional<T>(
        &self,
        path: &str,
        expected: &'static str,
        convert: impl FnOnce(&toml::Value) -> Option<T>,
    ) -> Result<Option<T>, SettingsError> {
        self.value(path).map(|value| convert(value).ok_or_else(|| invalid(path, expected))).transpose()
    }

    /// The value at `path` as `convert` reads it. An error if there is none or it is not `expected`.
    fn required<T>(
        &self,
        path: &str,
        expected: &'static str,
        convert: impl FnOnce(&toml::Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        self.value(path).and_then(convert).ok_or_else(|| invalid(path, expected))
    }

    fn required_str(&self, path: &str) -> Result<String, SettingsError> {
        self.required(path, "a text", |value| value.as_str().map(str::to_owned))
    }

    fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        let convert = |value: &toml::Value| {
            let number = value.as_float().or(value.as_integer().map(|n| n as f64));
            number.filter(|n| n.is_finite() && *n >= 0.0)
        };
        Ok(self.optional(path, "a number of at least 0", convert)?.unwrap_or(default))
    }

    fn duration(&self, path: &str, default_ms: u64) -> Result<Duration, SettingsError> {
        let duration =
            self.optional(path, "a time such as 2500ms or 2.5s", |v| parse_duration(v.as_str()?))?;
        Ok(duration.unwrap_or(Duration::from_millis(default_ms)))
    }

    fn address(&self, path: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.optional(path, "an address such as 10.0.0.1:80", |v| v.as_str()?.parse().ok())
    }

    /// The first of `network.internal_ports`.
    fn internal_port(&self) -> Result<u16, SettingsError> {
        self.required("network.internal_ports", "two ports", |ports| {
            u16::try_from(ports.as_array()?.first()?.as_integer()?).ok()
        })
    }

    fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        self.required("network.seed_list", "a list of addresses", |seeds| {
            seeds.as_array()?.iter().map(|seed| seed.as_str()?.parse().ok()).collect()
        })
    }

    /// What `network.zones` says; entries that are no text are passed over.
    fn region_by_zone(&self) -> BTreeMap<String, String> {
        let zones = self.value("network.zones").and_then(|zones| zones.as_table());
        let zones = zones.into_iter().flatten();
        zones.filter_map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_owned()))).collect()
    }

    fn tolerance(&self) -> Result<LossTolerance, SettingsError> {
        let count =
            |name: &str| self.number(&format!("constraints.tolerance.{name}"), 0.0).map(|n| n as usize);
        Ok(LossTolerance {
            machines: count("machine_losses")?,
            zones: count("zones")?,
            regions: count("region_losses")?,
        })
    }

    fn bounds(&self) -> Result<DeploymentBounds, SettingsError> {
        let path = |name: &str| format!("constraints.envelope.{name}");
        let duration = |name: &str, default_ms| self.duration(&path(name), default_ms);
        let number = |name: &str, default| self.number(&path(name), default);
        Ok(DeploymentBounds {
            contact: duration("contact", 3000)?,
            ack_bound: duration("ack_bound", 5000)?,
            resync_bound: duration("resync_bound", 4000)?,
            drain_bound: duration("drain_bound", 2500)?,
            grace_period: duration("grace_period", 6000)?,
            settle: duration("settle", 2500)?,
            retry_ratio: number("retry_ratio", 0.2)?,
            retry_window: duration("retry_window", 10_000)?,
            retry_slack: number("retry_slack", 0.0)?,
            quota_horizon: duration("quota_horizon", 5000)?,
            quota_overshoot: number("quota_overshoot", 0.1)?,
            quota_margin: number("quota_margin", 0.0)?,
        })
    }
}

fn invalid(path: &str, expected: &'static str) -> SettingsError {
    SettingsError::InvalidField(path.into(), expected)
}

impl Settings {
    /// Reads the file that `WHINSTALL_NODE_FILE` names.
    pub fn load() -> Result<Self, SettingsError> {
        Self::load_from(&Self::file_path()?)
    }

    /// Whether this is one of the machines that the system begins with, at its first start.
    pub fn is_first_seed(&self) -> bool {
        self.cold_start && self.is_seed()
    }

    /// Whether this machine is in the seed list.
    pub fn is_seed(&self) -> bool {
        self.seeds.iter().any(|seed| seed.ip() == self.ip)
    }

    /// The path that `WHINSTALL_NODE_FILE` names.
    pub fn file_path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(PATH_VARIABLE).map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    /// Reads this file.
    pub fn load_from(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path);
        Self::from_toml(&text.map_err(|e| SettingsError::Unreadable(path.display().to_string(), e))?)
    }

    /// Reads settings in TOML. Keys that are unknown here are passed over.
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let table = text.parse().map_err(|e: toml::de::Error| SettingsError::NotToml(e.to_string()))?;
        let file = SettingsFile(table);
        // Of several faults the first is told: the address, a seed list that is none, then the fields in this order.
        let ip_address = file.required_str("self.ip_addr")?;
        let ip = ip_address.parse().map_err(|_| invalid("self.ip_addr", "an address"))?;
        if !file.value("network.seed_list").is_some_and(toml::Value::is_array) {
            return Err(invalid("network.seed_list", "a list of addresses"));
        }
        Ok(Settings {
            node: file.required_str("self.node_name")?,
            ip,
            zone: file.required_str("self.zone_name")?,
            region: file.required_str("self.region_name").unwrap_or_default(),
            region_by_zone: file.region_by_zone(),
            cold_start: file.value("self.cold_start").and_then(|v| v.as_bool()).unwrap_or(false),
            memory_bytes: (file.number("self.saturation.memory_cap_mb", 256.0)? * 1e6) as u64,
            max_descriptors: file.number("self.saturation.file_handles", 1024.0)? as usize,
            data_path: file.value("self.data_path").and_then(|v| v.as_str()).map(PathBuf::from),
            internal_port: file.internal_port()?,
            seeds: file.seeds()?,
            front_address: file.address("network.endpoints.front_http")?,
            readiness_address: file.address("network.endpoints.ready_port")?,
            control_address: file.address("network.endpoints.control_port")?,
            heartbeat: file.duration("substrate.heartbeat", 1500)?,
            tolerance: file.tolerance()?,
            envelope: file.bounds()?,
        })
    }
}
