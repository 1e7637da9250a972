//! Owns one measurement: a real core of its own, with hollow gatekeepers, workers and an operator before it, for some
//! seconds, and what each process used by then. It must never reach for a process that it did not start.

use super::children::{self, address, Process, Usage};
use super::files::{self, Parts};
use super::machine::{Machine, Watch};
use super::operator::{self, Operator, Sizes};
use super::{simulated_edges, workers, CapacityError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What is measured.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Cells of a group differ in their size only.
    pub group: String,
    /// What the size counts.
    pub by: String,
    /// The size.
    pub size: f64,
    /// Gatekeepers.
    pub gates: usize,
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
    /// Requests a second at each gatekeeper.
    pub requests_per_s: f64,
    /// Do gatekeepers tell each other what is out?
    pub tell: bool,
    /// Changes of configuration a second.
    pub changes_per_s: f64,
    /// Workers a second that leave and come back as others.
    pub replaced_per_s: f64,
    /// Do workers open a new connection for each call?
    pub fresh: bool,
    /// Time between two heartbeats: milliseconds.
    pub beat_ms: u64,
    /// Seconds that are measured.
    pub seconds: f64,
    /// Seconds that run before.
    pub warm_s: f64,
    /// Most gatekeepers in a process: more share a core, and wait for each other.
    pub together: usize,
}

impl Cell {
    /// What the configuration is to hold.
    pub fn sizes(&self) -> Sizes {
        let Cell { routes, tenants, keys, services, rate, .. } = *self;
        Sizes { routes, tenants, keys, services, rate }
    }
}

/// What a core machine used.
#[derive(Clone, Debug, Serialize)]
pub struct CoreUse {
    /// Did it hold the counter (and lead)?
    pub holder: bool,
    /// Cores.
    pub cpu: f64,
    /// Cores that it was ready to take and others had.
    pub waited: f64,
    /// Resident bytes at the end, and the most.
    pub memory: (u64, u64),
    /// Descriptors at the end.
    pub descriptors: usize,
    /// Bytes of its files at the end.
    pub disk: u64,
    /// What they hold by cause; missing where they can't be read.
    pub parts: Option<Parts>,
    /// Bytes a second handed to files.
    pub written_per_s: f64,
    /// Bytes a second on its connections to other core machines, both ways; missing without `ss`.
    pub peers_per_s: Option<f64>,
}

/// What one gatekeeper used, in the mean.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GateUse {
    /// Cores; of those that don't count their messages.
    pub cpu: f64,
    /// Cores that those were ready to take and others had.
    pub waited: f64,
    /// Resident bytes of its part of a process, at the end and the most.
    pub memory: (f64, f64),
    /// Messages and bytes a second, by kind.
    pub kinds: BTreeMap<String, (f64, f64)>,
    /// Messages a second, both ways.
    pub messages: f64,
    /// Bytes a second, both ways, without heads of packets.
    pub bytes: f64,
    /// Requests a second that were asked, answered, beyond the quota, refused.
    pub requests: [f64; 4],
}

/// A measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// What was asked for.
    pub cell: Cell,
    /// How busy the machine was in the seconds that were measured.
    pub machine: Machine,
    /// What did not come about.
    pub faults: Vec<String>,
    /// Seconds to the acknowledgement of the first configuration, and its bytes.
    pub first: (f64, usize),
    /// Seconds until all gatekeepers were ready.
    pub ready_s: f64,
    /// Seconds that were measured.
    pub seconds: f64,
    /// The core machines.
    pub core: Vec<CoreUse>,
    /// A gatekeeper.
    pub gate: GateUse,
    /// Cores that all hollow gatekeepers took together.
    pub hollow_cpu: f64,
    /// The hollow workers.
    pub workers: workers::Report,
    /// Milliseconds from each change's sending to its acknowledgement: median, most.
    pub ack_ms: (f64, f64),
    /// And until it was in force at the last gatekeeper: median, most.
    pub in_force_ms: (f64, f64),
    /// Changes that were sent, and those that were in force everywhere by the end.
    pub changes: (usize, usize),
    /// Links that went down, and most seconds that a tick came late.
    pub downs: u64,
    /// See `downs`.
    pub late_s: f64,
}

/// Where the core's processes are.
pub struct Core {
    folder: PathBuf,
    /// Its machines.
    pub processes: Vec<Process>,
    /// Where workers and operators call.
    pub controls: Vec<SocketAddr>,
    /// The port for own messages.
    pub inner: u16,
    zones: usize,
    beat_ms: u64,
}

