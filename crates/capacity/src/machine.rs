//! Owns how busy the whole machine was while something was measured, as the system tells: figures of time mean little
//! without it. It must never tell of single processes that the tool did not start.

use serde::Serialize;
use std::time::Instant;

/// How busy the machine was over some seconds, with what is measured in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Machine {
    /// Processors.
    pub cores: usize,
    /// Processors that ran something, in the mean.
    pub busy: f64,
    /// Threads that ran or wanted to, over the minute before the end.
    pub load: f64,
    /// Part of the time in which some thread was ready and had no processor; missing where the system doesn't tell.
    pub pressure: Option<f64>,
}

/// Since when.
pub struct Watch {
    at: Instant,
    busy_s: f64,
    stalled_s: Option<f64>,
}

fn text(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Processor seconds that were not idle, over all processors.
fn busy_s() -> f64 {
    let told = text("/proc/stat");
    let line = told.lines().next().unwrap_or_default();
    let ticks: Vec<f64> = line.split_whitespace().skip(1).filter_map(|w| w.parse().ok()).collect();
    // User, nice, system; idle and waiting for disks are left out; interrupts, soft and hard.
    [0, 1, 2, 5, 6].iter().filter_map(|i| ticks.get(*i)).sum::<f64>() / 100.0
}

/// Seconds in which some thread was ready and had no processor.
fn stalled_s() -> Option<f64> {
    let told = text("/proc/pressure/cpu");
    let some = told.lines().find(|l| l.starts_with("some"))?;
    Some(some.split("total=").nth(1)?.trim().parse::<f64>().ok()? / 1e6)
}

impl Watch {
    /// From now on.
    pub fn begin() -> Self {
        Watch { at: Instant::now(), busy_s: busy_s(), stalled_s: stalled_s() }
    }

    /// Until now.
    pub fn end(&self) -> Machine {
        let seconds = self.at.elapsed().as_secs_f64().max(1e-3);
        let load = text("/proc/loadavg").split(' ').next().and_then(|l| l.parse().ok());
        Machine {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            busy: (busy_s() - self.busy_s) / seconds,
            load: load.unwrap_or(0.0),
            pressure: stalled_s().zip(self.stalled_s).map(|(is, was)| (is - was) / seconds),
        }
    }
}
