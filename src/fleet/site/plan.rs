//! Effect of the loss of sites: where load moves, the utilization of each remaining site, and what is shed.
//!
//! Invariants:
//! - no load moves to a site beyond its maximum utilization;
//! - the load of all sites equals the load served after the loss plus the load shed;
//! - a class is shed only after all classes before it in the order are shed completely.

use super::settings::{Site, SiteSettings};
use std::fmt::Write;

/// Effect of the loss of some sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLoss {
    /// Indices of the lost sites.
    pub lost: Vec<usize>,
    /// Load that moves from each lost site (in the order of `lost`) to each site, in units per second.
    pub moved: Vec<Vec<f64>>,
    /// Load served at each site after the loss, in units per second; 0 at the lost sites.
    pub load_after: Vec<f64>,
    /// Load shed of each class in the order of load shedding, in units per second.
    pub shed: Vec<f64>,
    /// Load shed of each class as a fraction of the load offered to the affected sites.
    pub shed_fraction: Vec<f64>,
}

/// Effects of the loss of each single site and of each pair.
#[derive(Clone, Debug, PartialEq)]
pub struct LossPlan<'a> {
    settings: &'a SiteSettings,
    /// The loss of each site, followed by the loss of each pair.
    pub losses: Vec<SiteLoss>,
}

/// Load below this, in units per second, counts as none: a rounding error.
const MIN_LOAD: f64 = 1e-9;
/// Load below this, in units per second, is not reported.
const MIN_REPORTED_LOAD: f64 = 1e-6;

/// Load that a site with this load can take in addition, in units per second.
fn headroom(site: &Site, load: f64) -> f64 {
    (site.max_utilization * site.capacity - load).max(0.0)
}

/// Distributes `load` over the targets (index, weight) in proportion to their weights, each up to its headroom.
/// Updates `headrooms` and the load `moved` to each site; returns the load for which no target has headroom.
fn distribute(mut load: f64, targets: &[(usize, f64)], headrooms: &mut [f64], moved: &mut [f64]) -> f64 {
    let mut open: Vec<(usize, f64)> =
        targets.iter().filter(|target| headrooms[target.0] > MIN_LOAD).copied().collect();
    while load > MIN_LOAD && !open.is_empty() {
        let weight_sum: f64 = open.iter().map(|target| target.1).sum();
        // Distributes as much as fits until the first target is full.
        let step =
            open.iter().map(|(site, weight)| headrooms[*site] * weight_sum / weight).fold(load, f64::min);
        for (site, weight) in &open {
            let share = (step * weight / weight_sum).min(headrooms[*site]);
            (headrooms[*site], moved[*site]) = (headrooms[*site] - share, moved[*site] + share);
        }
        load -= step;
        open.retain(|target| headrooms[target.0] > MIN_LOAD);
    }
    load.max(0.0)
}

impl SiteSettings {
    /// The effect of the loss of the sites with these indices.
    pub fn plan_loss(&self, lost: &[usize]) -> SiteLoss {
        let count = self.sites.len();
        let is_lost = |site: usize| lost.contains(&site);
        let own_load = |site: usize| if is_lost(site) { 0.0 } else { self.sites[site].load };
        let mut headrooms: Vec<f64> = (0..count)
            .map(|site| if is_lost(site) { 0.0 } else { headroom(&self.sites[site], own_load(site)) })
            .collect();
        let mut moved = vec![vec![0.0; count]; lost.len()];
        let mut unplaced = Vec::new();
        for (nth, lost_site) in lost.iter().enumerate() {
            let site = &self.sites[*lost_site];
            let mut load = site.load;
            let mut priorities: Vec<u32> =
                site.failover_targets.iter().map(|target| target.priority).collect();
            priorities.sort_unstable();
            priorities.dedup();
            for priority in priorities {
                let targets = site.failover_targets.iter().filter(|target| {
                    target.priority == priority && target.weight > 0.0 && !is_lost(target.site)
                });
                let targets: Vec<(usize, f64)> = targets.map(|target| (target.site, target.weight)).collect();
                load = distribute(load, &targets, &mut headrooms, &mut moved[nth]);
            }
            unplaced.push(load);
        }
        // Own load of a remaining site beyond its maximum utilization is shed there, whatever is lost.
        let excess = |site: usize| {
            (own_load(site) - self.sites[site].max_utilization * self.sites[site].capacity).max(0.0)
        };
        // Load is shed at the affected sites: remaining sites beyond their maximum utilization, and lost sites with
        // unplaced load together with all their targets, which are full.
        let mut is_affected = vec![false; count];
        for site in (0..count).filter(|site| !is_lost(*site) && excess(*site) > MIN_LOAD) {
            is_affected[site] = true;
        }
        for (lost_site, _) in lost.iter().zip(&unplaced).filter(|(_, unplaced)| **unplaced > MIN_LOAD) {
            is_affected[*lost_site] = true;
            self.sites[*lost_site]
                .failover_targets
                .iter()
                .filter(|target| !is_lost(target.site))
                .for_each(|target| is_affected[target.site] = true);
        }
        // The load offered to the affected sites includes the load that moved to them.
        let from_lost: f64 = (0..lost.len())
            .map(|nth| {
                (0..count).filter(|site| is_affected[*site]).map(|site| moved[nth][site]).sum::<f64>()
                    + unplaced[nth]
            })
            .sum();
        let offered: f64 =
            (0..count).filter(|site| is_affected[*site]).map(own_load).sum::<f64>() + from_lost;
        let mut to_shed: f64 = unplaced.iter().sum::<f64>() + (0..count).map(excess).sum::<f64>();
        let mut shed = Vec::new();
        for class in &self.load_classes {
            let shed_of_class = (class.load_fraction * offered).min(to_shed);
            to_shed -= shed_of_class;
            shed.push(shed_of_class);
        }
        let load_after = (0..count).map(|site| {
            let moved_in: f64 = moved.iter().map(|moved| moved[site]).sum();
            own_load(site) - excess(site) + moved_in
        });
        let load_after = load_after.collect();
        let fraction = |shed: &f64| if offered > MIN_LOAD { shed / offered } else { 0.0 };
        let shed_fraction = shed.iter().map(fraction).collect();
        SiteLoss { lost: lost.to_vec(), moved, load_after, shed, shed_fraction }
    }

