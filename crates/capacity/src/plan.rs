//! The measurement plan: which cases are measured, at which sizes.
//!
//! Sizes are chosen to use at most half of a machine with 31 GB of memory and 16 cores.

use super::arrays::serialize_as_array;
use super::cluster::Case;

/// Size of the configuration of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct RoutesAndTenants {
    /// Routes.
    pub routes: u32,
    /// Tenants.
    pub tenants: u32,
}

serialize_as_array!(RoutesAndTenants { routes, tenants });

/// A comparison of requests through one edge with direct ones.
pub struct Comparison {
    /// Size of the configuration.
    pub sizes: RoutesAndTenants,
    /// Requests a second of each tenant; 0: no limit.
    pub limit: u32,
    /// Requests a second; 0: as many as come back.
    pub rates: Vec<f64>,
    /// Rounds of each rate, each of both ways...
    pub rounds: usize,
    /// ...and the seconds of each way.
    pub seconds: f64,
    /// Time between two heartbeats: milliseconds.
    pub heartbeat_ms: u64,
}

impl Comparison {
    /// Its line of the list.
    fn name(&self) -> String {
        let limited = if self.limit > 0 { "limited" } else { "not limited" };
        format!("bench at {} routes, {} tenants, {limited}", self.sizes.routes, self.sizes.tenants)
    }
}

/// All measurements of a run.
pub struct Plan {
    /// Cases with many edges.
    pub cases: Vec<Case>,
    /// Fault recovery of core machines.
    pub fault_recovery: Vec<Case>,
    /// Comparisons of one edge with direct calls.
    pub comparisons: Vec<Comparison>,
}

/// The sizes of the operators' plan: edges today, grown, between, and in two years.
const EDGE_COUNTS: [usize; 4] = [11, 87, 300, 890];

fn case(group: &str, by: &str, size: f64) -> Case {
    Case {
        group: group.into(),
        by: by.into(),
        size,
        edges: 11,
        zones: 3,
        core: 3,
        workers: 34,
        services: 3,
        routes: 20,
        tenants: 8,
        keys: 1,
        rate: 1_000_000,
        requests_per_s: 0.0,
        exchanges_load_reports: true,
        changes_per_s: 0.0,
        replacements_per_s: 0.0,
        connects_per_call: false,
        heartbeat_ms: 1500,
        seconds: 10.0,
        warm_up_s: 2.0,
        edges_per_process: 40,
    }
}

fn cases_by_edges(group: &str, sizes: &[usize], more: impl Fn(Case) -> Case) -> Vec<Case> {
    let one = |g: &usize| {
        more(Case { edges: *g, zones: if *g > 20 { 10 } else { 3 }, ..case(group, "gatekeepers", *g as f64) })
    };
    sizes.iter().map(one).collect()
}

fn full() -> Vec<Case> {
    [edge_cases(), worker_cases(), configuration_cases(), core_cases()].concat()
}

/// The size is the number of edges.
fn edge_cases() -> Vec<Case> {
    let mut cases = cases_by_edges("idle", &EDGE_COUNTS, |c| c);
    cases.extend(cases_by_edges("changes", &EDGE_COUNTS, |c| Case { changes_per_s: 1.0, ..c }));
    cases.extend(cases_by_edges("replaced", &EDGE_COUNTS[..3], |c| Case {
        workers: 340,
        replacements_per_s: 5.0,
        ..c
    }));
    let asked = |c: Case| Case { requests_per_s: 20.0, workers: 10 * c.edges, rate: 0, ..c };
    cases.extend(cases_by_edges("requests, untold", &[11, 30, 87], |c| Case {
        exchanges_load_reports: false,
        ..asked(c)
    }));
    cases.extend(cases_by_edges("requests, told", &[11, 30, 87], asked));
    cases
}

/// The size is the number of workers.
fn worker_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for workers in [34, 450, 2000, 14_000] {
        cases.push(Case {
            workers,
            services: 310.min(workers),
            ..case("heartbeats", "workers", workers as f64)
        });
    }
    for workers in [340, 2000, 14_000] {
        let base = case("replaced, many workers", "workers", workers as f64);
        cases.push(Case { workers, services: 310.min(workers), replacements_per_s: 5.0, ..base });
    }
    for workers in [34, 450, 2000, 14_000] {
        let base = case("heartbeats, a connection each", "workers", workers as f64);
        cases.push(Case { workers, services: 310.min(workers), connects_per_call: true, ..base });
    }
    cases
}

/// Few edges that change slowly.
fn few_edges(case: Case) -> Case {
    Case { edges: 4, changes_per_s: 0.5, seconds: 20.0, ..case }
}

/// Everything of the operators' plan in two years, with few edges.
fn full_size() -> Case {
    Case {
        routes: 4600,
        tenants: 37_000,
        services: 310,
        workers: 14_000,
        edges_per_process: 1,
        ..case("whole", "gatekeepers", 4.0)
    }
}

