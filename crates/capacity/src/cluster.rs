//! One measurement: a real core with simulated edges, simulated workers and an operator client, run for some seconds,
//! and the resource usage of each process.

use super::arrays::serialize_as_array;
use super::children::{self, address, Process, Usage};
use super::files::{self, DatabaseUsage};
use super::machine::{LoadMonitor, MachineLoad};
use super::operator::{self, Operator, Sizes};
use super::simulated_edges::Activation;
use super::{simulated_edges, workers, CapacityError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A case to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// Cases of a group differ in their size only.
    pub group: String,
    /// What the size counts.
    pub by: String,
    /// The size.
    pub size: f64,
    /// Edges.
    #[serde(rename = "gates")]
    pub edges: usize,
    /// Zones.
    pub zones: usize,
    /// Core machines.
    pub core: usize,
    /// Workers.
    pub workers: usize,
    /// Services.
    pub services: usize,
    /// Routes.
    pub routes: u32,
    /// Tenants.
    pub tenants: u32,
    /// Keys of each tenant.
    pub keys: u32,
    /// Requests a second of each tenant; 0: no limit.
    pub rate: u32,
    /// Requests a second at each edge.
    pub requests_per_s: f64,
    /// Do edges exchange load reports?
    #[serde(rename = "tell")]
    pub exchanges_load_reports: bool,
    /// Changes of configuration a second.
    pub changes_per_s: f64,
    /// Workers a second that are replaced by new ones.
    #[serde(rename = "replaced_per_s")]
    pub replacements_per_s: f64,
    /// Do workers open a new connection for each call?
    #[serde(rename = "fresh")]
    pub connects_per_call: bool,
    /// Time between two heartbeats: milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// Seconds that are measured.
    pub seconds: f64,
    /// Seconds that run before.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Upper bound of edges in a process: more share a core, and wait for each other.
    #[serde(rename = "together")]
    pub edges_per_process: usize,
}

impl Case {
    /// Size of its configuration.
    pub fn sizes(&self) -> Sizes {
        let Case { routes, tenants, keys, services, rate, .. } = *self;
        Sizes { routes, tenants, keys, services, rate }
    }
}

/// Resident bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// At the end.
    pub at_end: u64,
    /// At their peak.
    pub peak: u64,
}

serialize_as_array!(Memory { at_end, peak });

/// Mean resident bytes of one edge.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanMemory {
    /// At the end.
    pub at_end: f64,
    /// At their peak.
    pub peak: f64,
}

serialize_as_array!(MeanMemory { at_end, peak });

/// Messages and bytes a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageRate {
    /// Messages a second.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
}

serialize_as_array!(MessageRate { messages, bytes });

/// The first configuration.
#[derive(Clone, Copy, Debug)]
pub struct FirstConfiguration {
    /// Seconds to its acknowledgement.
    pub acknowledged_s: f64,
    /// Its bytes.
    pub bytes: usize,
}

serialize_as_array!(FirstConfiguration { acknowledged_s, bytes });

/// Median and maximum of some values.
#[derive(Clone, Copy, Debug)]
pub struct MedianMax {
    /// Half of the values lie below.
    pub median: f64,
    /// The largest.
    pub max: f64,
}

serialize_as_array!(MedianMax { median, max });

/// Changes of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCount {
    /// Acknowledged changes.
    pub sent: usize,
    /// Those that were in force everywhere by the end.
    pub in_force: usize,
}

serialize_as_array!(ChangeCount { sent, in_force });

/// Resource usage of a core machine.
#[derive(Clone, Debug, Serialize)]
pub struct CoreUsage {
    /// Did it lead the quota counter?
    #[serde(rename = "holder")]
    pub is_leader: bool,
    /// Cores.
    pub cpu: f64,
    /// Cores that it waited for (runnable but not running).
    pub waited: f64,
    /// Resident bytes at the end, and their peak.
    pub memory: Memory,
    /// Descriptors at the end.
    pub descriptors: usize,
    /// Bytes of its files at the end.
    pub disk: u64,
    /// What they hold by cause; missing where they can't be read.
    pub parts: Option<DatabaseUsage>,
    /// Bytes a second handed to files.
    pub written_per_s: f64,
    /// Bytes a second on its connections to other core machines, both ways; missing without `ss`.
    pub peers_per_s: Option<f64>,
}

