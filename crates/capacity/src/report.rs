//! Output of the results: all figures as JSON, a Markdown summary, and plots. Failed measurements are listed too.

use super::bench::{EdgeComparison, Spread};
use super::cluster::{Case, CoreUsage, Measurement, MessageRate};
use super::fault_recovery::{FaultImpact, FaultRecovery};
use super::files::DatabaseUsage;
use super::fit::Fit;
use super::machine::MachineLoad;
use super::{plot, CapacityError};
use serde_json::json;
use std::collections::BTreeSet;
use std::path::Path;

/// The results of a run.
#[derive(Default)]
pub struct Results {
    /// Measurements.
    pub measured: Vec<Measurement>,
    /// Cases that failed, with the error.
    pub failed: Vec<(Case, String)>,
    /// Fault recovery of core machines.
    pub lost: Vec<FaultRecovery>,
    /// Comparisons of one edge with direct calls.
    pub compared: Vec<EdgeComparison>,
    /// Errors of failed comparisons.
    pub uncompared: Vec<String>,
}

/// A metric of a measurement.
struct Metric {
    name: &'static str,
    unit: &'static str,
    /// `None` where it was not measured.
    value: fn(&Measurement) -> Option<f64>,
}

const fn metric(name: &'static str, unit: &'static str, value: fn(&Measurement) -> Option<f64>) -> Metric {
    Metric { name, unit, value }
}

fn leader(m: &Measurement) -> Option<&CoreUsage> {
    m.core.iter().find(|c| c.is_leader)
}

fn others(m: &Measurement, value: impl Fn(&CoreUsage) -> f64) -> Option<f64> {
    m.core.iter().filter(|c| !c.is_leader).map(value).max_by(f64::total_cmp)
}

fn positive(value: f64) -> Option<f64> {
    (value > 0.0).then_some(value)
}

const METRICS: [Metric; 21] = [
    metric("gatekeeper processor", "cores", |m| positive(m.edge.cpu)),
    metric("gatekeeper memory", "bytes", |m| positive(m.edge.memory.at_end)),
    metric("gatekeeper memory, most", "bytes", |m| positive(m.edge.memory.peak)),
    metric("gatekeeper messages", "messages/s", |m| positive(m.edge.messages)),
    metric("gatekeeper bytes", "bytes/s", |m| positive(m.edge.bytes)),
    metric("leader processor", "cores", |m| leader(m).map(|c| c.cpu)),
    metric("follower processor", "cores", |m| others(m, |c| c.cpu)),
    metric("leader memory", "bytes", |m| leader(m).map(|c| c.memory.peak as f64)),
    metric("follower memory", "bytes", |m| others(m, |c| c.memory.peak as f64)),
    metric("core disk", "bytes", |m| m.core.iter().map(|c| c.disk as f64).max_by(f64::total_cmp)),
    metric("core log", "bytes", |m| leader(m)?.parts.map(|p| p.log.bytes as f64)),
    metric("core snapshot", "bytes", |m| leader(m)?.parts.map(|p| p.snapshot as f64)),
    metric("core list of workers", "bytes", |m| leader(m)?.parts.map(|p| p.workers.bytes as f64)),
    metric("all gatekeepers ready", "s", |m| positive(m.ready_s)),
    metric("core written", "bytes/s", |m| m.core.iter().map(|c| c.written_per_s).max_by(f64::total_cmp)),
    metric("core descriptors", "descriptors", |m| {
        m.core.iter().map(|c| c.descriptors as f64).max_by(f64::total_cmp)
    }),
    metric("core to core", "bytes/s", |m| m.core.iter().map(|c| c.peers_per_s).sum()),
    metric("call acknowledged", "ms", |m| positive(m.ack_ms.median)),
    metric("change in force everywhere", "ms", |m| positive(m.in_force_ms.median)),
    metric("heartbeat, 99th percentile", "ms", |m| positive(m.workers.ms.1)),
    metric("first configuration acknowledged", "s", |m| positive(m.first.acknowledged_s)),
];

impl Results {
    /// Every metric of every group that was measured at two sizes or more.
    fn fits(&self) -> Vec<(&'static str, Fit)> {
        let groups: BTreeSet<&str> = self.measured.iter().map(|m| m.case.group.as_str()).collect();
        let mut fits = Vec::new();
        for group in groups {
            let of: Vec<&Measurement> = self.measured.iter().filter(|m| m.case.group == group).collect();
            for Metric { name, unit, value } in METRICS {
                let points = of.iter().filter_map(|m| Some((m.case.size, value(m)?)));
                let points: Vec<(f64, f64)> = points.filter(|p| p.1.is_finite()).collect();
                if points.len() >= 2 {
                    fits.push((name, Fit::new(group, unit, &of[0].case.by, points)));
                }
            }
        }
        fits
    }

