//! The operators' settings of sites: the record `sites` of their settings file.
//!
//! The names in the file are those in service; each field below names its key where the two differ.

use crate::config::Reader;

/// A class of load, by whatever criterion operators tell classes apart: an entry of the record `kind`.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadClass {
    /// Name of the class, such as `"standard preview"`.
    pub name: String,
    /// Fraction of each site's load, 0 to 1 (`part`).
    pub load_fraction: f64,
    /// Place in the order of load shedding (`refuse`): the class with the lowest is shed first.
    pub shed_order: u32,
    /// Whether the class must never be shed (`must`).
    pub must_serve: bool,
}

/// A site that takes load when another site is lost: an entry of the record `to`.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverTarget {
    /// Index of the site.
    pub site: usize,
    /// Weight among the targets of the same priority.
    pub weight: f64,
    /// Targets with a lower priority number are filled first (`order`).
    pub priority: u32,
}

/// A site: an entry of the record `site`.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Zones of the site (`halls`).
    pub zones: Vec<String>,
    /// Load that the site can serve, in units per second.
    pub capacity: f64,
    /// Usual load of the site, in units per second.
    pub load: f64,
    /// Maximum utilization, as a fraction of the capacity (`most`).
    pub max_utilization: f64,
    /// Sites that take the load when this site is lost (`to`).
    pub failover_targets: Vec<FailoverTarget>,
}

/// All settings of sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Classes of load, in the order of load shedding.
    pub load_classes: Vec<LoadClass>,
    /// The sites.
    pub sites: Vec<Site>,
}

/// The load fractions of all classes may differ from a sum of 1 by this much.
const FRACTION_SUM_TOLERANCE: f64 = 1e-6;

impl SiteSettings {
    /// Reads the record `sites` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<SiteSettings> {
        let top_record = top.record("sites")?;
        let default_max_utilization = top_record.number("most", 0.85, (0.05, 1.0));
        let mut load_classes = Vec::<LoadClass>::new();
        if let Some(list) = top_record.record("kind") {
            for (name, class_record) in list.entries() {
                let class = LoadClass {
                    name: name.to_string(),
                    load_fraction: class_record.number("part", 0.0, (0.0, 1.0)),
                    shed_order: class_record.integer("refuse", u32::MAX, (1, 1000)),
                    must_serve: class_record.flag("must", false),
                };
                match class_record.node("refuse") {
                    None => class_record.missing("refuse"),
                    Some(node) => {
                        if let Some(same) =
                            load_classes.iter().find(|other| other.shed_order == class.shed_order)
                        {
                            class_record.error(
                                node,
                                "refuse",
                                format!("{:?} already has this place in the order", same.name),
                            );
                        }
                    }
                }
                load_classes.push(class);
                class_record.finish();
            }
        }
        let fraction_sum: f64 = load_classes.iter().map(|class| class.load_fraction).sum();
        match top_record.node("kind") {
            None => top_record.missing("kind"),
            Some(node) if (fraction_sum - 1.0).abs() > FRACTION_SUM_TOLERANCE => {
                top_record.error(
                    node,
                    "kind",
                    format!("the parts of all kinds add up to {fraction_sum}, not to 1"),
                );
            }
            Some(_) => {}
        }
        load_classes.sort_by_key(|class| class.shed_order);
        let mut sites = Vec::<Site>::new();
        if let Some(list) = top_record.record("site") {
            let names: Vec<String> = list.entries().map(|(name, _)| name.to_string()).collect();
            for (name, site_record) in list.entries() {
                let zones: Vec<String> = site_record.texts("halls").into_iter().map(|zone| zone.0).collect();
                match site_record.node("halls") {
                    None => site_record.missing("halls"),
                    Some(node) if zones.is_empty() => {
                        site_record.error(node, "halls", "a site must have at least one hall");
                    }
                    Some(node) => {
                        for zone in &zones {
                            if let Some(other) = sites.iter().find(|other| other.zones.contains(zone)) {
                                site_record.error(
                                    node,
                                    "halls",
                                    format!("{zone:?} already belongs to {:?}", other.name),
                                );
                            }
                        }
                    }
                }
                for required in ["capacity", "load"] {
                    if site_record.node(required).is_none() {
                        site_record.missing(required);
                    }
                }
                let site = Site {
                    name: name.to_string(),
                    zones,
                    capacity: site_record.number("capacity", 1.0, (1e-3, 1e9)),
                    load: site_record.number("load", 0.0, (0.0, 1e9)),
                    max_utilization: site_record.number("most", default_max_utilization, (0.05, 1.0)),
                    failover_targets: read_failover_targets(&site_record, name, &names),
                };
                sites.push(site);
                site_record.finish();
            }
        }
        if sites.is_empty() {
            top_record.missing("site");
        }
        top_record.finish();
        Some(SiteSettings { load_classes, sites })
    }

    /// Describes the settings in force, for `whinstall check`.
    pub fn describe(&self) -> String {
        let order: Vec<&str> = self.load_classes.iter().map(|class| class.name.as_str()).collect();
        format!(
            "{} site(s); load is refused in this order: {} (`whinstall plan` prints the effect of each loss)\n",
            self.sites.len(),
            order.join(", ")
        )
    }
}

/// Reads the record `to` of the site `name`; `names` are all sites of the file.
fn read_failover_targets(site_record: &Reader<'_>, name: &str, names: &[String]) -> Vec<FailoverTarget> {
    let mut targets = Vec::new();
    let Some(list) = site_record.record("to") else { return targets };
    for (to, target_record) in list.entries() {
        let (weight, priority) =
            (target_record.number("weight", 1.0, (0.0, 1e6)), target_record.integer("order", 1, (1, 100)));
        if let (Some(node), true) = (target_record.node("weight"), weight <= 0.0) {
            target_record.error(node, "weight", "must be above 0");
        }
        match names.iter().position(|known| known == to) {
            _ if to == name => target_record.refuse("a lost site cannot take its own load"),
            None => target_record.refuse("is not a site of this file"),
            Some(site) => targets.push(FailoverTarget { site, weight, priority }),
        }
        target_record.finish();
    }
    targets
}