/// Mean resource usage of one edge.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EdgeUsage {
    /// Cores; of those that don't count their messages.
    pub cpu: f64,
    /// Cores that those waited for.
    pub waited: f64,
    /// Resident bytes of its part of a process, at the end and at their peak.
    pub memory: MeanMemory,
    /// Messages and bytes a second, by kind.
    pub kinds: BTreeMap<String, MessageRate>,
    /// Messages a second, both ways.
    pub messages: f64,
    /// Bytes a second, both ways, without heads of packets.
    pub bytes: f64,
    /// Requests a second that were asked, answered, beyond the quota, refused.
    pub requests: [f64; 4],
}

/// The result of a case.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// The case that was measured.
    #[serde(rename = "cell")]
    pub case: Case,
    /// How busy the machine was in the seconds that were measured.
    pub machine: MachineLoad,
    /// Faults during the measurement.
    pub faults: Vec<String>,
    /// Seconds to the acknowledgement of the first configuration, and its bytes.
    pub first: FirstConfiguration,
    /// Seconds until all edges were ready.
    pub ready_s: f64,
    /// Seconds that were measured.
    pub seconds: f64,
    /// The core machines.
    pub core: Vec<CoreUsage>,
    /// Mean of the edges.
    #[serde(rename = "gate")]
    pub edge: EdgeUsage,
    /// Cores that all simulated edges took together.
    #[serde(rename = "hollow_cpu")]
    pub edges_cpu: f64,
    /// The simulated workers.
    pub workers: workers::Report,
    /// Milliseconds from each change's sending to its acknowledgement: median, maximum.
    pub ack_ms: MedianMax,
    /// And until it was in force at the last edge: median, maximum.
    pub in_force_ms: MedianMax,
    /// Changes that were sent, and those that were in force everywhere by the end.
    pub changes: ChangeCount,
    /// Links that went down, and most seconds that a tick came late.
    #[serde(rename = "downs")]
    pub link_downs: u64,
    /// See `downs`.
    pub late_s: f64,
}

/// A running core.
pub struct Core {
    folder: PathBuf,
    /// Its machines.
    pub processes: Vec<Process>,
    /// Control addresses.
    pub controls: Vec<SocketAddr>,
    /// The port of the internal protocol.
    pub internal_port: u16,
    zones: usize,
    heartbeat_ms: u64,
}

/// A port that is free now.
pub fn port() -> Result<u16, CapacityError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(CapacityError::Socket)?;
    Ok(listener.local_addr().map_err(CapacityError::Socket)?.port())
}

impl Core {
    /// Waits until all edges of these processes are ready; an error if the core takes too much memory meanwhile.
    pub fn wait_ready(&self, edges: &[Process], within: Duration) -> Result<(), CapacityError> {
        let until = Instant::now() + within;
        for edge in edges {
            loop {
                match edge.line(Instant::now() + Duration::from_millis(100)) {
                    Ok(line) if line == "ready" => break,
                    Ok(_) => {}
                    Err(error) if Instant::now() >= until => return Err(error),
                    Err(_) => self.check_memory()?,
                }
            }
        }
        Ok(())
    }

    /// An error if a machine takes too much memory.
    fn check_memory(&self) -> Result<(), CapacityError> {
        match self.processes.iter().find(|a| a.memory() > MAX_CORE_MEMORY_BYTES) {
            Some(process) => Err(CapacityError::Memory(process.name.clone(), MAX_CORE_MEMORY_BYTES)),
            None => Ok(()),
        }
    }

    /// Starts `count` core machines with empty disks below `folder`.
    pub fn start(
        folder: &Path,
        count: usize,
        zones: usize,
        heartbeat_ms: u64,
    ) -> Result<Self, CapacityError> {
        let (internal_port, control) = (port()?, port()?);
        let controls = (0..count).map(|i| SocketAddr::new(address(1, i), control)).collect();
        let mut core = Core {
            folder: folder.into(),
            processes: Vec::new(),
            controls,
            internal_port,
            zones,
            heartbeat_ms,
        };
        for number in 0..count {
            let data = core.data(number);
            std::fs::create_dir_all(&data).map_err(CapacityError::file(&data))?;
            let more = format!("control_port = \"{}\"\n", core.controls[number]);
            let path = core.write(&format!("core-{number}"), &core.settings(1, number, &more))?;
            let log = core.folder.join(format!("core-{number}.log"));
            core.processes.push(Process::start(
                &format!("core-{number}"),
                &["role", "core"],
                Some(&path),
                &log,
            )?);
        }
        Ok(core)
    }

