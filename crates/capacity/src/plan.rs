//! Owns what is measured, at which sizes. It must never ask for more than half of a machine of 31 GB and 16 cores.

use super::cluster::Cell;

/// A comparison of one gatekeeper with none.
pub struct Comparison {
    /// Routes, tenants.
    pub sizes: (u32, u32),
    /// Requests a second of each tenant; 0: no limit.
    pub limit: u32,
    /// Requests a second; 0: as many as come back.
    pub rates: Vec<f64>,
    /// For each: so many rounds of the two ways...
    pub rounds: usize,
    /// ...of so many seconds.
    pub seconds: f64,
    /// Time between two heartbeats: milliseconds.
    pub beat_ms: u64,
}

impl Comparison {
    /// What it is called.
    fn name(&self) -> String {
        let limited = if self.limit > 0 { "limited" } else { "not limited" };
        format!("bench at {} routes, {} tenants, {limited}", self.sizes.0, self.sizes.1)
    }
}

/// All that is measured.
pub struct Plan {
    /// Of many gatekeepers.
    pub cells: Vec<Cell>,
    /// With the loss of core machines.
    pub losses: Vec<Cell>,
    /// Of one.
    pub comparisons: Vec<Comparison>,
}

/// The sizes of the operators' plan: gatekeepers today, grown, between, and in two years.
const GATES: [usize; 4] = [11, 87, 300, 890];

fn cell(group: &str, by: &str, size: f64) -> Cell {
    Cell {
        group: group.into(),
        by: by.into(),
        size,
        gates: 11,
        zones: 3,
        core: 3,
        workers: 34,
        services: 3,
        routes: 20,
        tenants: 8,
        keys: 1,
        rate: 1_000_000,
        requests_per_s: 0.0,
        tell: true,
        changes_per_s: 0.0,
        replaced_per_s: 0.0,
        fresh: false,
        beat_ms: 1500,
        seconds: 10.0,
        warm_s: 2.0,
        together: 40,
    }
}

fn by_gates(group: &str, sizes: &[usize], more: impl Fn(Cell) -> Cell) -> Vec<Cell> {
    let one = |g: &usize| {
        more(Cell { gates: *g, zones: if *g > 20 { 10 } else { 3 }, ..cell(group, "gatekeepers", *g as f64) })
    };
    sizes.iter().map(one).collect()
}

fn full() -> Vec<Cell> {
    let mut cells = by_gates("idle", &GATES, |c| c);
    cells.extend(by_gates("changes", &GATES, |c| Cell { changes_per_s: 1.0, ..c }));
    cells.extend(by_gates("replaced", &GATES[..3], |c| Cell { workers: 340, replaced_per_s: 5.0, ..c }));
    let asked = |c: Cell| Cell { requests_per_s: 20.0, workers: 10 * c.gates, rate: 0, ..c };
    cells.extend(by_gates("requests, untold", &[11, 30, 87], |c| Cell { tell: false, ..asked(c) }));
    cells.extend(by_gates("requests, told", &[11, 30, 87], asked));
    for workers in [34, 450, 2000, 14_000] {
        cells.push(Cell {
            workers,
            services: 310.min(workers),
            ..cell("heartbeats", "workers", workers as f64)
        });
    }
    for workers in [340, 2000, 14_000] {
        let news = cell("replaced, many workers", "workers", workers as f64);
        cells.push(Cell { workers, services: 310.min(workers), replaced_per_s: 5.0, ..news });
    }
    for workers in [34, 450, 2000, 14_000] {
        let fresh = cell("heartbeats, a connection each", "workers", workers as f64);
        cells.push(Cell { workers, services: 310.min(workers), fresh: true, ..fresh });
    }
    for tenants in [20, 100, 400, 1600] {
        let charged = cell("charges", "tenants", f64::from(tenants));
        cells.push(Cell { tenants, requests_per_s: 135.0, workers: 340, tell: false, ..charged });
    }
    for services in [3, 30, 100, 310] {
        let many = cell("services", "services", services as f64);
        cells.push(Cell { services, workers: 620, ..many });
    }
    let few = |c: Cell| Cell { gates: 4, changes_per_s: 0.5, seconds: 20.0, ..c };
    for tenants in [100, 4000, 12_000, 37_000] {
        cells.push(few(Cell { tenants, ..cell("tenants held", "tenants", f64::from(tenants)) }));
    }
    for keys in [1, 2, 4, 8] {
        let many = cell("keys held", "keys of each of 4000 tenants", f64::from(keys));
        cells.push(few(Cell { tenants: 4000, keys, ..many }));
    }
    for routes in [20, 500, 1500, 4600] {
        cells.push(few(Cell {
            routes,
            services: 310,
            workers: 310,
            ..cell("routes held", "routes", f64::from(routes))
        }));
    }
    let whole = Cell {
        routes: 4600,
        tenants: 37_000,
        services: 310,
        workers: 14_000,
        together: 1,
        ..cell("whole", "gatekeepers", 4.0)
    };
    cells.push(few(whole.clone()));
    for core in [3, 5, 8] {
        let more = cell("members", "core machines", core as f64);
        cells.push(Cell { core, gates: 87, zones: 10, changes_per_s: 1.0, ..more });
    }
    // A start of all with the whole configuration, as far as memory reaches: few in a process, as they share a core.
    for gates in [4, 11, 30, 87] {
        let all = Cell { gates, workers: 310, together: 8, ..whole.clone() };
        cells.push(Cell { group: "starts".into(), size: gates as f64, ..all });
    }
    cells
}

