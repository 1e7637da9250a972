//! The operators' settings of zone failover: the record `halls` of their settings file.
//!
//! The names of the record and its fields are those in service (`halls`, `notice`, `hold`, ...); the table in
//! `docs/zone-failover.md` maps them to the terms used in code.
//!
//! Beyond types and ranges, reading rejects: networks that overlap, a label in two zones, a local zone that the
//! record does not define, a weight that is not above 0, and a zone without networks if zones are looked up by
//! network. Not errors: with lookup by label, an endpoint whose label no zone names forms a zone of its own, of
//! weight 1; with lookup by network, an endpoint in no network is in no zone, and is selected as without this
//! record. A zone without endpoints takes no load and is never ejected.

use super::slow_start::SlowStartSettings;
use crate::config::{ConfigError, Pos, Reader};
use ipnet::IpNet;
use std::time::Duration;

/// How the zone of an endpoint is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneLookup {
    /// By the zone label of the endpoint list (`key: "zone"`).
    Label,
    /// By address, in the networks of the zones (`key: "networks"`).
    Network,
}

/// When the headroom by `node_rate` limits the spillover into a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpilloverBound {
    /// As soon as the response times of the zone show congestion; the decision module prefers local endpoints.
    /// For fleets whose gatekeepers receive uneven load, or whose endpoint rate is only roughly known.
    Measured,
    /// Always, and exactly the planned share goes to remote zones. For fleets whose endpoints must never come
    /// near full utilization.
    Rated,
}

/// Definition of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneDef {
    /// Name of the zone.
    pub name: String,
    /// Zone labels of the endpoint list that belong to the zone; the name of the zone if the settings give none.
    pub labels: Vec<String>,
    /// Networks of the zone, for [`ZoneLookup::Network`].
    pub networks: Vec<IpNet>,
    /// Locality weight of the zone among those that take spillover, above 0.
    pub weight: f64,
}

impl ZoneDef {
    /// A zone that the settings do not define, for the endpoints of this label.
    pub fn implied(label: &str) -> Self {
        let (name, labels) = (label.to_string(), vec![label.to_string()]);
        ZoneDef { name, labels, networks: Vec::new(), weight: 1.0 }
    }
}

/// All settings of zone failover.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailoverSettings {
    /// How the zone of an endpoint is found (`key`).
    pub lookup: ZoneLookup,
    /// The local zone of this gatekeeper (`own`); `None`: the zone of its main settings.
    pub local_zone: Option<String>,
    /// The zones defined (`hall`). With lookup by label, others are added as they appear.
    pub zones: Vec<ZoneDef>,
    /// A tier whose health is at least the reciprocal of this factor takes its whole load (`overprovisioning`).
    pub overprovisioning_factor: f64,
    /// Utilization up to which a zone takes spillover (`spill_use`).
    pub max_spillover_utilization: f64,
    /// Dispatches a second that an endpoint of capacity 1 serves (`node_rate`); 0: unknown, and spillover is not
    /// limited.
    pub endpoint_rate_per_sec: f64,
    /// When spillover is limited (`bound`).
    pub spillover_bound: SpilloverBound,
    /// Time without a byte of response after which a dispatch has timed out, and for which a refused connection makes
    /// its endpoint unusable (`notice`).
    pub detection_timeout: Duration,
    /// Slow start and backoff (`ramp`, `ramp_jitter`, `hold`, `hold_most`).
    pub slow_start: SlowStartSettings,
}

impl Default for ZoneFailoverSettings {
    fn default() -> Self {
        ZoneFailoverSettings {
            lookup: ZoneLookup::Label,
            local_zone: None,
            zones: Vec::new(),
            overprovisioning_factor: 1.4,
            max_spillover_utilization: 0.8,
            endpoint_rate_per_sec: 0.0,
            spillover_bound: SpilloverBound::Measured,
            detection_timeout: Duration::from_millis(1500),
            slow_start: SlowStartSettings {
                window_secs: 18.0,
                jitter: 0.25,
                backoff_secs: 2.0,
                max_backoff_secs: 60.0,
            },
        }
    }
}

/// A zone as read, with the positions that errors refer to.
struct ParsedZone {
    def: ZoneDef,
    network_positions: Vec<Pos>,
    at: Pos,
}

impl ZoneFailoverSettings {
    /// Reads the record `halls` of a settings file; `None` where the file has none. Errors go to the reader.
    pub fn read(top: &Reader<'_>) -> Option<ZoneFailoverSettings> {
        let r = top.record("halls")?;
        let d = ZoneFailoverSettings::default();
        let lookups = [("zone", ZoneLookup::Label), ("networks", ZoneLookup::Network)];
        let bounds = [("measured", SpilloverBound::Measured), ("rated", SpilloverBound::Rated)];
        let notice_secs = d.detection_timeout.as_secs_f64();
        let mut settings = ZoneFailoverSettings {
            lookup: r.choice("key", d.lookup, &lookups),
            local_zone: r.text("own"),
            zones: Vec::new(),
            overprovisioning_factor: r.number("overprovisioning", d.overprovisioning_factor, 1.0..=4.0),
            max_spillover_utilization: r.number("spill_use", d.max_spillover_utilization, 0.05..=1.0),
            endpoint_rate_per_sec: r.number("node_rate", d.endpoint_rate_per_sec, 0.0..=1e6),
            spillover_bound: r.choice("bound", d.spillover_bound, &bounds),
            detection_timeout: r.seconds("notice", notice_secs, 0.1..=30.0),
            slow_start: read_slow_start(&r, &d.slow_start),
        };
        let zones = read_zones(&r);
        check_zones(&r, settings.lookup, &zones);
        settings.zones = zones.into_iter().map(|zone| zone.def).collect();
        settings.check_local_zone(&r);
        r.finish();
        Some(settings)
    }