    /// Restarts a machine that was killed, without `cold_start`.
    pub fn start_again(&mut self, number: usize) -> Result<(), CapacityError> {
        let more = format!("control_port = \"{}\"\n", self.controls[number]);
        let text = self.settings(1, number, &more).replace("cold_start = true", "cold_start = false");
        let name = format!("core-{number}");
        let (path, log) = (self.write(&name, &text)?, self.folder.join(format!("{name}-again.log")));
        self.processes[number] = Process::start(&name, &["role", "core"], Some(&path), &log)?;
        Ok(())
    }

    /// Where a machine's files are.
    pub fn data(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    /// Writes a file of settings.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, CapacityError> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).map_err(CapacityError::file(&path))?;
        Ok(path)
    }

    /// Settings of the `number`th machine of a group of addresses: 1, the core; others, edges.
    pub fn settings(&self, group: u8, number: usize, endpoints: &str) -> String {
        let (ip, zone) = (address(group, number), number % self.zones.max(1));
        let seeds: Vec<String> = self.controls.iter().take(3).map(|c| format!("\"{c}\"")).collect();
        let zones: Vec<String> = (0..self.zones.max(1)).map(|z| format!("z{z} = \"r0\"")).collect();
        let place = match group {
            1 => format!(
                "data_path = \"{}\"\nmachine_class = \"core\"\nloss_counted = true",
                self.data(number).display()
            ),
            _ => "machine_class = \"edge\"".into(),
        };
        let lost = self.controls.len().saturating_sub(1) / 2;
        let (internal_port, beat) = (self.internal_port, self.heartbeat_ms);
        format!(
            "[self]\nnode_name = \"m-{group}-{number}\"\nip_addr = \"{ip}\"\nzone_name = \"z{zone}\"\nregion_name = \"r0\"\n\
             cold_start = true\n{place}\n[self.saturation]\nmemory_cap_mb = 256\nfile_handles = 20000\n\
             [network]\ninternal_ports = [{internal_port}, {internal_port}]\nseed_list = [{}]\n[network.endpoints]\n{endpoints}\
             [network.zones]\n{}\n[substrate]\nheartbeat = \"{beat}ms\"\n[constraints.tolerance]\nmachine_losses = {lost}\n\
             [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\n",
            seeds.join(", "),
            zones.join("\n"),
        )
    }
}

fn write_job(folder: &Path, name: &str, job: &impl Serialize) -> Result<String, CapacityError> {
    let path = folder.join(format!("{name}.json"));
    let text = serde_json::to_string(job).unwrap_or_default();
    std::fs::write(&path, text).map_err(CapacityError::file(&path))?;
    Ok(path.display().to_string())
}

/// Starts a process of this program with a job file.
pub fn start_with(
    folder: &Path,
    kind: &str,
    name: &str,
    job: &impl Serialize,
) -> Result<Process, CapacityError> {
    let path = write_job(folder, name, job)?;
    Process::start(name, &[kind, &path], None, &folder.join(format!("{name}.log")))
}

/// Upper bound of the resident memory of a core machine; beyond it the measurement is aborted.
const MAX_CORE_MEMORY_BYTES: u64 = 3_000_000_000;

/// Edges of each process; those of the first one count their messages.
fn split(edges: usize, edges_per_process: usize) -> Vec<usize> {
    let counting = (edges / 2).clamp(1, 4);
    let rest = edges - counting;
    let processes = rest.div_ceil(edges_per_process);
    let each = |i| rest / processes + usize::from(i < rest % processes);
    std::iter::once(counting).chain((0..processes).map(each)).collect()
}

/// Starts the simulated workers of a case.
pub fn start_workers(
    folder: &Path,
    case: &Case,
    controls: &[SocketAddr],
) -> Result<Vec<Process>, CapacityError> {
    let processes = case.workers.div_ceil(4000);
    let mut started = Vec::new();
    for number in 0..processes {
        let job = workers::Job {
            name: format!("i-{number}"),
            group: 9 + number as u8,
            workers: case.workers / processes + usize::from(number < case.workers % processes),
            services: case.services,
            zones: case.zones,
            capacity: 8,
            controls: controls.to_vec(),
            heartbeat_ms: case.heartbeat_ms,
            replacements_per_s: case.replacements_per_s / processes as f64,
            connects_per_call: case.connects_per_call,
            serve: false,
        };
        started.push(start_with(folder, "workers", &format!("workers-{number}"), &job)?);
    }
    Ok(started)
}

