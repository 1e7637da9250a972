//! Owns the settings file: what a process is told of itself, its network, its platform and the bounds that hold.
//! It must never guess what the file does not say: what is missing has a stated default or is an error.

use crate::json_path::parse_duration;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Why settings can't be used.
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

impl std::error::Error for SettingsError {}

/// The bounds of the deployment (`constraints.envelope`), all in force at once.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// How long a machine is calm before it counts as in touch.
    pub contact: Duration,
    /// A call of the operator, or of a leaving worker, is acknowledged within this.
    pub ack_bound: Duration,
    /// A machine counts as lost for so long after its return.
    pub resync_bound: Duration,
    /// No request reaches a worker this long after its leaving was acknowledged.
    pub drain_bound: Duration,
    /// SIGKILL follows SIGTERM after this.
    pub grace_period: Duration,
    /// A version is in force everywhere this long after its acknowledgement.
    pub settle: Duration,
    /// Further tries: part of the requests of a window...
    pub retry_ratio: f64,
    /// ...of this length...
    pub retry_window: Duration,
    /// ...and so many more.
    pub retry_slack: f64,
    /// Quotas hold in every span of this length...
    pub quota_horizon: Duration,
    /// ...with this part...
    pub quota_overshoot: f64,
    /// ...and so many requests beyond.
    pub quota_margin: f64,
}

/// What may be lost at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossTolerance {
    /// Machines with a disk.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

/// All that a process is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its machine's name.
    pub node: String,
    /// Its machine's address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Regions by zone.
    pub region_by_zone: BTreeMap<String, String>,
    /// Does the whole system start for the first time?
    pub cold_start: bool,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Descriptors.
    pub max_descriptors: usize,
    /// Where its files live, if it has a disk.
    pub data_path: Option<PathBuf>,
    /// The port on which core machines hear the system's own processes.
    pub internal_port: u16,
    /// Core machines, as far as they were known when the file was written.
    pub seeds: Vec<SocketAddr>,
    /// Where clients are served.
    pub front_address: Option<SocketAddr>,
    /// Where the platform asks whether it is ready.
    pub readiness_address: Option<SocketAddr>,
    /// Where workers and operators call.
    pub control_address: Option<SocketAddr>,
    /// Time between two heartbeats of a worker.
    pub heartbeat: Duration,
    /// What may be lost.
    pub tolerance: LossTolerance,
    /// The bounds.
    pub envelope: DeploymentBounds,
}

struct Reader<'a>(&'a toml::Table);

impl Reader<'_> {
    fn find(&self, path: &str) -> Option<&toml::Value> {
        let mut parts = path.split('.');
        let first = self.0.get(parts.next()?)?;
        parts.try_fold(first, |value, part| value.get(part))
    }

    fn text(&self, path: &str) -> Result<String, SettingsError> {
        let found = self.find(path).and_then(|v| v.as_str());
        found.map(str::to_owned).ok_or_else(|| SettingsError::InvalidField(path.into(), "a text"))
    }

    /// What is there, if it can be read as what it should be; none where nothing is.
    fn read<T>(
        &self,
        path: &str,
        what: &'static str,
        read: impl FnOnce(&toml::Value) -> Option<T>,
    ) -> Result<Option<T>, SettingsError> {
        let told =
            self.find(path).map(|value| read(value).ok_or(SettingsError::InvalidField(path.into(), what)));
        told.transpose()
    }

    fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        let number = |v: &toml::Value| v.as_float().or(v.as_integer().map(|n| n as f64));
        let number = |v: &toml::Value| number(v).filter(|n| n.is_finite() && *n >= 0.0);
        Ok(self.read(path, "a number of at least 0", number)?.unwrap_or(default))
    }

    fn time(&self, path: &str, default_ms: u64) -> Result<Duration, SettingsError> {
        let told = self.read(path, "a time such as 2500ms or 2.5s", |v| parse_duration(v.as_str()?))?;
        Ok(told.unwrap_or(Duration::from_millis(default_ms)))
    }

    fn address(&self, path: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.read(path, "an address such as 10.0.0.1:80", |v| v.as_str()?.parse().ok())
    }
}

impl Settings {
    /// Reads the file that `WHINSTALL_NODE_FILE` names.
    pub fn load() -> Result<Self, SettingsError> {
        Self::load_from(&Self::file_path()?)
    }

