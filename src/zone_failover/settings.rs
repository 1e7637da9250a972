//! The operators' settings of halls, read through the shared loader from a record `halls: {...}`. It owns
//! their names, types, defaults, ranges and meanings, and refuses by name what has none: overlapping
//! networks, a zone in two halls, an own hall that no hall names, a weight that is not above 0. It must never
//! decide anything with them.
//!
//! Documented meanings rather than errors: a node whose zone no hall names forms a hall of its own by that
//! zone, weight 1 (by `key: "zone"`); by `key: "networks"`, a node in no network is in no hall and keeps
//! today's treatment. A hall with no node takes no load and is never taken for lost.

use crate::config::{ConfigError, Reader};
use ipnet::IpNet;
use std::time::Duration;

use super::slow_start::RampSettings;

/// How a node finds its hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallKey {
    /// By the zone that the server table gives it.
    Zone,
    /// By its address, in the halls' networks.
    Networks,
}

/// What bounds the spill into a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The headroom by `node_rate` as soon as the hall's answers take longer than unpressed ones; the module goes near
    /// first, as ever. For fleets whose gatekeepers are asked
    /// unevenly, or whose nodes' rate is only roughly known.
    Measured,
    /// The headroom by `node_rate` always, and exactly the part that spills goes far. For fleets whose nodes must
    /// never come near full use.
    Rated,
}

/// One hall.
#[derive(Clone, Debug, PartialEq)]
pub struct HallDef {
    /// Its name.
    pub name: String,
    /// The zones of the table in it; empty: the zone of its name.
    pub zones: Vec<String>,
    /// Its networks, for `key: "networks"`.
    pub networks: Vec<IpNet>,
    /// Its locality weight among the halls that take spill.
    pub weight: f64,
}

impl HallDef {
    /// A hall that the settings do not name, met by its zone.
    pub fn implied(zone: &str) -> Self {
        HallDef { name: zone.to_string(), zones: vec![zone.to_string()], networks: Vec::new(), weight: 1.0 }
    }
}

/// All the settings of halls.
#[derive(Clone, Debug, PartialEq)]
pub struct HallSettings {
    /// How nodes find their hall.
    pub key: HallKey,
    /// This gatekeeper's hall; `None`: its zone from the main settings.
    pub own: Option<String>,
    /// The halls named; others by zone are added as met.
    pub halls: Vec<HallDef>,
    /// Envoy's overprovisioning factor: a tier at `1 / factor` of its health still takes all its load.
    pub overprovisioning: f64,
    /// Use of a hall up to which it takes spill.
    pub spill_use: f64,
    /// Dispatches a second that a node of size 1 serves; 0: unknown, spill is not bounded.
    pub node_rate: f64,
    /// What bounds the spill.
    pub bound: Bound,
    /// A reply missing for so long is silence; refusals and answers count so long.
    pub notice: Duration,
    /// The way back.
    pub ramp: RampSettings,
}

impl Default for HallSettings {
    fn default() -> Self {
        HallSettings {
            key: HallKey::Zone,
            own: None,
            halls: Vec::new(),
            overprovisioning: 1.4,
            spill_use: 0.8,
            node_rate: 0.0,
            bound: Bound::Measured,
            notice: Duration::from_millis(1500),
            ramp: RampSettings { ramp: 18.0, jitter: 0.25, hold: 2.0, hold_most: 60.0 },
        }
    }
}