/// Starts the simulated edges of a case.
pub fn start_edges(folder: &Path, case: &Case, core: &Core) -> Result<Vec<Process>, CapacityError> {
    let mut first = 0;
    let mut started = Vec::new();
    for (number, edges) in split(case.edges, case.edges_per_process).into_iter().enumerate() {
        let job = simulated_edges::Job {
            settings: (first..first + edges).map(|i| core.settings(2, i, "")).collect(),
            requests_per_s: case.requests_per_s,
            tenants: case.tenants,
            routes: case.routes,
            work_ms: 100,
            exchanges_load_reports: case.exchanges_load_reports,
            counted: if number == 0 { edges } else { 0 },
        };
        first += edges;
        started.push(start_with(folder, "edges", &format!("hollow-{number}"), &job)?);
    }
    Ok(started)
}

/// Median and maximum.
fn spread(mut values: Vec<f64>) -> MedianMax {
    values.sort_by(f64::total_cmp);
    MedianMax { median: workers::percentile(&values, 0.5), max: workers::percentile(&values, 1.0) }
}

/// What a process answers to `end`.
pub fn report<T: serde::de::DeserializeOwned>(process: &Process) -> Result<T, CapacityError> {
    let until = Instant::now() + Duration::from_secs(20);
    let mut line = process.line(until)?;
    // One that was ready late said so only now.
    while line == "ready" {
        line = process.line(until)?;
    }
    serde_json::from_str(&line).map_err(|e| CapacityError::Child(format!("{}: {e}", process.name)))
}

/// A change of the configuration that was acknowledged.
struct SentChange {
    number: u64,
    /// Seconds of the epoch.
    sent_at: f64,
    /// Seconds from its sending to its acknowledgement.
    acknowledged_s: f64,
}

/// Sends the changes of a case one after another, at its rate or more slowly; ends early at the first failure.
fn send_changes(case: &Case, operator: &mut Operator, faults: &mut Vec<String>) -> Vec<SentChange> {
    let begun = Instant::now();
    let mut sent = Vec::new();
    let wanted = (case.changes_per_s * case.seconds).round() as usize;
    while sent.len() < wanted {
        let number = sent.len() as u64 + 2;
        let sent_at = children::epoch();
        match operator.amend(&operator::probe_change(number), Duration::from_secs(20)) {
            Ok(acknowledged_s) => sent.push(SentChange { number, sent_at, acknowledged_s }),
            Err(error) => {
                faults.push(format!("change {number}: {error}"));
                break;
            }
        }
        let next = Duration::from_secs_f64(sent.len() as f64 / case.changes_per_s);
        std::thread::sleep(next.saturating_sub(begun.elapsed()));
    }
    std::thread::sleep(Duration::from_secs_f64(case.seconds).saturating_sub(begun.elapsed()));
    sent
}

/// What was observed between `begin` and `end`.
struct Observation {
    machine: MachineLoad,
    seconds: f64,
    /// Usage of the core machines, then of the edge processes, at the beginning...
    before: Vec<Usage>,
    /// ...and at the end.
    after: Vec<Usage>,
    changes: Vec<SentChange>,
    /// Of each core machine; missing without `ss`.
    peer_bytes_per_s: Option<Vec<f64>>,
    edge_reports: Vec<simulated_edges::Report>,
    worker_reports: Vec<workers::Report>,
}

impl Observation {
    /// Address of the core machine that led the quota counter: most syncs went there.
    fn leader(&self) -> Option<String> {
        let mut syncs: BTreeMap<&str, u64> = BTreeMap::new();
        let all = self.edge_reports.iter().flat_map(|r| &r.syncs);
        all.for_each(|(ip, n)| *syncs.entry(ip).or_default() += n);
        syncs.iter().max_by_key(|(_, n)| **n).map(|(ip, _)| (*ip).to_owned())
    }

