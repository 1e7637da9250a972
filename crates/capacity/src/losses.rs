//! Owns what the loss of core machines costs: the holder of the counter killed and back with its disk, the next holder
//! asked to end, another machine back without its disk; of five, the holder and another one killed at once, as when a
//! region goes. It must never kill a process that it did not start.

use super::children::{self, Process};
use super::cluster::{self, Cell, Core};
use super::machine::{Machine, Watch};
use super::operator::{self, Operator};
use super::{simulated_edges, CapacityError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Nothing here is waited for longer.
const MOST: Duration = Duration::from_secs(30);
/// A process that is asked to end has this for it, as with `grace_period`.
const GRACE: Duration = Duration::from_secs(6);

/// What the loss of machines cost; a time that did not come within [`MOST`] is missing.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// Seconds to the acknowledgement of a change that is sent at once...
    pub acknowledged_s: Option<f64>,
    /// ...and until it is in force at the last gatekeeper.
    pub in_force_s: Option<f64>,
    /// The longest that a gatekeeper had no word of a holder meanwhile: seconds.
    pub uncounted_s: f64,
}

/// What was measured; a time that did not come within [`MOST`] is missing.
#[derive(Clone, Debug, Serialize)]
pub struct Lost {
    /// What was asked for.
    pub cell: Cell,
    /// How busy the machine was.
    pub machine: Machine,
    /// The holder is killed.
    pub killed: Loss,
    /// Seconds from its start with its disk until it answers what stands.
    pub back_s: Option<f64>,
    /// The holder is asked to end, and hands over.
    pub handed_over: Loss,
    /// Of five or more: the holder and another one are killed at once.
    pub two_killed: Option<Loss>,
    /// Seconds from another one's start without its disk until it answers what stands and its files hold half as many
    /// bytes as the first configuration at least.
    pub refilled_s: Option<f64>,
    /// Bytes of a core machine's files.
    pub disk: u64,
}

fn until(begun: Instant, mut holds: impl FnMut() -> bool) -> Option<f64> {
    while begun.elapsed() < MOST {
        if holds() {
            return Some(begun.elapsed().as_secs_f64());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

struct Run<'a> {
    cell: &'a Cell,
    core: Core,
    operator: Operator,
    gates: Vec<Process>,
    /// The number of the last change.
    number: u64,
}

impl Run<'_> {
    fn begin(&mut self) -> Result<(), CapacityError> {
        self.gates.iter_mut().try_for_each(|g| g.order("begin"))
    }

    fn told(&mut self) -> Result<Vec<simulated_edges::Report>, CapacityError> {
        self.gates.iter_mut().try_for_each(|g| g.order("end"))?;
        self.gates.iter().map(cluster::report).collect()
    }

    /// Which machine holds the counter: the most syncs go there. While nobody does, it is waited for.
    fn holder(&mut self) -> Result<usize, CapacityError> {
        let begun = Instant::now();
        while begun.elapsed() < MOST {
            self.begin()?;
            std::thread::sleep(Duration::from_secs_f64(self.cell.warm_s.max(1.0)));
            let mut syncs: BTreeMap<String, u64> = BTreeMap::new();
            for report in self.told()? {
                report.syncs.into_iter().for_each(|(ip, n)| *syncs.entry(ip).or_default() += n);
            }
            let holder = syncs.into_iter().max_by_key(|(_, n)| *n).map(|(ip, _)| ip);
            let at = |c: &std::net::SocketAddr| holder.as_deref() == Some(c.ip().to_string().as_str());
            if let Some(holder) = self.core.controls.iter().position(at) {
                return Ok(holder);
            }
        }
        Err(CapacityError::Child("nobody holds the counter".into()))
    }

    /// What it costs that machines are taken away so.
    fn lose(
        &mut self,
        take: impl FnOnce(&mut Core) -> Result<(), CapacityError>,
    ) -> Result<Loss, CapacityError> {
        self.begin()?;
        let taken = children::epoch();
        take(&mut self.core)?;
        self.number += 1;
        // A caller that comes to a dead machine moves on at once.
        let change = operator::change(self.number);
        let acknowledged = self.operator.amend(&change, MOST).is_ok().then(children::epoch);
        std::thread::sleep(Duration::from_secs(2));
        let reports = self.told()?;
        let in_force = reports.iter().filter_map(|r| r.in_force.get(&self.number));
        let last = in_force.fold((0, 0.0_f64), |sum, (gates, at)| (sum.0 + gates, sum.1.max(*at)));
        Ok(Loss {
            acknowledged_s: acknowledged.map(|at| at - taken),
            in_force_s: (last.0 == self.cell.gates).then_some(last.1 - taken),
            uncounted_s: reports.iter().map(|r| r.uncounted_s).fold(0.0, f64::max),
        })
    }

    /// Starts a machine again; seconds until it answers what stands.
    fn back(&mut self, number: usize) -> Result<Option<f64>, CapacityError> {
        let started = Instant::now();
        self.core.start_again(number)?;
        Ok(until(started, || Operator::reads(self.core.controls[number])))
    }
}

/// Measures in a folder of its own that is empty.
pub fn measure(folder: &Path, cell: &Cell) -> Result<Lost, CapacityError> {
    let watch = Watch::begin();
    let core = Core::start(folder, cell.core, cell.zones, cell.beat_ms)?;
    let mut operator = Operator::new(core.controls.clone());
    let whole = operator::whole(cell.sizes());
    operator.amend(&whole, 2 * MOST)?;
    let _hands = cluster::starting_workers(folder, cell, &core.controls)?;
    let gates = cluster::starting_gates(folder, cell, &core)?;
    core.wait_ready(&gates, Duration::from_secs(60))?;
    let mut run = Run { cell, core, operator, gates, number: 1 };

    let holder = run.holder()?;
    let killed = run.lose(|core| {
        core.processes[holder].kill();
        Ok(())
    })?;
    let back_s = run.back(holder)?;
    let disk = children::folder_bytes(&run.core.data(holder));

    let holder = run.holder()?;
    let handed_over = run.lose(|core| core.processes[holder].ask_to_end())?;
    let asked = Instant::now();
    while !run.core.processes[holder].has_ended() && asked.elapsed() < GRACE {
        std::thread::sleep(Duration::from_millis(20));
    }
    run.core.processes[holder].kill();
    run.back(holder)?;

    let mut two_killed = None;
    if cell.core >= 5 {
        let (holder, machines) = (run.holder()?, run.core.processes.len());
        let both = [holder, (holder + 1) % machines];
        two_killed = Some(run.lose(|core| {
            both.iter().for_each(|n| core.processes[*n].kill());
            Ok(())
        })?);
        both.iter().try_for_each(|n| run.back(*n).map(drop))?;
    }

    let other = (holder + 1) % run.core.processes.len();
    run.core.processes[other].kill();
    let data = run.core.data(other);
    let emptied = std::fs::remove_dir_all(&data).and_then(|()| std::fs::create_dir_all(&data));
    emptied.map_err(|e| CapacityError::File(data.display().to_string(), e))?;
    let started = Instant::now();
    run.core.start_again(other)?;
    let control = run.core.controls[other];
    let refilled_s = until(started, || {
        2 * children::folder_bytes(&data) >= whole.len() as u64 && Operator::reads(control)
    });
    Ok(Lost {
        cell: cell.clone(),
        machine: watch.end(),
        killed,
        back_s,
        handed_over,
        two_killed,
        refilled_s,
        disk,
    })
}