impl HallSettings {
    /// Reads the record `halls` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<HallSettings> {
        let r = top.record("halls")?;
        let d = HallSettings::default();
        let key = r.choice("key", HallKey::Zone, &[("zone", HallKey::Zone), ("networks", HallKey::Networks)]);
        let own = r.text("own");
        let overprovisioning = r.number("overprovisioning", d.overprovisioning, (1.0, 4.0));
        let spill_use = r.number("spill_use", d.spill_use, (0.05, 1.0));
        let node_rate = r.number("node_rate", 0.0, (0.0, 1e6));
        let bound = r.choice("bound", d.bound, &[("measured", Bound::Measured), ("rated", Bound::Rated)]);
        let notice = r.seconds("notice", 1.5, (0.1, 30.0));
        let hold = r.number("hold", d.ramp.hold, (0.1, 60.0));
        let ramp = RampSettings {
            ramp: r.number("ramp", d.ramp.ramp, (1.0, 600.0)),
            jitter: r.number("ramp_jitter", d.ramp.jitter, (0.0, 0.9)),
            hold,
            hold_most: r.number("hold_most", d.ramp.hold_most, (0.1, 3600.0)).max(hold),
        };
        let mut halls = Vec::new();
        if let Some(list) = r.record("hall") {
            for (name, h) in list.entries() {
                let weight = h.number("weight", 1.0, (0.0, 1e6));
                if weight <= 0.0 {
                    if let Some(node) = h.node("weight") {
                        h.error(
                            node,
                            "weight",
                            "must be above 0: a hall that must take no spill is left out",
                        );
                    }
                }
                let zones: Vec<String> = h.texts("zones").into_iter().map(|z| z.0).collect();
                let mut networks = Vec::new();
                for (text, at) in h.texts("networks") {
                    match text.parse::<IpNet>() {
                        Ok(net) => networks.push((net.trunc(), at)),
                        Err(_) => h.error(
                            &crate::config::Node { value: crate::config::Value::Null, at },
                            "networks",
                            format!("\"{text}\" is no IP network (as 10.0.2.0/24)"),
                        ),
                    }
                }
                let zones = if zones.is_empty() { vec![name.to_string()] } else { zones };
                halls.push((
                    HallDef { name: name.to_string(), zones, networks: Vec::new(), weight },
                    networks,
                    h.at(),
                ));
                h.finish();
            }
            list.finish();
        }
        // Refused by name: a zone in two halls, networks that overlap, halls without networks by networks.
        for (i, (hall, nets, at)) in halls.iter().enumerate() {
            for (other, other_nets, _) in &halls[..i] {
                if let Some(z) = hall.zones.iter().find(|z| other.zones.contains(z)) {
                    r.error(
                        &node_at(*at),
                        &format!("hall.{}.zones", hall.name),
                        format!("zone \"{z}\" is also in hall \"{}\"", other.name),
                    );
                }
                for (net, net_at) in nets {
                    if let Some((o, _)) = other_nets
                        .iter()
                        .find(|(o, _)| o.contains(&net.network()) || net.contains(&o.network()))
                    {
                        r.error(
                            &node_at(*net_at),
                            &format!("hall.{}.networks", hall.name),
                            format!("{net} overlaps {o} of hall \"{}\"", other.name),
                        );
                    }
                }
            }
            if key == HallKey::Networks && nets.is_empty() {
                r.error(
                    &node_at(*at),
                    &format!("hall.{}", hall.name),
                    "has no networks, and halls are found by networks",
                );
            }
        }
        let halls: Vec<HallDef> = halls
            .into_iter()
            .map(|(mut h, nets, _)| {
                h.networks = nets.into_iter().map(|n| n.0).collect();
                h
            })
            .collect();
        if let (Some(own), false) = (&own, halls.is_empty()) {
            if !halls.iter().any(|h| &h.name == own) {
                let node = r.node("own").cloned().unwrap_or_else(|| node_at(r.at()));
                r.error(&node, "own", format!("\"{own}\" is no hall of `hall`"));
            }
        }
        r.finish();
        Some(HallSettings { key, own, halls, overprovisioning, spill_use, node_rate, bound, notice, ramp })
    }

    /// Reads a whole file that holds (at least) a `halls` record; other records are no business of halls.
    pub fn load(text: &str) -> Result<Option<HallSettings>, Vec<ConfigError>> {
        crate::config::load(text, HallSettings::read)
    }

    /// What is in force, one line a setting, for `whinstall check`.
    pub fn describe(&self) -> String {
        let mut out = format!(
            "halls by {}; own {}; overprovisioning {}; spill up to {} use of {} a second a node, {}; \
             silence after {:.2} s; \
             ramp {} s (jitter {}), hold-off {} s doubling to {} s\n",
            match self.key {
                HallKey::Zone => "zone",
                HallKey::Networks => "networks",
            },
            self.own.as_deref().unwrap_or("(the gatekeeper's zone)"),
            self.overprovisioning,
            self.spill_use,
            self.node_rate,
            match self.bound {
                Bound::Measured => "bound where answers slow down",
                Bound::Rated => "bound always",
            },
            self.notice.as_secs_f64(),
            self.ramp.ramp,
            self.ramp.jitter,
            self.ramp.hold,
            self.ramp.hold_most,
        );
        for h in &self.halls {
            let nets: Vec<String> = h.networks.iter().map(ToString::to_string).collect();
            out += &format!(
                "hall {}: zones {:?}, networks [{}], weight {}\n",
                h.name,
                h.zones,
                nets.join(", "),
                h.weight
            );
        }
        out
    }
}

fn node_at(at: crate::config::Pos) -> crate::config::Node {
    crate::config::Node { value: crate::config::Value::Null, at }
}
