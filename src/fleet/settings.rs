//! The operators' settings of the copies among gatekeepers, read through the shared loader from a record
//! `fleet: {...}`. It owns their names, types, defaults and ranges; it must never decide anything with them. Without
//! the record no gatekeeper talks to another.

use crate::config::{ConfigError, Reader};
use std::net::SocketAddr;

/// How hard ceilings are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Part of its even share that each gatekeeper has whatever happens; the rest is divided.
    pub floor: f64,
    /// A part is good for so many seconds.
    pub lease_secs: f64,
    /// Two clocks run apart by less than so many seconds in a term.
    pub clock_margin_secs: f64,
}

/// All the settings of the copies.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet: a gatekeeper of another one is turned away.
    pub cluster: String,
    /// Where this gatekeeper listens for the others.
    pub listen: SocketAddr,
    /// Where the others reach it; `None`: where it listens.
    pub advertise: Option<SocketAddr>,
    /// Where some of the others listen: all the rest are learned from them.
    pub seeds: Vec<SocketAddr>,
    /// Seconds between two rounds.
    pub gossip_interval_secs: f64,
    /// Members asked in a round.
    pub fanout: u32,
    /// Bytes a second of rows that this one sends in answers, at the most.
    pub bytes_per_sec: f64,
    /// Seconds by which a copy may lag behind its origin and still be fresh.
    pub max_lag_secs: f64,
    /// Seconds between two probes of this member.
    pub probe_interval_secs: f64,
    /// A member that does not answer is suspected for so many seconds, then given up.
    pub suspicion_timeout_secs: f64,
    /// What a member that is gone left is forgotten after so many seconds.
    pub forget_after_secs: f64,
    /// Seconds between two log lines of the copies.
    pub log_interval_secs: f64,
    /// How hard ceilings are divided; `None`: evenly.
    pub budgets: Option<BudgetSettings>,
}

impl BudgetSettings {
    fn read(r: &Reader<'_>) -> Option<Self> {
        let b = r.record("budgets")?;
        let settings = BudgetSettings {
            floor: b.number("floor", 0.5, (0.0, 1e9)),
            lease_secs: b.number("term", 2.0, (0.2, 60.0)),
            clock_margin_secs: b.number("margin", 0.25, (0.01, 60.0)),
        };
        if let (Some(node), true) = (b.node("floor"), settings.floor > 1.0) {
            b.error(node, "floor", "all members' floors together pass the whole: at most 1, the even share");
        }
        if let (Some(node), true) =
            (b.node("term").or(b.node("margin")), settings.lease_secs <= settings.clock_margin_secs)
        {
            b.error(node, "term", "must be longer than `margin`");
        }
        b.finish();
        Some(settings)
    }
}