fn small() -> Vec<Cell> {
    let small = |c: Cell| Cell { beat_ms: 200, seconds: 1.5, warm_s: 0.5, ..c };
    let mut cells = by_gates("idle", &[2, 6], small);
    let all = Cell {
        tenants: 8,
        requests_per_s: 20.0,
        changes_per_s: 4.0,
        replaced_per_s: 4.0,
        ..cell("all", "gatekeepers", 5.0)
    };
    cells.push(small(Cell { gates: 5, workers: 12, ..all }));
    let held =
        Cell { tenants: 200, keys: 2, routes: 60, core: 5, ..cell("held by five", "gatekeepers", 3.0) };
    cells.push(small(Cell { gates: 3, workers: 12, together: 1, changes_per_s: 2.0, ..held }));
    cells
}

impl Plan {
    /// In full, or the small form; only what has one of these in its line of the list, if there are any (`bench` for the
    /// comparisons).
    pub fn new(is_small: bool, only: &[String]) -> Self {
        let wanted = |name: &str| only.is_empty() || only.iter().any(|part| name.contains(part.as_str()));
        let cell_wanted = |c: &Cell| wanted(&format!("{} at {} {}", c.group, c.size, c.by));
        let cells = if is_small { small() } else { full() };
        let one = |sizes, limit, rates: &[f64], rounds, seconds, beat_ms| Comparison {
            sizes,
            limit,
            rates: rates.to_vec(),
            rounds,
            seconds,
            beat_ms,
        };
        let comparisons = match is_small {
            true => vec![one((20, 8), 1_000_000, &[200.0], 3, 1.0, 200)],
            false => vec![
                one((20, 8), 0, &[135.0, 1000.0], 5, 2.5, 1500),
                one((20, 8), 1_000_000, &[135.0, 500.0, 1000.0, 0.0], 5, 2.5, 1500),
                one((4600, 37_000), 1_000_000, &[135.0, 1000.0, 0.0], 5, 2.5, 1500),
            ],
        };
        let lost =
            |tenants: u32, routes| Cell { tenants, routes, ..cell("losses", "tenants", f64::from(tenants)) };
        let losses = match is_small {
            true => vec![Cell { gates: 4, core: 5, beat_ms: 200, ..lost(8, 20) }],
            false => {
                let sizes = [(100, 20), (4000, 500), (12_000, 1500), (37_000, 4600)];
                let mut cells: Vec<Cell> = sizes.map(|(t, r)| lost(t, r)).to_vec();
                cells.push(Cell { group: "losses of five".into(), core: 5, zones: 5, ..lost(37_000, 4600) });
                cells
            }
        };
        Plan {
            losses: losses.into_iter().filter(cell_wanted).collect(),
            cells: cells.into_iter().filter(cell_wanted).collect(),
            comparisons: comparisons.into_iter().filter(|c| wanted(&c.name())).collect(),
        }
    }

    /// Prints it.
    pub fn list(&self) {
        for c in self.cells.iter().chain(&self.losses) {
            println!("{} at {} {}", c.group, c.size, c.by);
        }
        for c in &self.comparisons {
            println!("{}: {:?} requests a second", c.name(), c.rates);
        }
    }
}
