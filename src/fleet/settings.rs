//! The operators' settings of the copies among gatekeepers, read through the shared loader from a record
//! `fleet: {...}`. It owns their names, types, defaults and ranges; it must never decide anything with them. Without
//! the record no gatekeeper talks to another.

use crate::config::{ConfigError, Reader};
use std::net::SocketAddr;

/// All the settings of the copies.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet: a gatekeeper of another one is turned away.
    pub cluster: String,
    /// Where this gatekeeper listens for the others.
    pub listen: SocketAddr,
    /// Where the others listen.
    pub peers: Vec<SocketAddr>,
    /// Seconds between two rounds.
    pub round: f64,
    /// Peers asked in a round.
    pub fanout: u32,
    /// Rows in one message, at the most.
    pub rows: u32,
    /// Seconds between two log lines of the copies.
    pub tell: f64,
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
        let at = listen.as_deref().and_then(address);
        if let (Some(node), None, true) = (r.node("listen"), at, listen.is_some()) {
            r.error(node, "listen", "must be an address and a port, as \"127.0.0.1:7000\"");
        }
        let mut peers = Vec::new();
        for (node, (text, _)) in r.list("peers").iter().zip(r.texts("peers")) {
            match address(&text) {
                Some(peer) if peers.contains(&peer) => r.error(node, "peers", format!("{peer} stands twice")),
                Some(peer) => peers.push(peer),
                None => r.error(node, "peers", format!("{text:?} is no address and port")),
            }
        }
        let settings = FleetSettings {
            cluster,
            listen: at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            peers,
            round: r.number("round", 0.2, (0.02, 10.0)),
            fanout: r.whole("fanout", 2, (1, 16)),
            rows: r.whole("rows", 256, (1, 400)),
            tell: r.number("tell", 5.0, (0.05, 600.0)),
        };
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
            "fleet {:?}: copies kept with {} peer(s), {} asked every {} s, {} rows a message; listening at {}\n",
            self.cluster,
            self.peers.len(),
            self.fanout,
            self.round,
            self.rows,
            self.listen,
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_read_with_defaults_and_name_every_error() {
        assert_eq!(FleetSettings::load("").unwrap(), None);
        let text = "fleet: { cluster: \"cluj\", listen: \"127.0.0.1:7000\", peers: [\"127.0.0.1:7001\"] }";
        let s = FleetSettings::load(text).unwrap().unwrap();
        assert_eq!((s.cluster.as_str(), s.peers.len(), s.fanout, s.rows), ("cluj", 1, 2, 256));
        let bad =
            "fleet: {\n  listen: \"here\"\n  peers: [\"127.0.0.1:1\", \"127.0.0.1:1\", \"x\"]\n  round: 0\n}";
        let said: Vec<String> =
            FleetSettings::load(bad).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(said.len(), 5, "{said:?}");
        assert!(said.iter().any(|e| e.contains("fleet.cluster")), "{said:?}");
        assert!(said.iter().any(|e| e.starts_with("2:") && e.contains("fleet.listen")), "{said:?}");
        assert!(said.iter().any(|e| e.starts_with("3:") && e.contains("stands twice")), "{said:?}");
    }
}
