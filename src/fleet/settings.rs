//! The operators' settings of replication among gatekeepers: the record `fleet` of their settings file. Without the
//! record, gatekeepers do not talk to each other.
//!
//! The names in the file are those in service; each field below names its key where the two differ.

use crate::config::{ConfigError, Reader};
use std::net::SocketAddr;

/// How hard ceilings are divided by demand: the record `budgets`.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Fraction of its even share that each gatekeeper always has. The rest is divided by demand.
    pub floor: f64,
    /// Duration of a grant (`term`).
    pub lease_secs: f64,
    /// Upper bound on the drift between two clocks during a lease (`margin`).
    pub clock_margin_secs: f64,
}

/// All settings of replication.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet. Messages of gatekeepers of another fleet are rejected.
    pub cluster: String,
    /// Address on which this gatekeeper listens for the other members.
    pub listen: SocketAddr,
    /// Address at which the other members reach this one; `None`: the listening address.
    pub advertise: Option<SocketAddr>,
    /// Addresses of some other members. All further members are learned from them.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two rounds of gossip (`round`).
    pub gossip_interval_secs: f64,
    /// Number of members asked in a round.
    pub fanout: u32,
    /// Maximum rate of replicated rows in responses, in bytes per second (`bytes`).
    pub bytes_per_sec: f64,
    /// Maximum lag behind an origin for a replica of it to count as fresh (`fresh`).
    pub max_lag_secs: f64,
    /// Interval between two probes by this member (`probe`).
    pub probe_interval_secs: f64,
    /// Time after which a suspected member is declared down (`suspect`).
    pub suspicion_timeout_secs: f64,
    /// Time after which the state of a member that is down is forgotten (`forget`).
    pub forget_after_secs: f64,
    /// Interval between two log lines on replication (`tell`).
    pub log_interval_secs: f64,
    /// How hard ceilings are divided; `None`: evenly.
    pub budgets: Option<BudgetSettings>,
}

impl BudgetSettings {
    fn read(fleet: &Reader<'_>) -> Option<Self> {
        let record = fleet.record("budgets")?;
        let settings = BudgetSettings {
            floor: record.number("floor", 0.5, (0.0, 1e9)),
            lease_secs: record.number("term", 2.0, (0.2, 60.0)),
            clock_margin_secs: record.number("margin", 0.25, (0.01, 60.0)),
        };
        if let (Some(node), true) = (record.node("floor"), settings.floor > 1.0) {
            record.error(
                node,
                "floor",
                "must be at most 1 (the even share): the floors of all members would exceed the budget",
            );
        }
        if let (Some(node), true) =
            (record.node("term").or(record.node("margin")), settings.lease_secs <= settings.clock_margin_secs)
        {
            record.error(node, "term", "must be longer than `margin`");
        }
        record.finish();
        Some(settings)
    }
}

impl FleetSettings {
    /// Reads the record `fleet` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<FleetSettings> {
        let record = top.record("fleet")?;
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let required = |name: &str| {
            let text = record.text(name);
            if record.node(name).is_none() || text.as_deref() == Some("") {
                record.missing(name);
            }
            text
        };
        let cluster = required("cluster").unwrap_or_default();
        let listen = required("listen");
        let optional_address = |name: &str, text: Option<&str>| {
            let parsed = text.and_then(address);
            if let (Some(node), None, Some(_)) = (record.node(name), parsed, text) {
                record.error(node, name, "must be an address with a port, such as \"127.0.0.1:7000\"");
            }
            parsed
        };
        let listen_address = optional_address("listen", listen.as_deref());
        let advertise = optional_address("advertise", record.text("advertise").as_deref());
        let mut seeds = Vec::new();
        for (node, (text, _)) in record.list("seeds").iter().zip(record.texts("seeds")) {
            match address(&text) {
                Some(seed) if seeds.contains(&seed) => {
                    record.error(node, "seeds", format!("{seed} is listed twice"))
                }
                Some(seed) => seeds.push(seed),
                None => record.error(node, "seeds", format!("{text:?} is not an address with a port")),
            }
        }
        if let (Some(node), Some(0)) = (record.node("advertise"), advertise.map(|address| address.port())) {
            record.error(node, "advertise", "must name a port that others can reach");
        }
        let settings = FleetSettings {
            cluster,
            listen: listen_address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            advertise,
            seeds,
            gossip_interval_secs: record.number("round", 0.2, (0.02, 10.0)),
            fanout: record.integer("fanout", 2, (1, 16)),
            bytes_per_sec: record.number("bytes", 2e6, (1e4, 1e9)),
            max_lag_secs: record.number("fresh", 1.0, (0.1, 30.0)),
            probe_interval_secs: record.number("probe", 0.5, (0.05, 30.0)),
            suspicion_timeout_secs: record.number("suspect", 2.0, (0.1, 120.0)),
            forget_after_secs: record.number("forget", 600.0, (10.0, 86_400.0)),
            log_interval_secs: record.number("tell", 5.0, (0.05, 600.0)),
            budgets: BudgetSettings::read(&record),
        };
        if let (Some(node), true) =
            (record.node("forget"), settings.forget_after_secs < 2.0 * settings.suspicion_timeout_secs)
        {
            record.error(node, "forget", "must be at least twice `suspect`");
        }
        record.finish();
        Some(settings)
    }

    /// Reads a settings file; `None` where it has no `fleet` record.
    ///
    /// # Errors
    /// Every error of the file, with its line, column and field.
    pub fn load(text: &str) -> Result<Option<FleetSettings>, Vec<ConfigError>> {
        crate::config::load(text, FleetSettings::read)
    }

    /// Describes the settings in force, for `whinstall check`.
    pub fn describe(&self) -> String {
        format!(
            "fleet {:?}: listening at {}{}; {} seed(s); {} member(s) asked every {} s; at most {} bytes/s of rows; \
             replicas fresh up to {} s behind; probes every {} s, suspected members down after {} s, forgotten after \
             {} s; {}\n",
            self.cluster,
            self.listen,
            self.advertise.map(|address| format!(", advertised as {address}")).unwrap_or_default(),
            self.seeds.len(),
            self.fanout,
            self.gossip_interval_secs,
            self.bytes_per_sec,
            self.max_lag_secs,
            self.probe_interval_secs,
            self.suspicion_timeout_secs,
            self.forget_after_secs,
            self.budgets.as_ref().map_or("ceilings shared evenly".into(), |budgets| format!(
                "ceilings divided by demand: floor {} of the even share, leases of {} s, clock margin {} s",
                budgets.floor, budgets.lease_secs, budgets.clock_margin_secs
            )),
        )
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