impl FleetSettings {
    /// Reads the record `fleet` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<FleetSettings> {
        let r = top.record("fleet")?;
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let needed = |name: &str| {
            let text = r.text(name);
            if r.node(name).is_none() || text.as_deref() == Some("") {
                r.missing(name);
            }
            text
        };
        let cluster = needed("cluster").unwrap_or_default();
        let listen = needed("listen");
        let place = |name: &str, text: Option<&str>| {
            let at = text.and_then(address);
            if let (Some(node), None, Some(_)) = (r.node(name), at, text) {
                r.error(node, name, "must be an address and a port, as \"127.0.0.1:7000\"");
            }
            at
        };
        let at = place("listen", listen.as_deref());
        let advertise = place("advertise", r.text("advertise").as_deref());
        let mut seeds = Vec::new();
        for (node, (text, _)) in r.list("seeds").iter().zip(r.texts("seeds")) {
            match address(&text) {
                Some(seed) if seeds.contains(&seed) => r.error(node, "seeds", format!("{seed} stands twice")),
                Some(seed) => seeds.push(seed),
                None => r.error(node, "seeds", format!("{text:?} is no address and port")),
            }
        }
        if let (Some(node), Some(0)) = (r.node("advertise"), advertise.map(|at| at.port())) {
            r.error(node, "advertise", "must name a port that others can reach");
        }
        let settings = FleetSettings {
            cluster,
            listen: at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            advertise,
            seeds,
            gossip_interval_secs: r.number("round", 0.2, (0.02, 10.0)),
            fanout: r.whole("fanout", 2, (1, 16)),
            bytes_per_sec: r.number("bytes", 2e6, (1e4, 1e9)),
            max_lag_secs: r.number("fresh", 1.0, (0.1, 30.0)),
            probe_interval_secs: r.number("probe", 0.5, (0.05, 30.0)),
            suspicion_timeout_secs: r.number("suspect", 2.0, (0.1, 120.0)),
            forget_after_secs: r.number("forget", 600.0, (10.0, 86_400.0)),
            log_interval_secs: r.number("tell", 5.0, (0.05, 600.0)),
            budgets: BudgetSettings::read(&r),
        };
        if let (Some(node), true) =
            (r.node("forget"), settings.forget_after_secs < 2.0 * settings.suspicion_timeout_secs)
        {
            r.error(node, "forget", "must be at least twice `suspect`");
        }
        r.finish();
        Some(settings)
    }

    /// Reads a whole file that holds (at least) a `fleet` record.
    ///
    /// # Errors
    /// Every error of the file, with line, column and field.
    pub fn load(text: &str) -> Result<Option<FleetSettings>, Vec<ConfigError>> {
        crate::config::load(text, FleetSettings::read)
    }

    /// What is in force, for `whinstall check`.
    pub fn describe(&self) -> String {
        format!(
            "fleet {:?}: listening at {}{}; {} seed(s); {} asked every {} s; rows at {} bytes/s at most; copies fresh for \
             {} s; probed every {} s, given up {} s after, forgotten after {} s; {}\n",
            self.cluster,
            self.listen,
            self.advertise.map(|at| format!(", reached at {at}")).unwrap_or_default(),
            self.seeds.len(),
            self.fanout,
            self.gossip_interval_secs,
            self.bytes_per_sec,
            self.max_lag_secs,
            self.probe_interval_secs,
            self.suspicion_timeout_secs,
            self.forget_after_secs,
            self.budgets.as_ref().map_or("ceilings shared evenly".into(), |b| format!(
                "ceilings divided: floors of {} of the even share, terms of {} s, {} s margin",
                b.floor, b.lease_secs, b.clock_margin_secs
            )),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_read_with_defaults_and_name_every_error() {
        assert_eq!(FleetSettings::load("").unwrap(), None);
        let text = "fleet: { cluster: \"cluj\", listen: \"127.0.0.1:7000\", seeds: [\"127.0.0.1:7001\"] }";
        let s = FleetSettings::load(text).unwrap().unwrap();
        assert_eq!((s.cluster.as_str(), s.seeds.len(), s.fanout, s.advertise), ("cluj", 1, 2, None));
        let bad =
            "fleet: {\n  listen: \"here\"\n  seeds: [\"127.0.0.1:1\", \"127.0.0.1:1\", \"x\"]\n  round: 0\n  advertise: \"127.0.0.1:0\"\n}";
        let said: Vec<String> =
            FleetSettings::load(bad).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(said.len(), 6, "{said:?}");
        assert!(said.iter().any(|e| e.contains("fleet.cluster")), "{said:?}");
        assert!(said.iter().any(|e| e.starts_with("2:") && e.contains("fleet.listen")), "{said:?}");
        assert!(said.iter().any(|e| e.starts_with("5:") && e.contains("others can reach")), "{said:?}");
        assert!(said.iter().any(|e| e.starts_with("3:") && e.contains("stands twice")), "{said:?}");
    }

    #[test]
    fn budgets_are_off_unless_told_and_name_every_error() {
        let read = |budgets: &str| {
            let text = format!("fleet: {{ cluster: \"cluj\", listen: \"127.0.0.1:7000\"\n{budgets} }}");
            FleetSettings::load(&text).map(|s| s.unwrap().budgets)
        };
        assert_eq!(read("").unwrap(), None);
        let some = BudgetSettings { floor: 0.5, lease_secs: 2.0, clock_margin_secs: 0.25 };
        assert_eq!(read("budgets: {}").unwrap(), Some(some));
        for (wrong, why) in [
            ("budgets: { floor: 1.5 }", "pass the whole"),
            ("budgets: { floor: \"half\" }", "floor"),
            ("budgets: { term: 1, margin: 1 }", "longer than `margin`"),
            ("budgets: { term: 0 }", "term"),
            ("budgets: { margin: 0 }", "margin"),
            ("budgets: { flor: 1 }", "no known field"),
        ] {
            let said: Vec<String> = read(wrong).unwrap_err().iter().map(ToString::to_string).collect();
            assert!(said[0].starts_with("2:") && said[0].contains(why), "{wrong}: {said:?}");
            assert!(said[0].contains("fleet.budgets"), "{said:?}");
        }
    }
}