/// The size is that of the configuration.
fn configuration_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for tenants in [20, 100, 400, 1600] {
        let charged = case("charges", "tenants", f64::from(tenants));
        cases.push(Case {
            tenants,
            requests_per_s: 135.0,
            workers: 340,
            exchanges_load_reports: false,
            ..charged
        });
    }
    for services in [3, 30, 100, 310] {
        let many = case("services", "services", services as f64);
        cases.push(Case { services, workers: 620, ..many });
    }
    for tenants in [100, 4000, 12_000, 37_000] {
        cases.push(few_edges(Case { tenants, ..case("tenants held", "tenants", f64::from(tenants)) }));
    }
    for keys in [1, 2, 4, 8] {
        let many = case("keys held", "keys of each of 4000 tenants", f64::from(keys));
        cases.push(few_edges(Case { tenants: 4000, keys, ..many }));
    }
    for routes in [20, 500, 1500, 4600] {
        cases.push(few_edges(Case {
            routes,
            services: 310,
            workers: 310,
            ..case("routes held", "routes", f64::from(routes))
        }));
    }
    cases.push(few_edges(full_size()));
    cases
}

/// The size is the number of core machines, or of edges that start at once.
fn core_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for core in [3, 5, 8] {
        let more = case("members", "core machines", core as f64);
        cases.push(Case { core, edges: 87, zones: 10, changes_per_s: 1.0, ..more });
    }
    // All edges start at once with the full configuration, up to the limits of memory.
    for edges in [4, 11, 30, 87] {
        let all = Case { edges, workers: 310, edges_per_process: 8, ..full_size() };
        cases.push(Case { group: "starts".into(), size: edges as f64, ..all });
    }
    cases
}

fn small() -> Vec<Case> {
    let small = |c: Case| Case { heartbeat_ms: 200, seconds: 1.5, warm_up_s: 0.5, ..c };
    let mut cases = cases_by_edges("idle", &[2, 6], small);
    let all = Case {
        tenants: 8,
        requests_per_s: 20.0,
        changes_per_s: 4.0,
        replacements_per_s: 4.0,
        ..case("all", "gatekeepers", 5.0)
    };
    cases.push(small(Case { edges: 5, workers: 12, ..all }));
    let held =
        Case { tenants: 200, keys: 2, routes: 60, core: 5, ..case("held by five", "gatekeepers", 3.0) };
    cases.push(small(Case { edges: 3, workers: 12, edges_per_process: 1, changes_per_s: 2.0, ..held }));
    cases
}

impl Plan {
    /// The full plan or the small form; with parts in `only`, restricted to what has one of them in its line of the list
    /// (`bench` for the comparisons).
    pub fn new(is_small: bool, only: &[String]) -> Self {
        let wanted = |name: &str| only.is_empty() || only.iter().any(|part| name.contains(part.as_str()));
        let is_case_selected = |c: &Case| wanted(&format!("{} at {} {}", c.group, c.size, c.by));
        let cases = if is_small { small() } else { full() };
        let one = |(routes, tenants), limit, rates: &[f64], rounds, seconds, heartbeat_ms| Comparison {
            sizes: RoutesAndTenants { routes, tenants },
            limit,
            rates: rates.to_vec(),
            rounds,
            seconds,
            heartbeat_ms,
        };
        let comparisons = match is_small {
            true => vec![one((20, 8), 1_000_000, &[200.0], 3, 1.0, 200)],
            false => vec![
                one((20, 8), 0, &[135.0, 1000.0], 5, 2.5, 1500),
                one((20, 8), 1_000_000, &[135.0, 500.0, 1000.0, 0.0], 5, 2.5, 1500),
                one((4600, 37_000), 1_000_000, &[135.0, 1000.0, 0.0], 5, 2.5, 1500),
            ],
        };
        let recovery_case =
            |tenants: u32, routes| Case { tenants, routes, ..case("losses", "tenants", f64::from(tenants)) };
        let fault_recovery = match is_small {
            true => vec![Case { edges: 4, core: 5, heartbeat_ms: 200, ..recovery_case(8, 20) }],
            false => {
                let sizes = [(100, 20), (4000, 500), (12_000, 1500), (37_000, 4600)];
                let mut cases: Vec<Case> = sizes.map(|(t, r)| recovery_case(t, r)).to_vec();
                cases.push(Case {
                    group: "losses of five".into(),
                    core: 5,
                    zones: 5,
                    ..recovery_case(37_000, 4600)
                });
                cases
            }
        };
        Plan {
            fault_recovery: fault_recovery.into_iter().filter(is_case_selected).collect(),
            cases: cases.into_iter().filter(is_case_selected).collect(),
            comparisons: comparisons.into_iter().filter(|c| wanted(&c.name())).collect(),
        }
    }

    /// Prints one line for each measurement.
    pub fn list(&self) {
        for c in self.cases.iter().chain(&self.fault_recovery) {
            println!("{} at {} {}", c.group, c.size, c.by);
        }
        for c in &self.comparisons {
            println!("{}: {:?} requests a second", c.name(), c.rates);
        }
    }
}