    /// Usage of each core machine, without the content of its files.
    fn core_usages(&self, core: &Core) -> Vec<CoreUsage> {
        let leader = self.leader();
        let usage = |i: usize| {
            let (was, is) = (self.before[i], self.after[i]);
            CoreUsage {
                is_leader: leader.as_deref() == Some(address(1, i).to_string().as_str()),
                cpu: (is.cpu_s - was.cpu_s) / self.seconds,
                waited: (is.waited_s - was.waited_s) / self.seconds,
                memory: Memory { at_end: is.rss, peak: is.peak },
                descriptors: is.descriptors,
                disk: children::folder_bytes(&core.data(i)),
                parts: None,
                written_per_s: (is.written - was.written) as f64 / self.seconds,
                peers_per_s: self.peer_bytes_per_s.as_ref().map(|rates| rates[i]),
            }
        };
        (0..core.processes.len()).map(usage).collect()
    }

    /// Milliseconds from the sending of each change to its activation at the last of `edges` edges; changes that were
    /// not active everywhere are left out.
    fn activation_ms(&self, edges: usize) -> Vec<f64> {
        let mut in_force: BTreeMap<u64, Activation> = BTreeMap::new();
        for (number, activation) in self.edge_reports.iter().flat_map(|r| &r.in_force) {
            let sum = in_force.entry(*number).or_default();
            sum.edges += activation.edges;
            sum.last_at = sum.last_at.max(activation.last_at);
        }
        let everywhere = self.changes.iter().filter_map(|change| {
            let activation = in_force.get(&change.number).filter(|a| a.edges == edges)?;
            Some((activation.last_at - change.sent_at) * 1e3)
        });
        everywhere.collect()
    }
}

/// Sends the changes of a case and collects usages and reports meanwhile.
fn observe(
    case: &Case,
    core: &Core,
    operator: &mut Operator,
    mut edges: Vec<Process>,
    mut worker_processes: Vec<Process>,
    faults: &mut Vec<String>,
) -> Result<Observation, CapacityError> {
    let pids: Vec<u32> = core.processes.iter().map(Process::pid).collect();
    let (links, links_at) = (children::sent_to_port(core.internal_port, &pids), Instant::now());
    edges.iter_mut().chain(&mut worker_processes).try_for_each(|p| p.send_command("begin"))?;
    let (at, before, monitor) =
        (Instant::now(), process_usages(&core.processes, &edges), LoadMonitor::begin());
    let changes = send_changes(case, operator, faults);
    let (seconds, after, machine) =
        (at.elapsed().as_secs_f64(), process_usages(&core.processes, &edges), monitor.end());
    if !changes.is_empty() {
        // The last change may still be in flight.
        std::thread::sleep(Duration::from_secs(2));
    }
    edges.iter_mut().chain(&mut worker_processes).try_for_each(|p| p.send_command("end"))?;
    let links_s = links_at.elapsed().as_secs_f64();
    let links_after = children::sent_to_port(core.internal_port, &pids);
    let peer_bytes_per_s = links.zip(links_after).map(|(before, after)| {
        let pairs = before.iter().zip(&after);
        pairs.map(|(was, is)| (is.1 as f64 - was.1 as f64).max(0.0) / links_s).collect()
    });
    let edge_reports = edges.iter().map(report).collect::<Result<_, _>>()?;
    let worker_reports = worker_processes.iter().map(report).collect::<Result<_, _>>()?;
    Ok(Observation {
        machine,
        seconds,
        before,
        after,
        changes,
        peer_bytes_per_s,
        edge_reports,
        worker_reports,
    })
}

