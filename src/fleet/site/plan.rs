//! What follows from the settings when sites are lost: where load goes, the use of each survivor, and what is refused.
//! It must never load a survivor beyond its bound, lose a unit of load unaccounted for, or refuse a kind before all
//! that come before it in the order.

use super::settings::{Site, SiteSettings};
use std::fmt::Write;

/// What one loss leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLoss {
    /// The sites that are lost, by index.
    pub lost: Vec<usize>,
    /// Units a second from each lost site (in the order of `lost`) to each site.
    pub moved: Vec<Vec<f64>>,
    /// Units a second at each site after it, refused ones left out; nought at the lost.
    pub load_after: Vec<f64>,
    /// Units a second refused, by kind in the order of refusal.
    pub shed: Vec<f64>,
    /// The same as parts of what is asked of the sites in question.
    pub shed_fraction: Vec<f64>,
}

/// All losses of one site and of two.
#[derive(Clone, Debug, PartialEq)]
pub struct LossPlan<'a> {
    settings: &'a SiteSettings,
    /// One after the other: each site, then each pair.
    pub losses: Vec<SiteLoss>,
}

/// Less than this is no load, in units a second.
const NOTHING: f64 = 1e-9;

fn room(site: &Site, taken: f64) -> f64 {
    (site.max_utilization * site.capacity - taken).max(0.0)
}

/// Spreads `load` over those places by weight, each up to its room; returns what is left.
fn pour(mut load: f64, places: &[(usize, f64)], rooms: &mut [f64], given: &mut [f64]) -> f64 {
    let mut open: Vec<(usize, f64)> = places.iter().filter(|p| rooms[p.0] > NOTHING).copied().collect();
    while load > NOTHING && !open.is_empty() {
        let weights: f64 = open.iter().map(|place| place.1).sum();
        // As far as the one that is full first lets all of them go.
        let step = open.iter().map(|(at, weight)| rooms[*at] * weights / weight).fold(load, f64::min);
        for (at, weight) in &open {
            let part = (step * weight / weights).min(rooms[*at]);
            (rooms[*at], given[*at]) = (rooms[*at] - part, given[*at] + part);
        }
        load -= step;
        open.retain(|place| rooms[place.0] > NOTHING);
    }
    load.max(0.0)
}

impl SiteSettings {
    /// What the loss of these sites, by index, leads to.
    pub fn plan_loss(&self, lost: &[usize]) -> SiteLoss {
        let count = self.sites.len();
        let is_lost = |at: usize| lost.contains(&at);
        // What a survivor itself is asked for beyond its bound is refused there, whatever is lost.
        let own = |at: usize| if is_lost(at) { 0.0 } else { self.sites[at].load };
        let mut rooms: Vec<f64> =
            (0..count).map(|at| if is_lost(at) { 0.0 } else { room(&self.sites[at], own(at)) }).collect();
        let mut moved = vec![vec![0.0; count]; lost.len()];
        let mut left = Vec::new();
        for (nth, at) in lost.iter().enumerate() {
            let site = &self.sites[*at];
            let (mut load, mut orders) =
                (site.load, site.failover_targets.iter().map(|way| way.priority).collect::<Vec<_>>());
            orders.sort_unstable();
            orders.dedup();
            for order in orders {
                let places = site
                    .failover_targets
                    .iter()
                    .filter(|way| way.priority == order && way.weight > 0.0 && !is_lost(way.site));
                let places: Vec<(usize, f64)> = places.map(|way| (way.site, way.weight)).collect();
                load = pour(load, &places, &mut rooms, &mut moved[nth]);
            }
            left.push(load);
        }
        let over = |at: usize| (own(at) - self.sites[at].max_utilization * self.sites[at].capacity).max(0.0);
        // In question is each site that is over its bound, and each lost one whose load has no place, with all that it
        // could go to: these are full.
        let mut asked = vec![false; count];
        for at in (0..count).filter(|at| !is_lost(*at) && over(*at) > NOTHING) {
            asked[at] = true;
        }
        for (at, _) in lost.iter().zip(&left).filter(|(_, left)| **left > NOTHING) {
            asked[*at] = true;
            self.sites[*at]
                .failover_targets
                .iter()
                .filter(|way| !is_lost(way.site))
                .for_each(|way| asked[way.site] = true);
        }
        // Load of lost sites that found a place at a site in question is asked of it, too.
        let strangers: f64 = (0..lost.len())
            .map(|nth| (0..count).filter(|at| asked[*at]).map(|at| moved[nth][at]).sum::<f64>() + left[nth])
            .sum();
        let offered: f64 = (0..count).filter(|at| asked[*at]).map(own).sum::<f64>() + strangers;
        let mut to_refuse: f64 = left.iter().sum::<f64>() + (0..count).map(over).sum::<f64>();
        let mut refused = Vec::new();
        for kind in &self.load_classes {
            let one = (kind.load_fraction * offered).min(to_refuse);
            to_refuse -= one;
            refused.push(one);
        }
        let taken = (0..count).map(|at| {
            let strangers: f64 = moved.iter().map(|moved| moved[at]).sum();
            own(at) - over(at) + strangers
        });
        let taken = taken.collect();
        let part = |refused: &f64| if offered > NOTHING { refused / offered } else { 0.0 };
        let refused_part = refused.iter().map(part).collect();
        SiteLoss { lost: lost.to_vec(), moved, load_after: taken, shed: refused, shed_fraction: refused_part }
    }