/// A port that nobody uses now.
pub fn port() -> Result<u16, CapacityError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(CapacityError::Socket)?;
    Ok(listener.local_addr().map_err(CapacityError::Socket)?.port())
}

impl Core {
    /// Waits until all gatekeepers of these processes are ready; an error if the core takes too much memory meanwhile.
    pub fn wait_ready(&self, gates: &[Process], within: Duration) -> Result<(), CapacityError> {
        let until = Instant::now() + within;
        for gate in gates {
            loop {
                match gate.line(Instant::now() + Duration::from_millis(100)) {
                    Ok(line) if line == "ready" => break,
                    Ok(_) => {}
                    Err(error) if Instant::now() >= until => return Err(error),
                    Err(_) => self.bear()?,
                }
            }
        }
        Ok(())
    }

    /// An error if a machine takes too much memory.
    fn bear(&self) -> Result<(), CapacityError> {
        match self.processes.iter().find(|a| a.memory() > MEMORY_MOST) {
            Some(process) => Err(CapacityError::Memory(process.name.clone(), MEMORY_MOST)),
            None => Ok(()),
        }
    }

    /// Starts `count` core machines with empty disks below `folder`.
    pub fn start(folder: &Path, count: usize, zones: usize, beat_ms: u64) -> Result<Self, CapacityError> {
        let (inner, control) = (port()?, port()?);
        let controls = (0..count).map(|i| SocketAddr::new(address(1, i), control)).collect();
        let mut core = Core { folder: folder.into(), processes: Vec::new(), controls, inner, zones, beat_ms };
        for number in 0..count {
            let data = core.data(number);
            std::fs::create_dir_all(&data).map_err(|e| CapacityError::File(data.display().to_string(), e))?;
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

    /// Starts a machine again that was killed; the system as a whole does not start for the first time.
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
        std::fs::write(&path, text).map_err(|e| CapacityError::File(path.display().to_string(), e))?;
        Ok(path)
    }

    /// Settings of the `number`th machine of a group of addresses: 1, the core; others, gatekeepers.
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
        let (inner, beat) = (self.inner, self.beat_ms);
        format!(
            "[self]\nnode_name = \"m-{group}-{number}\"\nip_addr = \"{ip}\"\nzone_name = \"z{zone}\"\nregion_name = \"r0\"\n\
             cold_start = true\n{place}\n[self.saturation]\nmemory_cap_mb = 256\nfile_handles = 20000\n\
             [network]\ninternal_ports = [{inner}, {inner}]\nseed_list = [{}]\n[network.endpoints]\n{endpoints}\
             [network.zones]\n{}\n[substrate]\nheartbeat = \"{beat}ms\"\n[constraints.tolerance]\nmachine_losses = {lost}\n\
             [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\n",
            seeds.join(", "),
            zones.join("\n"),
        )
    }
}

fn job(folder: &Path, name: &str, job: &impl Serialize) -> Result<String, CapacityError> {
    let path = folder.join(format!("{name}.json"));
    let text = serde_json::to_string(job).unwrap_or_default();
    std::fs::write(&path, text).map_err(|e| CapacityError::File(path.display().to_string(), e))?;
    Ok(path.display().to_string())
}

/// Starts a process with a job of its own.
pub fn start_with(
    folder: &Path,
    kind: &str,
    name: &str,
    told: &impl Serialize,
) -> Result<Process, CapacityError> {
    let path = job(folder, name, told)?;
    Process::start(name, &[kind, &path], None, &folder.join(format!("{name}.log")))
}

/// No core machine may take more memory in a measurement: bytes. The machine is not ours alone.
const MEMORY_MOST: u64 = 3_000_000_000;

/// In which processes the gatekeepers run: how many in each; the first one's count their messages.
fn split(gates: usize, together: usize) -> Vec<usize> {
    let counting = (gates / 2).clamp(1, 4);
    let rest = gates - counting;
    let processes = rest.div_ceil(together);
    let each = |i| rest / processes + usize::from(i < rest % processes);
    std::iter::once(counting).chain((0..processes).map(each)).collect()
}

/// Starts the hollow workers of a cell.
pub fn starting_workers(
    folder: &Path,
    cell: &Cell,
    controls: &[SocketAddr],
) -> Result<Vec<Process>, CapacityError> {
    let processes = cell.workers.div_ceil(4000);
    let mut started = Vec::new();
    for number in 0..processes {
        let told = workers::Job {
            name: format!("i-{number}"),
            group: 9 + number as u8,
            workers: cell.workers / processes + usize::from(number < cell.workers % processes),
            services: cell.services,
            zones: cell.zones,
            capacity: 8,
            controls: controls.to_vec(),
            beat_ms: cell.beat_ms,
            replaced_per_s: cell.replaced_per_s / processes as f64,
            fresh: cell.fresh,
            serve: false,
        };
        started.push(start_with(folder, "workers", &format!("workers-{number}"), &told)?);
    }
    Ok(started)
}