    /// The local zone must be one of the zones, if any are defined.
    fn check_local_zone(&self, r: &Reader<'_>) {
        let Some(local) = &self.local_zone else { return };
        if !self.zones.is_empty() && !self.zones.iter().any(|zone| &zone.name == local) {
            let at = r.node("own").map_or(r.at(), |node| node.at);
            r.error_at(at, "own", format!("\"{local}\" is not defined in `hall`"));
        }
    }

    /// Reads a whole file that holds a `halls` record and no other; `Ok(None)` where it holds none.
    ///
    /// # Errors
    /// Every error of the file, with line, column and field.
    pub fn load(text: &str) -> Result<Option<ZoneFailoverSettings>, Vec<ConfigError>> {
        crate::config::load(text, ZoneFailoverSettings::read)
    }

    /// The settings in force as text for `whinstall check`: one line, and one for each zone defined.
    pub fn describe(&self) -> String {
        let mut out = format!(
            "halls by {}; own hall {}; overprovisioning {}; \
             spillover up to utilization {} of {} dispatches/s per node, {}; detection timeout {:.2} s; \
             slow start {} s (jitter {}); backoff {} s, doubling to {} s\n",
            match self.lookup {
                ZoneLookup::Label => "zone",
                ZoneLookup::Network => "networks",
            },
            self.local_zone.as_deref().unwrap_or("(the gatekeeper's zone)"),
            self.overprovisioning_factor,
            self.max_spillover_utilization,
            self.endpoint_rate_per_sec,
            match self.spillover_bound {
                SpilloverBound::Measured => "limited under congestion",
                SpilloverBound::Rated => "always limited",
            },
            self.detection_timeout.as_secs_f64(),
            self.slow_start.window_secs,
            self.slow_start.jitter,
            self.slow_start.backoff_secs,
            self.slow_start.max_backoff_secs,
        );
        for zone in &self.zones {
            let networks: Vec<String> = zone.networks.iter().map(ToString::to_string).collect();
            out += &format!(
                "hall {}: zones {:?}, networks [{}], weight {}\n",
                zone.name,
                zone.labels,
                networks.join(", "),
                zone.weight
            );
        }
        out
    }
}

fn read_slow_start(r: &Reader<'_>, d: &SlowStartSettings) -> SlowStartSettings {
    let backoff_secs = r.number("hold", d.backoff_secs, 0.1..=60.0);
    SlowStartSettings {
        window_secs: r.number("ramp", d.window_secs, 1.0..=600.0),
        jitter: r.number("ramp_jitter", d.jitter, 0.0..=0.9),
        backoff_secs,
        max_backoff_secs: r.number("hold_most", d.max_backoff_secs, 0.1..=3600.0).max(backoff_secs),
    }
}

fn read_zones(r: &Reader<'_>) -> Vec<ParsedZone> {
    let Some(list) = r.record("hall") else { return Vec::new() };
    let zones = list.entries().map(|(name, zone)| read_zone(name, zone)).collect();
    list.finish();
    zones
}

fn read_zone(name: &str, r: Reader<'_>) -> ParsedZone {
    let weight = r.number("weight", 1.0, 0.0..=1e6);
    if let (Some(node), true) = (r.node("weight"), weight <= 0.0) {
        r.error(node, "weight", "must be above 0; leave out a hall that must not take spillover");
    }
    let mut labels: Vec<String> = r.texts("zones").into_iter().map(|(label, _)| label).collect();
    if labels.is_empty() {
        labels.push(name.to_string());
    }
    let networks: Vec<(IpNet, Pos)> = r.parsed_texts("networks", "IP network (as 10.0.2.0/24)");
    let (networks, network_positions) = networks.into_iter().map(|(net, at)| (net.trunc(), at)).unzip();
    let at = r.at();
    r.finish();
    ParsedZone { def: ZoneDef { name: name.to_string(), labels, networks, weight }, network_positions, at }
}

/// Rejects zones that overlap, and zones without networks if zones are looked up by network.
fn check_zones(r: &Reader<'_>, lookup: ZoneLookup, zones: &[ParsedZone]) {
    for (i, zone) in zones.iter().enumerate() {
        for other in &zones[..i] {
            check_disjoint(r, zone, &other.def);
        }
        if lookup == ZoneLookup::Network && zone.def.networks.is_empty() {
            let field = format!("hall.{}", zone.def.name);
            r.error_at(zone.at, &field, "has no networks, although `key` is \"networks\"");
        }
    }
}

/// Rejects a zone that shares a label or addresses with `other`.
fn check_disjoint(r: &Reader<'_>, zone: &ParsedZone, other: &ZoneDef) {
    let (def, other_name) = (&zone.def, &other.name);
    if let Some(label) = def.labels.iter().find(|label| other.labels.contains(label)) {
        let field = format!("hall.{}.zones", def.name);
        r.error_at(zone.at, &field, format!("zone \"{label}\" is already in hall \"{other_name}\""));
    }
    for (network, &at) in def.networks.iter().zip(&zone.network_positions) {
        let overlaps = |o: &&IpNet| o.contains(&network.network()) || network.contains(&o.network());
        if let Some(overlapped) = other.networks.iter().find(overlaps) {
            let field = format!("hall.{}.networks", def.name);
            r.error_at(at, &field, format!("{network} overlaps {overlapped} of hall \"{other_name}\""));
        }
    }
}