    /// Is this one of the machines that the whole system begins with, at its first start?
    pub fn is_first_seed(&self) -> bool {
        self.cold_start && self.is_seed()
    }

    /// Is this one of the machines that others reach for first?
    pub fn is_seed(&self) -> bool {
        self.seeds.iter().any(|s| s.ip() == self.ip)
    }

    /// Where the settings file is.
    pub fn file_path() -> Result<PathBuf, SettingsError> {
        std::env::var_os("WHINSTALL_NODE_FILE").map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    /// Reads this file.
    pub fn load_from(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path);
        Self::from_toml(&text.map_err(|e| SettingsError::Unreadable(path.display().to_string(), e))?)
    }

    /// Reads settings in TOML.
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let table: toml::Table =
            text.parse().map_err(|e: toml::de::Error| SettingsError::NotToml(e.to_string()))?;
        let r = Reader(&table);
        let field = |path: &str, what| SettingsError::InvalidField(path.into(), what);
        let ip = r.text("self.ip_addr")?.parse().map_err(|_| field("self.ip_addr", "an address"))?;
        let ports = r.find("network.internal_ports").and_then(|v| v.as_array()?.first()?.as_integer());
        let inner_port = ports.and_then(|p| u16::try_from(p).ok());
        let seeds = r.find("network.seed_list").and_then(|v| v.as_array());
        let seeds = seeds.ok_or_else(|| field("network.seed_list", "a list of addresses"))?;
        let seed = |v: &toml::Value| v.as_str().and_then(|v| v.parse().ok());
        let seeds: Option<Vec<_>> = seeds.iter().map(seed).collect();
        let zones = r.find("network.zones").and_then(|v| v.as_table());
        let zones = zones.into_iter().flatten();
        let zones = zones.filter_map(|(z, region)| Some((z.clone(), region.as_str()?.to_owned())));
        let (saturation, envelope) = ("self.saturation", "constraints.envelope");
        let time = |name: &str, default| r.time(&format!("{envelope}.{name}"), default);
        let number = |name: &str, default| r.number(&format!("{envelope}.{name}"), default);
        let lost = |name: &str| r.number(&format!("constraints.tolerance.{name}"), 0.0).map(|n| n as usize);
        Ok(Settings {
            node: r.text("self.node_name")?,
            ip,
            zone: r.text("self.zone_name")?,
            region: r.text("self.region_name").unwrap_or_default(),
            region_by_zone: zones.collect(),
            cold_start: r.find("self.cold_start").and_then(|v| v.as_bool()).unwrap_or(false),
            memory_bytes: (r.number(&format!("{saturation}.memory_cap_mb"), 256.0)? * 1e6) as u64,
            max_descriptors: r.number(&format!("{saturation}.file_handles"), 1024.0)? as usize,
            data_path: r.find("self.data_path").and_then(|v| v.as_str()).map(PathBuf::from),
            internal_port: inner_port.ok_or_else(|| field("network.internal_ports", "two ports"))?,
            seeds: seeds.ok_or_else(|| field("network.seed_list", "a list of addresses"))?,
            front_address: r.address("network.endpoints.front_http")?,
            readiness_address: r.address("network.endpoints.ready_port")?,
            control_address: r.address("network.endpoints.control_port")?,
            heartbeat: r.time("substrate.heartbeat", 1500)?,
            tolerance: LossTolerance {
                machines: lost("machine_losses")?,
                zones: lost("zones")?,
                regions: lost("region_losses")?,
            },
            envelope: DeploymentBounds {
                contact: time("contact", 3000)?,
                ack_bound: time("ack_bound", 5000)?,
                resync_bound: time("resync_bound", 4000)?,
                drain_bound: time("drain_bound", 2500)?,
                grace_period: time("grace_period", 6000)?,
                settle: time("settle", 2500)?,
                retry_ratio: number("retry_ratio", 0.2)?,
                retry_window: time("retry_window", 10_000)?,
                retry_slack: number("retry_slack", 0.0)?,
                quota_horizon: time("quota_horizon", 5000)?,
                quota_overshoot: number("quota_overshoot", 0.1)?,
                quota_margin: number("quota_margin", 0.0)?,
            },
        })
    }
}
