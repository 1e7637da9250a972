//! The operators' settings of sites, read through the shared loader from a record `sites: {...}`. It owns their names,
//! types, defaults and ranges, and refuses what has no meaning; it must never decide anything with them.

use crate::config::Reader;

/// A kind of load, by whatever operators tell it apart.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadClass {
    /// Its name, as `"standard preview"`.
    pub name: String,
    /// Its part of each site's load, 0 to 1.
    pub load_fraction: f64,
    /// Its place in the order of refusal: the least is refused first.
    pub shed_order: u32,
    /// Is it never to be refused?
    pub must_serve: bool,
}

/// Where a site's load goes.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverTarget {
    /// To which site, by its index.
    pub site: usize,
    /// Its weight among those of its order.
    pub weight: f64,
    /// Lower ones are filled first.
    pub priority: u32,
}

/// One site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its halls.
    pub zones: Vec<String>,
    /// Units a second that it can serve.
    pub capacity: f64,
    /// Units a second that it is usually asked for.
    pub load: f64,
    /// Use up to which it may be loaded, as a part of its capacity.
    pub max_utilization: f64,
    /// Where its load goes when it is lost.
    pub failover_targets: Vec<FailoverTarget>,
}

/// All the settings of sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The kinds of load, in the order of refusal.
    pub load_classes: Vec<LoadClass>,
    /// The sites, by name.
    pub sites: Vec<Site>,
}

/// The parts of kinds may stray so far from 1 together.
const PARTS_STRAY: f64 = 1e-6;

impl SiteSettings {
    /// Reads the record `sites` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<SiteSettings> {
        let r = top.record("sites")?;
        let most = r.number("most", 0.85, (0.05, 1.0));
        let mut kinds = Vec::<LoadClass>::new();
        if let Some(list) = r.record("kind") {
            for (name, k) in list.entries() {
                let kind = LoadClass {
                    name: name.to_string(),
                    load_fraction: k.number("part", 0.0, (0.0, 1.0)),
                    shed_order: k.whole("refuse", u32::MAX, (1, 1000)),
                    must_serve: k.flag("must", false),
                };
                match k.node("refuse") {
                    None => k.missing("refuse"),
                    Some(node) => {
                        if let Some(same) = kinds.iter().find(|other| other.shed_order == kind.shed_order) {
                            k.error(
                                node,
                                "refuse",
                                format!("{:?} has this place in the order already", same.name),
                            );
                        }
                    }
                }
                kinds.push(kind);
                k.finish();
            }
        }
        let parts: f64 = kinds.iter().map(|kind| kind.load_fraction).sum();
        match r.node("kind") {
            None => r.missing("kind"),
            Some(node) if (parts - 1.0).abs() > PARTS_STRAY => {
                r.error(node, "kind", format!("the parts of all kinds add up to {parts}, not to 1"));
            }
            Some(_) => {}
        }
        kinds.sort_by_key(|kind| kind.shed_order);
        let mut sites = Vec::<Site>::new();
        if let Some(list) = r.record("site") {
            let names: Vec<String> = list.entries().map(|(name, _)| name.to_string()).collect();
            for (name, s) in list.entries() {
                let halls: Vec<String> = s.texts("halls").into_iter().map(|hall| hall.0).collect();
                match s.node("halls") {
                    None => s.missing("halls"),
                    Some(node) if halls.is_empty() => s.error(node, "halls", "a site has one hall at least"),
                    Some(node) => {
                        for hall in &halls {
                            if let Some(other) = sites.iter().find(|other| other.zones.contains(hall)) {
                                s.error(node, "halls", format!("{hall:?} is in {:?} already", other.name));
                            }
                        }
                    }
                }
                for needed in ["capacity", "load"] {
                    if s.node(needed).is_none() {
                        s.missing(needed);
                    }
                }
                let site = Site {
                    name: name.to_string(),
                    zones: halls,
                    capacity: s.number("capacity", 1.0, (1e-3, 1e9)),
                    load: s.number("load", 0.0, (0.0, 1e9)),
                    max_utilization: s.number("most", most, (0.05, 1.0)),
                    failover_targets: ways(&s, name, &names),
                };
                sites.push(site);
                s.finish();
            }
        }
        if sites.is_empty() {
            r.missing("site");
        }
        r.finish();
        Some(SiteSettings { load_classes: kinds, sites })
    }

    /// What is in force, for `whinstall check`.
    pub fn describe(&self) -> String {
        let order: Vec<&str> = self.load_classes.iter().map(|kind| kind.name.as_str()).collect();
        format!(
            "{} site(s); refused in this order: {} (`whinstall plan` tells what each loss leads to)\n",
            self.sites.len(),
            order.join(", ")
        )
    }
}

fn ways(s: &Reader<'_>, name: &str, names: &[String]) -> Vec<FailoverTarget> {
    let mut ways = Vec::new();
    let Some(list) = s.record("to") else { return ways };
    for (to, w) in list.entries() {
        let (weight, order) = (w.number("weight", 1.0, (0.0, 1e6)), w.whole("order", 1, (1, 100)));
        if let (Some(node), true) = (w.node("weight"), weight <= 0.0) {
            w.error(node, "weight", "must be above 0");
        }
        match names.iter().position(|known| known == to) {
            _ if to == name => w.refuse("a lost site cannot take its own load"),
            None => w.refuse("is no site of this file"),
            Some(to) => ways.push(FailoverTarget { site: to, weight, priority: order }),
        }
        w.finish();
    }
    ways
}
