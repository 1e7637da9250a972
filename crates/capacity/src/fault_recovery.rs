//! Measures recovery from the loss of core machines.
//!
//! In order: the leader is killed and restarted with its disk; the next leader is shut down gracefully; with five
//! machines or more the leader and another one are killed at once (a region failure); a machine is restarted with
//! an empty disk.

use super::children::{self, Process};
use super::cluster::{self, Case, Core};
use super::machine::{LoadMonitor, MachineLoad};
use super::operator::{self, Operator};
use super::{simulated_edges, CapacityError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Upper bound of each wait.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time for a graceful shutdown, as `grace_period`.
const GRACE: Duration = Duration::from_secs(6);

/// Impact of the loss of machines; a time beyond [`MAX_WAIT`] is missing.
#[derive(Clone, Debug, Serialize)]
pub struct FaultImpact {
    /// Seconds to the acknowledgement of a change that is sent at once...
    pub acknowledged_s: Option<f64>,
    /// ...and until it is in force at the last edge.
    pub in_force_s: Option<f64>,
    /// The longest time that an edge had no quota grant of a leader meanwhile: seconds.
    pub uncounted_s: f64,
}

/// Result of a case; a time beyond [`MAX_WAIT`] is missing.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRecovery {
    /// The case that was measured.
    #[serde(rename = "cell")]
    pub case: Case,
    /// How busy the machine was.
    pub machine: MachineLoad,
    /// The leader is killed.
    pub killed: FaultImpact,
    /// Seconds from its restart with its disk until it serves the committed configuration.
    pub back_s: Option<f64>,
    /// The leader is shut down gracefully and hands over.
    pub handed_over: FaultImpact,
    /// Of five or more: the leader and another one are killed at once.
    pub two_killed: Option<FaultImpact>,
    /// Seconds from another one's restart with an empty disk until it serves the configuration and its files hold at
    /// least half as many bytes as the first configuration.
    pub refilled_s: Option<f64>,
    /// Bytes of a core machine's files.
    pub disk: u64,
}

