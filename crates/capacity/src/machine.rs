//! Load of the whole machine during a measurement, from `/proc`; timings are only meaningful together with it.

use serde::Serialize;
use std::time::Instant;

/// Load of the machine over some seconds, with the measurement's own processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MachineLoad {
    /// Processors.
    pub cores: usize,
    /// Mean number of busy processors.
    pub busy: f64,
    /// Load average over the last minute.
    pub load: f64,
    /// Part of the time in which some runnable thread had no processor; missing without `/proc/pressure/cpu`.
    pub pressure: Option<f64>,
}

/// Starting point of a measurement of the load.
pub struct LoadMonitor {
    at: Instant,
    busy_s: f64,
    stalled_s: Option<f64>,
}

fn read_or_empty(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Processor seconds that were not idle, over all processors.
fn busy_s() -> f64 {
    let text = read_or_empty("/proc/stat");
    let line = text.lines().next().unwrap_or_default();
    let ticks: Vec<f64> = line.split_whitespace().skip(1).filter_map(|w| w.parse().ok()).collect();
    // User, nice, system; idle and waiting for disks are left out; interrupts, soft and hard.
    [0, 1, 2, 5, 6].iter().filter_map(|i| ticks.get(*i)).sum::<f64>() / 100.0
}

/// Seconds in which some runnable thread had no processor.
fn stalled_s() -> Option<f64> {
    let text = read_or_empty("/proc/pressure/cpu");
    let some = text.lines().find(|l| l.starts_with("some"))?;
    Some(some.split("total=").nth(1)?.trim().parse::<f64>().ok()? / 1e6)
}

impl LoadMonitor {
    /// Begins now.
    pub fn begin() -> Self {
        LoadMonitor { at: Instant::now(), busy_s: busy_s(), stalled_s: stalled_s() }
    }

    /// The load from the beginning until now.
    pub fn end(&self) -> MachineLoad {
        let seconds = self.at.elapsed().as_secs_f64().max(1e-3);
        let load = read_or_empty("/proc/loadavg").split(' ').next().and_then(|l| l.parse().ok());
        MachineLoad {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            busy: (busy_s() - self.busy_s) / seconds,
            load: load.unwrap_or(0.0),
            pressure: stalled_s().zip(self.stalled_s).map(|(is, was)| (is - was) / seconds),
        }
    }
}