    /// Writes `capacity.json` and `capacity.md`.
    pub fn write(&self, out: &Path) -> Result<(), CapacityError> {
        let fits = self.fits();
        let fits_json: Vec<_> =
            fits.iter().map(|(metric, fit)| json!({ "metric": metric, "fit": fit })).collect();
        let failed: Vec<_> = self.failed.iter().map(|(c, e)| json!({ "cell": c, "error": e })).collect();
        let all = json!({
            "program": env!("CARGO_PKG_VERSION"),
            "measured": self.measured,
            "failed": failed,
            "lost": self.lost,
            "compared": self.compared,
            "uncompared": self.uncompared,
            "fits": fits_json,
        });
        let text = serde_json::to_string_pretty(&all).unwrap_or_default();
        for (name, text) in [("capacity.json", text), ("capacity.md", self.summary(&fits))] {
            let path = out.join(name);
            std::fs::write(&path, text).map_err(CapacityError::file(&path))?;
        }
        Ok(())
    }

    /// Draws each metric, by what its sizes count.
    pub fn draw(&self, out: &Path) -> Result<(), CapacityError> {
        let fits = self.fits();
        let kinds: BTreeSet<(&str, String)> = fits.iter().map(|(m, f)| (*m, f.by.clone())).collect();
        for (metric, by) in kinds {
            let of: Vec<&Fit> =
                fits.iter().filter(|(m, f)| *m == metric && f.by == by).map(|f| &f.1).collect();
            let file = format!("{metric} by {by}").replace([' ', ','], "-").replace("--", "-");
            plot::draw(&out.join(format!("{file}.svg")), &format!("{metric}, by {by}"), &by, &of)?;
        }
        Ok(())
    }