fn until(begun: Instant, mut holds: impl FnMut() -> bool) -> Option<f64> {
    while begun.elapsed() < MAX_WAIT {
        if holds() {
            return Some(begun.elapsed().as_secs_f64());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

struct Run<'a> {
    case: &'a Case,
    core: Core,
    operator: Operator,
    edges: Vec<Process>,
    /// The number of the last change.
    number: u64,
}

impl Run<'_> {
    fn begin(&mut self) -> Result<(), CapacityError> {
        self.edges.iter_mut().try_for_each(|g| g.send_command("begin"))
    }

    fn collect_reports(&mut self) -> Result<Vec<simulated_edges::Report>, CapacityError> {
        self.edges.iter_mut().try_for_each(|g| g.send_command("end"))?;
        self.edges.iter().map(cluster::report).collect()
    }

    /// The machine that leads the quota counter: most syncs go there. Waits while there is none.
    fn leader(&mut self) -> Result<usize, CapacityError> {
        let begun = Instant::now();
        while begun.elapsed() < MAX_WAIT {
            self.begin()?;
            std::thread::sleep(Duration::from_secs_f64(self.case.warm_up_s.max(1.0)));
            let mut syncs: BTreeMap<String, u64> = BTreeMap::new();
            for report in self.collect_reports()? {
                report.syncs.into_iter().for_each(|(ip, n)| *syncs.entry(ip).or_default() += n);
            }
            let leader = syncs.into_iter().max_by_key(|(_, n)| *n).map(|(ip, _)| ip);
            let at = |c: &std::net::SocketAddr| leader.as_deref() == Some(c.ip().to_string().as_str());
            if let Some(leader) = self.core.controls.iter().position(at) {
                return Ok(leader);
            }
        }
        Err(CapacityError::Child("nobody holds the counter".into()))
    }

    /// The impact of a fault that `fault` injects.
    fn inject_fault(
        &mut self,
        fault: impl FnOnce(&mut Core) -> Result<(), CapacityError>,
    ) -> Result<FaultImpact, CapacityError> {
        self.begin()?;
        let injected_at = children::epoch();
        fault(&mut self.core)?;
        self.number += 1;
        // A client whose connection is refused tries the next machine at once.
        let change = operator::probe_change(self.number);
        let acknowledged = self.operator.amend(&change, MAX_WAIT).is_ok().then(children::epoch);
        std::thread::sleep(Duration::from_secs(2));
        let reports = self.collect_reports()?;
        let in_force = reports.iter().filter_map(|r| r.in_force.get(&self.number));
        let last = in_force.fold((0, 0.0_f64), |sum, a| (sum.0 + a.edges, sum.1.max(a.last_at)));
        Ok(FaultImpact {
            acknowledged_s: acknowledged.map(|at| at - injected_at),
            in_force_s: (last.0 == self.case.edges).then_some(last.1 - injected_at),
            uncounted_s: reports.iter().map(|r| r.uncounted_s).fold(0.0, f64::max),
        })
    }

    /// Restarts a machine; seconds until it serves the committed configuration.
    fn restart(&mut self, number: usize) -> Result<Option<f64>, CapacityError> {
        let started = Instant::now();
        self.core.start_again(number)?;
        Ok(until(started, || Operator::serves_configuration(self.core.controls[number])))
    }

    /// Shuts the leader down gracefully, and restarts it.
    fn hand_over(&mut self, leader: usize) -> Result<FaultImpact, CapacityError> {
        let impact = self.inject_fault(|core| core.processes[leader].terminate())?;
        let terminated = Instant::now();
        while !self.core.processes[leader].has_ended() && terminated.elapsed() < GRACE {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.core.processes[leader].kill();
        self.restart(leader)?;
        Ok(impact)
    }

    /// Kills the leader and another machine at once, and restarts both.
    fn kill_two(&mut self) -> Result<FaultImpact, CapacityError> {
        let leader = self.leader()?;
        let both = [leader, (leader + 1) % self.core.processes.len()];
        let impact = self.inject_fault(|core| {
            both.iter().for_each(|n| core.processes[*n].kill());
            Ok(())
        })?;
        both.iter().try_for_each(|n| self.restart(*n).map(drop))?;
        Ok(impact)
    }

    /// Restarts a machine with an empty disk; seconds until it serves the configuration and its files hold at least
    /// half of `configuration_bytes`.
    fn refill(&mut self, number: usize, configuration_bytes: u64) -> Result<Option<f64>, CapacityError> {
        self.core.processes[number].kill();
        let data = self.core.data(number);
        let emptied = std::fs::remove_dir_all(&data).and_then(|()| std::fs::create_dir_all(&data));
        emptied.map_err(CapacityError::file(&data))?;
        let started = Instant::now();
        self.core.start_again(number)?;
        let control = self.core.controls[number];
        Ok(until(started, || {
            2 * children::folder_bytes(&data) >= configuration_bytes
                && Operator::serves_configuration(control)
        }))
    }
}

/// Measures a case in an empty folder.
pub fn measure(folder: &Path, case: &Case) -> Result<FaultRecovery, CapacityError> {
    let monitor = LoadMonitor::begin();
    let core = Core::start(folder, case.core, case.zones, case.heartbeat_ms)?;
    let mut operator = Operator::new(core.controls.clone());
    let configuration = operator::full_configuration(case.sizes());
    operator.amend(&configuration, 2 * MAX_WAIT)?;
    let _workers = cluster::start_workers(folder, case, &core.controls)?;
    let edges = cluster::start_edges(folder, case, &core)?;
    core.wait_ready(&edges, Duration::from_secs(60))?;
    let mut run = Run { case, core, operator, edges, number: 1 };

    let leader = run.leader()?;
    let killed = run.inject_fault(|core| {
        core.processes[leader].kill();
        Ok(())
    })?;
    let back_s = run.restart(leader)?;
    let disk = children::folder_bytes(&run.core.data(leader));

    let leader = run.leader()?;
    let handed_over = run.hand_over(leader)?;
    let two_killed = if case.core >= 5 { Some(run.kill_two()?) } else { None };
    let other = (leader + 1) % run.core.processes.len();
    let refilled_s = run.refill(other, configuration.len() as u64)?;
    Ok(FaultRecovery {
        case: case.clone(),
        machine: monitor.end(),
        killed,
        back_s,
        handed_over,
        two_killed,
        refilled_s,
        disk,
    })
}