    /// The effects of the loss of each site, and of each pair.
    pub fn plan_all_losses(&self) -> LossPlan<'_> {
        let count = self.sites.len();
        let pairs = (0..count).flat_map(|a| (a + 1..count).map(move |b| vec![a, b]));
        let combinations = (0..count).map(|site| vec![site]).chain(pairs);
        LossPlan { settings: self, losses: combinations.map(|lost| self.plan_loss(&lost)).collect() }
    }

    /// Names of the classes that must be served and are shed.
    pub fn shed_but_required(&self, loss: &SiteLoss) -> Vec<&str> {
        let shed = self
            .load_classes
            .iter()
            .zip(&loss.shed)
            .filter(|(class, shed)| class.must_serve && **shed > MIN_REPORTED_LOAD);
        shed.map(|(class, _)| class.name.as_str()).collect()
    }
}

impl LossPlan<'_> {
    /// Whether no loss sheds a class that must be served.
    pub fn is_feasible(&self) -> bool {
        self.losses.iter().all(|loss| self.settings.shed_but_required(loss).is_empty())
    }

    /// Describes the plan for operators, for `whinstall plan`.
    pub fn describe(&self) -> String {
        let (settings, mut out) = (self.settings, String::new());
        for loss in &self.losses {
            let names: Vec<&str> = loss.lost.iter().map(|site| settings.sites[*site].name.as_str()).collect();
            let _ = writeln!(out, "{} lost:", names.join(" and "));
            for (index, site) in
                settings.sites.iter().enumerate().filter(|(index, _)| !loss.lost.contains(index))
            {
                let (before, after) = (site.load / site.capacity, loss.load_after[index] / site.capacity);
                let sources: Vec<String> = loss
                    .lost
                    .iter()
                    .zip(&loss.moved)
                    .filter(|(_, moved)| moved[index] > MIN_REPORTED_LOAD)
                    .map(|(lost, moved)| format!("{:.1} from {}", moved[index], settings.sites[*lost].name))
                    .collect();
                let sources = if sources.is_empty() { "receives no load".into() } else { sources.join(", ") };
                let _ = writeln!(
                    out,
                    "  {:<16} use {:>3.0}% -> {:>3.0}% of at most {:.0}%; {sources}",
                    site.name,
                    100.0 * before,
                    100.0 * after,
                    100.0 * site.max_utilization
                );
            }
            let total_shed: f64 = loss.shed.iter().sum();
            if total_shed <= MIN_REPORTED_LOAD {
                let _ = writeln!(out, "  nothing is refused");
            }
            for (n, class) in
                settings.load_classes.iter().enumerate().filter(|(n, _)| loss.shed[*n] > MIN_REPORTED_LOAD)
            {
                let percent_of_class = 100.0 * loss.shed_fraction[n] / class.load_fraction.max(1e-12);
                let violation = if class.must_serve { ": MUST NOT BE" } else { "" };
                let _ = writeln!(
                    out,
                    "  {:<24} {:>7.1}/s refused, {percent_of_class:.0}% of it{violation}",
                    class.name, loss.shed[n]
                );
            }
        }
        let infeasible =
            self.losses.iter().filter(|loss| !settings.shed_but_required(loss).is_empty()).count();
        let _ = match infeasible {
            0 => writeln!(out, "all {} losses can be carried", self.losses.len()),
            n => writeln!(out, "{n} of {} losses cannot be carried by this order", self.losses.len()),
        };
        out
    }
}