/// Starts its hollow gatekeepers.
pub fn starting_gates(folder: &Path, cell: &Cell, core: &Core) -> Result<Vec<Process>, CapacityError> {
    let mut first = 0;
    let mut started = Vec::new();
    for (number, gates) in split(cell.gates, cell.together).into_iter().enumerate() {
        let told = simulated_edges::Job {
            settings: (first..first + gates).map(|i| core.settings(2, i, "")).collect(),
            requests_per_s: cell.requests_per_s,
            tenants: cell.tenants,
            routes: cell.routes,
            work_ms: 100,
            tell: cell.tell,
            counted: if number == 0 { gates } else { 0 },
        };
        first += gates;
        started.push(start_with(folder, "edges", &format!("hollow-{number}"), &told)?);
    }
    Ok(started)
}

/// Median and most.
fn spread(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (workers::percentile(&values, 0.5), workers::percentile(&values, 1.0))
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

/// Sends as many changes as come to what is measured, however long each takes; of each: its number, when it was sent,
/// seconds to its acknowledgement.
fn changing(cell: &Cell, operator: &mut Operator, faults: &mut Vec<String>) -> Vec<(u64, f64, f64)> {
    let begun = Instant::now();
    let mut sent = Vec::new();
    let wanted = (cell.changes_per_s * cell.seconds).round() as usize;
    while sent.len() < wanted {
        let number = sent.len() as u64 + 2;
        let at = children::epoch();
        match operator.amend(&operator::change(number), Duration::from_secs(20)) {
            Ok(took) => sent.push((number, at, took)),
            Err(error) => {
                faults.push(format!("change {number}: {error}"));
                break;
            }
        }
        let next = Duration::from_secs_f64(sent.len() as f64 / cell.changes_per_s);
        std::thread::sleep(next.saturating_sub(begun.elapsed()));
    }
    std::thread::sleep(Duration::from_secs_f64(cell.seconds).saturating_sub(begun.elapsed()));
    sent
}

/// Measures a cell, in a folder of its own that is empty.
pub fn measure(folder: &Path, cell: &Cell) -> Result<Measured, CapacityError> {
    let mut faults = Vec::new();
    let core = Core::start(folder, cell.core, cell.zones, cell.beat_ms)?;
    let mut operator = Operator::new(core.controls.clone());
    let body = operator::whole(cell.sizes());
    let first = (operator.amend(&body, Duration::from_secs(60))?, body.len());
    drop(body);
    let mut hands = starting_workers(folder, cell, &core.controls)?;
    let begun = Instant::now();
    let mut gates = starting_gates(folder, cell, &core)?;
    match core.wait_ready(&gates, Duration::from_secs(60)) {
        Err(error @ CapacityError::Memory(..)) => return Err(error),
        Err(error) => faults.push(format!("not all gatekeepers are ready after 60 s: {error}")),
        Ok(()) => {}
    }
    let ready_s = begun.elapsed().as_secs_f64();
    gates.iter_mut().try_for_each(|g| g.order("ask"))?;
    std::thread::sleep(Duration::from_secs_f64(cell.warm_s));
    let pids: Vec<u32> = core.processes.iter().map(Process::pid).collect();
    let (links, links_at) = (children::sent_to_port(core.inner, &pids), Instant::now());
    gates.iter_mut().chain(&mut hands).try_for_each(|p| p.order("begin"))?;
    let (at, before, watch) = (Instant::now(), usages(&core.processes, &gates), Watch::begin());
    let sent = changing(cell, &mut operator, &mut faults);
    let (seconds, after, machine) =
        (at.elapsed().as_secs_f64(), usages(&core.processes, &gates), watch.end());
    if !sent.is_empty() {
        // The last one may be on its way still.
        std::thread::sleep(Duration::from_secs(2));
    }
    gates.iter_mut().chain(&mut hands).try_for_each(|p| p.order("end"))?;
    let links_s = links_at.elapsed().as_secs_f64();
    let links_after = children::sent_to_port(core.inner, &pids);
    let told: Vec<simulated_edges::Report> = gates.iter().map(report).collect::<Result<_, _>>()?;
    let worked: Vec<workers::Report> = hands.iter().map(report).collect::<Result<_, _>>()?;
    drop((gates, hands));

    let mut syncs: BTreeMap<&str, u64> = BTreeMap::new();
    told.iter().flat_map(|t| &t.syncs).for_each(|(ip, n)| *syncs.entry(ip).or_default() += n);
    let holder = syncs.iter().max_by_key(|(_, n)| **n).map(|(ip, _)| (*ip).to_owned());
    let uses = core.processes.iter().enumerate().map(|(i, _)| {
        let (was, is) = (before[i], after[i]);
        let peers = |links: &Option<Vec<(u32, u64)>>| links.as_ref().map(|l| l[i].1 as f64);
        CoreUse {
            holder: holder.as_deref() == Some(address(1, i).to_string().as_str()),
            cpu: (is.cpu_s - was.cpu_s) / seconds,
            waited: (is.waited_s - was.waited_s) / seconds,
            memory: (is.rss, is.peak),
            descriptors: is.descriptors,
            disk: children::folder_bytes(&core.data(i)),
            parts: None,
            written_per_s: (is.written - was.written) as f64 / seconds,
            peers_per_s: peers(&links_after).zip(peers(&links)).map(|(b, a)| (b - a).max(0.0) / links_s),
        }
    });
    let mut uses: Vec<CoreUse> = uses.collect();
    let n = core.processes.len();
    let spent = |i: usize| (after[n + i].cpu_s - before[n + i].cpu_s) / seconds;
    let hollow_cpu = (0..told.len()).map(spent).sum();
    let folders: Vec<PathBuf> = (0..n).map(|i| core.data(i)).collect();
    // Files are read once nobody writes them any more.
    drop(core);
    for (used, folder) in uses.iter_mut().zip(folders) {
        match files::read(&folder) {
            Ok(parts) => used.parts = Some(parts),
            Err(error) => faults.push(error),
        }
    }
    let mut in_force: BTreeMap<u64, (usize, f64)> = BTreeMap::new();
    for (number, (gates, at)) in told.iter().flat_map(|t| &t.in_force) {
        let sum = in_force.entry(*number).or_default();
        *sum = (sum.0 + gates, sum.1.max(*at));
    }
    let everywhere = sent.iter().filter_map(|(number, at, _)| {
        in_force.get(number).filter(|(gates, _)| *gates == cell.gates).map(|(_, last)| (last - at) * 1e3)
    });
    let everywhere: Vec<f64> = everywhere.collect();
    Ok(Measured {
        cell: cell.clone(),
        machine,
        faults,
        first,
        ready_s,
        seconds,
        core: uses,
        gate: gate_use(&told, &before[n..], &after[n..], seconds),
        hollow_cpu,
        workers: workers_use(worked),
        ack_ms: spread(sent.iter().map(|s| s.2 * 1e3).collect()),
        changes: (sent.len(), everywhere.len()),
        in_force_ms: spread(everywhere),
        downs: told.iter().map(|t| t.downs).sum(),
        late_s: told.iter().map(|t| t.late_s).fold(0.0, f64::max),
    })
}

fn usages(processes: &[Process], gates: &[Process]) -> Vec<Usage> {
    processes.iter().chain(gates).map(Process::usage).collect()
}

fn workers_use(all: Vec<workers::Report>) -> workers::Report {
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

/// What one gatekeeper used: processor and memory of those that don't count, messages of those that do.
fn gate_use(told: &[simulated_edges::Report], before: &[Usage], after: &[Usage], seconds: f64) -> GateUse {
    let plain = usize::from(told.len() > 1);
    let mut gate = GateUse::default();
    let gates: usize = told[plain..].iter().map(|t| t.gates).sum();
    let each = 1.0 / gates.max(1) as f64;
    for (was, is) in before.iter().zip(after).skip(plain) {
        gate.cpu += (is.cpu_s - was.cpu_s) / seconds * each;
        gate.waited += (is.waited_s - was.waited_s) / seconds * each;
        gate.memory.0 += is.rss as f64 * each;
        gate.memory.1 += is.peak as f64 * each;
    }
    for t in told.iter().filter(|t| t.counted > 0) {
        let each = 1.0 / (t.counted as f64 * t.seconds.max(1e-3));
        for (kind, tally) in &t.kinds {
            let (messages, bytes) = (tally.messages as f64 * each, tally.bytes as f64 * each);
            gate.kinds.insert(kind.clone(), (messages, bytes));
            (gate.messages, gate.bytes) = (gate.messages + messages, gate.bytes + bytes);
        }
    }
    let all: usize = told.iter().map(|t| t.gates).sum();
    for t in told {
        let each = 1.0 / (all.max(1) as f64 * t.seconds.max(1e-3));
        (0..4).for_each(|i| gate.requests[i] += t.requests[i] as f64 * each);
    }
    gate
}