    fn summary(&self, fits: &[(&'static str, Fit)]) -> String {
        let mut text = String::from("# Figures of `whinstall-capacity`\n");
        let titles = "group;size;ready s;gate mcores;gate MB (most);gate msg/s;gate B/s;leader cores;follower cores;leader MB;\
                      disk KB;core to core B/s;descriptors;ack ms;in force;in force ms;beats/s;beats failed;log KB;snapshot KB;workers KB;waited;busy;load;faults";
        table(&mut text, "Measured", titles, self.measured.iter().map(measurement_row));
        for (case, error) in &self.failed {
            text += &format!("\nNot measured: {} at {} {}: {error}\n", case.group, case.size, case.by);
        }
        let kinds = self.measured.iter().flat_map(|m| {
            let row = |(kind, rate): (&String, &MessageRate)| {
                let MessageRate { messages, bytes } = rate;
                let size = m.case.size.to_string();
                vec![
                    m.case.group.clone(),
                    size,
                    kind.clone(),
                    format!("{messages:.2}"),
                    format!("{bytes:.1}"),
                ]
            };
            m.edge.kinds.iter().map(row)
        });
        let titles = "group;size;kind;a second;bytes a second";
        table(&mut text, "Kinds of messages, for each gatekeeper", titles, kinds);
        let titles = "metric;unit;group;by;line;error;power;error";
        table(&mut text, "Fits", titles, fits.iter().map(|(metric, fit)| fit_row(metric, fit)));
        let titles =
            "tenants;routes;machines;acknowledged;in force everywhere;no holder;back with its disk;handed over: acknowledged;\
                      in force;no holder;two killed: acknowledged;in force;no holder;refilled;disk KB;busy;load";
        table(
            &mut text,
            "Losses of core machines, seconds",
            titles,
            self.lost.iter().map(fault_recovery_row),
        );
        let titles =
            "routes;tenants;limit;rate;served/s;failed;bare p50 ms;bare p99;through p50;through p99;added p50;\
                      added p99;ratio p50;ratio p99;idle mcores;cores;waited for;ms a request;MB;descriptors;busy;load";
        table(&mut text, "One gatekeeper against none", titles, self.compared.iter().map(comparison_row));
        for error in &self.uncompared {
            text += &format!("\nNot compared: {error}\n");
        }
        text
    }
}

/// A table in Markdown; its titles are parted by semicolons.
fn table(text: &mut String, name: &str, titles: &str, rows: impl Iterator<Item = Vec<String>>) {
    let titles: Vec<&str> = titles.split(';').map(str::trim).collect();
    *text += &format!("\n## {name}\n\n| {} |\n|{}\n", titles.join(" | "), " --- |".repeat(titles.len()));
    for row in rows {
        *text += &format!("| {} |\n", row.join(" | "));
    }
}

fn measurement_row(m: &Measurement) -> Vec<String> {
    let metric = |name: &str, by: f64, digits: usize| {
        let found = METRICS.iter().find(|x| x.name == name).and_then(|x| (x.value)(m));
        found.map_or("-".into(), |value| format!("{:.digits$}", value / by))
    };
    let parts = leader(m).and_then(|c| c.parts);
    let part = |value: fn(&DatabaseUsage) -> u64| {
        parts.map_or("-".into(), |p| format!("{:.1}", value(&p) as f64 / 1e3))
    };
    let waited = m.core.iter().map(|c| c.waited).fold(0.0, f64::max);
    let [cores, load] = busy(&m.machine);
    vec![
        m.case.group.clone(),
        format!("{} {}", m.case.size, m.case.by),
        format!("{:.1}", m.ready_s),
        format!("{:.2}", m.edge.cpu * 1e3),
        format!("{:.2} ({:.2})", m.edge.memory.at_end / 1e6, m.edge.memory.peak / 1e6),
        format!("{:.1}", m.edge.messages),
        format!("{:.0}", m.edge.bytes),
        metric("leader processor", 1.0, 4),
        metric("follower processor", 1.0, 4),
        metric("leader memory", 1e6, 1),
        metric("core disk", 1e3, 0),
        metric("core to core", 1.0, 0),
        metric("core descriptors", 1.0, 0),
        metric("call acknowledged", 1.0, 1),
        format!("{} of {}", m.changes.in_force, m.changes.sent),
        metric("change in force everywhere", 1.0, 1),
        format!("{:.0}", m.workers.taken as f64 / m.workers.seconds.max(1e-3)),
        m.workers.failed.to_string(),
        part(|p| p.log.bytes),
        part(|p| p.snapshot),
        part(|p| p.workers.bytes),
        format!("{waited:.3}"),
        cores,
        load,
        m.faults.join("; "),
    ]
}

fn fit_row(metric: &str, fit: &Fit) -> Vec<String> {
    let line = fit.line.map(|l| (format!("{:.4e} + {:.4e} x", l.base, l.slope), format!("{:.2}", l.error)));
    let power =
        fit.power.map(|p| (format!("{:.4e} x^{:.2}", p.factor, p.exponent), format!("{:.2}", p.error)));
    let (line, power) = (line.unwrap_or_default(), power.unwrap_or_default());
    let (unit, cause, by) = (fit.unit.clone(), fit.cause.clone(), fit.by.clone());
    vec![metric.into(), unit, cause, by, line.0, line.1, power.0, power.1]
}

fn fault_recovery_row(l: &FaultRecovery) -> Vec<String> {
    let time = |t: Option<f64>| t.map_or("not in 30".into(), |t| format!("{t:.2}"));
    let loss = |l: &FaultImpact| [time(l.acknowledged_s), time(l.in_force_s), time(Some(l.uncounted_s))];
    let two = l.two_killed.as_ref().map_or(["-", "-", "-"].map(Into::into), loss);
    let sizes = [l.case.tenants.to_string(), l.case.routes.to_string(), l.case.core.to_string()];
    let mut row: Vec<String> = sizes.into_iter().chain(loss(&l.killed)).collect();
    row.push(time(l.back_s));
    row.extend(loss(&l.handed_over).into_iter().chain(two));
    row.extend([time(l.refilled_s), (l.disk / 1000).to_string()]);
    row.extend(busy(&l.machine));
    row
}

/// Cores that the machine used, and its load.
fn busy(machine: &MachineLoad) -> [String; 2] {
    [format!("{:.1}", machine.busy), format!("{:.1}", machine.load)]
}

fn comparison_row(c: &EdgeComparison) -> Vec<String> {
    let ms = |s: &Spread| format!("{:.3} ({:.3} to {:.3})", s.median, s.least, s.most);
    let added = &c.added;
    let mut row = vec![
        c.sizes.routes.to_string(),
        c.sizes.tenants.to_string(),
        if c.limit > 0 { "yes".into() } else { "no".into() },
        c.rate.to_string(),
        format!("{:.0}", c.served.per_s),
        c.served.failed.to_string(),
        ms(&added.bare_ms.p50),
        ms(&added.bare_ms.p99),
        ms(&added.through_ms.p50),
        ms(&added.through_ms.p99),
        ms(&added.added_ms.p50),
        ms(&added.added_ms.p99),
        ms(&added.ratio.p50),
        ms(&added.ratio.p99),
        format!("{:.2}", c.idle_cpu * 1e3),
        format!("{:.3}", c.cpu),
        format!("{:.3}", c.waited),
        format!("{:.4}", c.cpu_ms),
        format!("{:.1}", c.memory as f64 / 1e6),
        c.descriptors.to_string(),
    ];
    row.extend(busy(&c.machine));
    row
}