    /// What the loss of each site, and of each pair, leads to.
    pub fn plan_all_losses(&self) -> LossPlan<'_> {
        let count = self.sites.len();
        let pairs = (0..count).flat_map(|a| (a + 1..count).map(move |b| vec![a, b]));
        let all = (0..count).map(|at| vec![at]).chain(pairs);
        LossPlan { settings: self, losses: all.map(|lost| self.plan_loss(&lost)).collect() }
    }

    /// Kinds that must not be refused, and are.
    pub fn shed_but_required(&self, planned: &SiteLoss) -> Vec<&str> {
        let refused = self
            .load_classes
            .iter()
            .zip(&planned.shed)
            .filter(|(kind, refused)| kind.must_serve && **refused > 1e-6);
        refused.map(|(kind, _)| kind.name.as_str()).collect()
    }
}

impl LossPlan<'_> {
    /// Can each loss be carried by the order given?
    pub fn is_feasible(&self) -> bool {
        self.losses.iter().all(|loss| self.settings.shed_but_required(loss).is_empty())
    }

    /// For people.
    pub fn describe(&self) -> String {
        let (s, mut out) = (self.settings, String::new());
        for loss in &self.losses {
            let names: Vec<&str> = loss.lost.iter().map(|at| s.sites[*at].name.as_str()).collect();
            let _ = writeln!(out, "{} lost:", names.join(" and "));
            for (at, site) in s.sites.iter().enumerate().filter(|(at, _)| !loss.lost.contains(at)) {
                let (before, after) = (site.load / site.capacity, loss.load_after[at] / site.capacity);
                let from: Vec<String> = loss
                    .lost
                    .iter()
                    .zip(&loss.moved)
                    .filter(|(_, moved)| moved[at] > 1e-6)
                    .map(|(lost, moved)| format!("{:.1} from {}", moved[at], s.sites[*lost].name))
                    .collect();
                let from = if from.is_empty() { "nothing comes".into() } else { from.join(", ") };
                let _ = writeln!(
                    out,
                    "  {:<16} use {:>3.0}% -> {:>3.0}% of at most {:.0}%; {from}",
                    site.name,
                    100.0 * before,
                    100.0 * after,
                    100.0 * site.max_utilization
                );
            }
            let all: f64 = loss.shed.iter().sum();
            if all <= 1e-6 {
                let _ = writeln!(out, "  nothing is refused");
            }
            for (n, kind) in s.load_classes.iter().enumerate().filter(|(n, _)| loss.shed[*n] > 1e-6) {
                let of = 100.0 * loss.shed_fraction[n] / kind.load_fraction.max(1e-12);
                let broken = if kind.must_serve { ": MUST NOT BE" } else { "" };
                let _ = writeln!(
                    out,
                    "  {:<24} {:>7.1}/s refused, {of:.0}% of it{broken}",
                    kind.name, loss.shed[n]
                );
            }
        }
        let broken = self.losses.iter().filter(|loss| !s.shed_but_required(loss).is_empty()).count();
        let _ = match broken {
            0 => writeln!(out, "all {} losses can be carried", self.losses.len()),
            n => writeln!(out, "{n} of {} losses cannot be carried by this order", self.losses.len()),
        };
        out
    }
}