/// Measures a case in an empty folder.
pub fn measure(folder: &Path, case: &Case) -> Result<Measurement, CapacityError> {
    let mut faults = Vec::new();
    let core = Core::start(folder, case.core, case.zones, case.heartbeat_ms)?;
    let mut operator = Operator::new(core.controls.clone());
    let body = operator::full_configuration(case.sizes());
    let acknowledged_s = operator.amend(&body, Duration::from_secs(60))?;
    let first = FirstConfiguration { acknowledged_s, bytes: body.len() };
    drop(body);
    let worker_processes = start_workers(folder, case, &core.controls)?;
    let begun = Instant::now();
    let mut edges = start_edges(folder, case, &core)?;
    match core.wait_ready(&edges, Duration::from_secs(60)) {
        Err(error @ CapacityError::Memory(..)) => return Err(error),
        Err(error) => faults.push(format!("not all gatekeepers are ready after 60 s: {error}")),
        Ok(()) => {}
    }
    let ready_s = begun.elapsed().as_secs_f64();
    edges.iter_mut().try_for_each(|g| g.send_command("ask"))?;
    std::thread::sleep(Duration::from_secs_f64(case.warm_up_s));
    let observed = observe(case, &core, &mut operator, edges, worker_processes, &mut faults)?;

    let mut core_usages = observed.core_usages(&core);
    let machines = core.processes.len();
    let folders: Vec<PathBuf> = (0..machines).map(|i| core.data(i)).collect();
    // The databases are opened only after the processes that write them have ended.
    drop(core);
    for (usage, folder) in core_usages.iter_mut().zip(folders) {
        match files::read(&folder) {
            Ok(parts) => usage.parts = Some(parts),
            Err(error) => faults.push(error),
        }
    }
    let (before, after) = (&observed.before[machines..], &observed.after[machines..]);
    let spent = before.iter().zip(after).map(|(was, is)| (is.cpu_s - was.cpu_s) / observed.seconds);
    let activation_ms = observed.activation_ms(case.edges);
    let reports = &observed.edge_reports;
    Ok(Measurement {
        case: case.clone(),
        machine: observed.machine,
        faults,
        first,
        ready_s,
        seconds: observed.seconds,
        core: core_usages,
        edge: edge_usage(reports, before, after, observed.seconds),
        edges_cpu: spent.sum(),
        ack_ms: spread(observed.changes.iter().map(|c| c.acknowledged_s * 1e3).collect()),
        changes: ChangeCount { sent: observed.changes.len(), in_force: activation_ms.len() },
        in_force_ms: spread(activation_ms),
        link_downs: reports.iter().map(|r| r.link_downs).sum(),
        late_s: reports.iter().map(|r| r.late_s).fold(0.0, f64::max),
        workers: total_worker_report(observed.worker_reports),
    })
}

fn process_usages(processes: &[Process], edges: &[Process]) -> Vec<Usage> {
    processes.iter().chain(edges).map(Process::usage).collect()
}

fn total_worker_report(all: Vec<workers::Report>) -> workers::Report {
    let mut sum = workers::Report::default();
    for w in all {
        sum.seconds = sum.seconds.max(w.seconds);
        sum.taken += w.taken;
        sum.failed += w.failed;
        sum.replaced += w.replaced;
        sum.bytes = (sum.bytes.0 + w.bytes.0, sum.bytes.1 + w.bytes.1);
        sum.ms = (sum.ms.0.max(w.ms.0), sum.ms.1.max(w.ms.1), sum.ms.2.max(w.ms.2));
    }
    sum
}

/// Mean usage of one edge: processor and memory of the processes that don't count messages, messages of the one that
/// does.
fn edge_usage(
    reports: &[simulated_edges::Report],
    before: &[Usage],
    after: &[Usage],
    seconds: f64,
) -> EdgeUsage {
    let plain = usize::from(reports.len() > 1);
    let mut edge = EdgeUsage::default();
    let edges: usize = reports[plain..].iter().map(|t| t.edges).sum();
    let each = 1.0 / edges.max(1) as f64;
    for (was, is) in before.iter().zip(after).skip(plain) {
        edge.cpu += (is.cpu_s - was.cpu_s) / seconds * each;
        edge.waited += (is.waited_s - was.waited_s) / seconds * each;
        edge.memory.at_end += is.rss as f64 * each;
        edge.memory.peak += is.peak as f64 * each;
    }
    for t in reports.iter().filter(|t| t.counted > 0) {
        let each = 1.0 / (t.counted as f64 * t.seconds.max(1e-3));
        for (kind, tally) in &t.kinds {
            let (messages, bytes) = (tally.messages as f64 * each, tally.bytes as f64 * each);
            edge.kinds.insert(kind.clone(), MessageRate { messages, bytes });
            (edge.messages, edge.bytes) = (edge.messages + messages, edge.bytes + bytes);
        }
    }
    let all: usize = reports.iter().map(|t| t.edges).sum();
    for t in reports {
        let each = 1.0 / (all.max(1) as f64 * t.seconds.max(1e-3));
        (0..4).for_each(|i| edge.requests[i] += t.requests[i] as f64 * each);
    }
    edge
}
