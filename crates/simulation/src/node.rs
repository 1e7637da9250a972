//! The simulated processes: core and edge nodes with their clocks, their start and end, and the execution of their state
//! machines' effects.

use crate::faults::{self, SimulatedDisk};
use crate::network::{LinkKey, NodeRef};
use crate::partitions::Participant;
use crate::{SimulationEvent, World};
use std::net::{IpAddr, Ipv4Addr};
use whinstall_gateway::control_plane::{self, CoreNode};
use whinstall_gateway::data_plane::{self, EdgeNode};
use whinstall_gateway::protocol::PeerMessage;
use whinstall_gateway::settings::{LossTolerance, Settings};

/// A core node: its process, disk and clock.
pub struct SimulatedCore {
    /// The state machine, while the process runs.
    pub core: Option<CoreNode>,
    /// How often the process started.
    pub incarnation: u64,
    /// The node's disk.
    pub disk: SimulatedDisk,
    /// When the process last started.
    pub booted_at: f64,
    /// Rate of the node's clock: its seconds per simulated second.
    pub clock_rate: f64,
    /// Whether the process is stopped.
    pub frozen: bool,
    /// Events that came while it was frozen, in order.
    pub backlog: Vec<control_plane::Event>,
    /// Whether its next start is its first, with the whole system starting.
    pub first_start: bool,
    /// Whether it is on the operators' list.
    pub listed: bool,
    /// The core nodes in its `seed_list`.
    pub seeds: Vec<usize>,
}

/// An edge node: its process and clock.
pub struct SimulatedEdge {
    /// The state machine, while the process runs.
    pub edge: Option<EdgeNode>,
    /// How often the process started.
    pub incarnation: u64,
    /// When the process last started.
    pub booted_at: f64,
    /// Rate of the node's clock: its seconds per simulated second.
    pub clock_rate: f64,
    /// Whether the process is stopped.
    pub frozen: bool,
    /// Until this time the checks that require contact with the core are suspended for this node.
    pub faulty_until: f64,
    /// The core nodes in its `seed_list`.
    pub seeds: Vec<usize>,
}

/// The address of a core node.
pub fn core_ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, n as u8 + 1))
}

pub(crate) fn zone(n: usize) -> String {
    ["a", "b", "c"][n % 3].into()
}

impl World {
    /// The settings file of a node, as its next start would read it.
    pub fn settings(&self, who: NodeRef) -> Settings {
        let (n, core) = match who {
            NodeRef::Core(n) => (n, true),
            NodeRef::Edge(n) => (n, false),
        };
        let text = include_str!("../../gateway/tests/fixtures/settings.toml");
        let mut settings = Settings::from_toml(text).expect("settings");
        settings.node = format!("{}-{n}", if core { "core" } else { "edge" });
        settings.ip = if core { core_ip(n) } else { IpAddr::V4(Ipv4Addr::new(10, 0, 2, n as u8 + 1)) };
        settings.zone = zone(n);
        settings.cold_start = if core { self.cores[n].first_start } else { self.edges[n].incarnation == 0 };
        settings.seeds = self.seeds(who);
        settings.envelope.resync_bound = std::time::Duration::from_secs_f64(self.plan.resync);
        settings.tolerance = LossTolerance { machines: self.plan.losses, zones: 0, regions: 0 };
        settings
    }

    pub(crate) fn boot(&mut self, who: NodeRef) {
        if self.has_process(who) {
            return;
        }
        if matches!(who, NodeRef::Core(_)) {
            self.mark_core_disturbed();
        }
        let settings = self.settings(who);
        match who {
            NodeRef::Core(n) => {
                let node = &mut self.cores[n];
                node.incarnation += 1;
                node.booted_at = self.now;
                node.frozen = false;
                node.backlog.clear();
                node.first_start = false;
                if self.plan.disk_creation_step > 0.0 && node.disk.start_creation() {
                    let making = SimulationEvent::CreatingDisk(n, node.incarnation, settings.cold_start);
                    return self.schedule_after(self.plan.disk_creation_step, making);
                }
                self.start_core(n, settings);
            }
            NodeRef::Edge(n) => {
                let node = &mut self.edges[n];
                node.incarnation += 1;
                node.booted_at = self.now;
                node.frozen = false;
                let incarnation = node.incarnation;
                let mut edge = EdgeNode::new(settings, incarnation);
                let mut out = Vec::new();
                edge.start(&mut out);
                node.edge = Some(edge);
                self.edge_effects(n, out);
                self.schedule_after(data_plane::TICK_SECS, SimulationEvent::EdgeTick(n, incarnation));
            }
        }
    }

    /// Kills a process. Its connections are reset at once, or left half-open if `dark`.
    pub(crate) fn kill(&mut self, who: NodeRef, dark: bool) {
        match who {
            NodeRef::Core(n) => {
                self.mark_core_disturbed();
                self.cores[n].core = None;
                self.pending.retain(|(core, _), _| *core != n);
            }
            NodeRef::Edge(n) => {
                self.edges[n].edge = None;
                self.auditor.edge_died(n, self.edges[n].incarnation);
            }
        }
        if !dark {
            self.reset_links(who);
        } else {
            self.links.forget_own(who);
        }
    }

    /// Hands an event to a core node's state machine, or defers it while the process is frozen.
    pub fn core_event(&mut self, n: usize, event: control_plane::Event) {
        let node = &mut self.cores[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let Some(core) = node.core.as_mut() else { return };
        if node.frozen {
            // A frozen process gets its events when it resumes. Its timer then fires once if it is overdue, as that of
            // the runtime does (`MissedTickBehavior::Delay`).
            let is_tick = |event: &control_plane::Event| matches!(event, control_plane::Event::Tick);
            if !is_tick(&event) || !node.backlog.iter().any(is_tick) {
                node.backlog.push(event);
            }
            return;
        }
        let mut out = Vec::new();
        core.handle(now, event, &mut out);
        self.core_effects(n, out);
    }

    pub(crate) fn core_effects(&mut self, n: usize, effects: Vec<control_plane::Effect>) {
        for effect in effects {
            match effect {
                control_plane::Effect::Connect(ip) => self.connect(NodeRef::Core(n), ip),
                control_plane::Effect::SendToPeer(ip, msg) => self.send_message(NodeRef::Core(n), ip, msg),
                control_plane::Effect::SendToSession(conn, msg) => self.send_response(conn, msg),
                control_plane::Effect::Respond(call, status, body) => {
                    self.core_responded(n, call, status, &body)
                }
                control_plane::Effect::Disconnect(ip) => self.disconnect(NodeRef::Core(n), ip),
                control_plane::Effect::Persist(put) => {
                    self.snapshot_written(n, &put);
                    let (incarnation, sync) = (self.cores[n].incarnation, self.plan.sync);
                    let takes = sync + faults::snapshot_bytes(&put) as f64 / self.plan.disk_rate;
                    let disk = &mut self.cores[n].disk;
                    let number = put.sequence;
                    disk.writing.push(put);
                    disk.free_at = disk.free_at.max(self.now).max(disk.stalled_until) + takes;
                    let at = disk.free_at;
                    self.schedule_at(at, SimulationEvent::DiskDone(n, incarnation, number));
                }
            }
        }
    }

    pub(crate) fn disk_done(&mut self, n: usize, incarnation: u64, put: u64) {
        let (now, node) = (self.now, &mut self.cores[n]);
        if node.incarnation != incarnation || node.core.is_none() {
            return;
        }
        if let Some(until) = node.disk.blocked_until(now) {
            let at = until + self.plan.sync;
            return self.schedule_at(at, SimulationEvent::DiskDone(n, incarnation, put));
        }
        node.disk.sync_up_to(put);
        self.core_event(n, control_plane::Event::Persisted(put));
    }

    /// Calls an edge node's state machine, unless its process is frozen, and carries out the effects.
    pub fn edge_call(&mut self, n: usize, f: impl FnOnce(&mut EdgeNode, f64, &mut Vec<data_plane::Effect>)) {
        let node = &mut self.edges[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let Some(edge) = node.edge.as_mut().filter(|_| !node.frozen) else { return };
        let mut out = Vec::new();
        f(edge, now, &mut out);
        self.edge_effects(n, out);
    }

    pub(crate) fn edge_effects(&mut self, n: usize, effects: Vec<data_plane::Effect>) {
        let incarnation = self.edges[n].incarnation;
        for effect in effects {
            match effect {
                data_plane::Effect::Connect(ip) => self.connect(NodeRef::Edge(n), ip),
                data_plane::Effect::Disconnect(ip) => self.disconnect(NodeRef::Edge(n), ip),
                data_plane::Effect::Send(ip, msg) => self.send_message(NodeRef::Edge(n), ip, msg),
                data_plane::Effect::Dispatch { id, attempt, worker, timeout_secs: within, .. } => {
                    self.attempt_dispatched(n, incarnation, id, attempt, worker, within);
                }
                data_plane::Effect::CancelAttempt(id, attempt) => {
                    self.attempt_cancelled(n, incarnation, id, attempt)
                }
                data_plane::Effect::Respond(id, answer) => self.answered(n, incarnation, id, answer),
                data_plane::Effect::CloseIdleConnections(_) => {}
                data_plane::Effect::SendLoadReport(to, load) => {
                    for ip in to {
                        // One load report in a hundred is lost.
                        if let (IpAddr::V4(v4), true) = (ip, self.rng.f64() > 0.01) {
                            let delay = self.delay();
                            let to = usize::from(v4.octets()[3]) - 1;
                            if !self.links.reaches(Participant::Edge(n), Participant::Edge(to)) {
                                continue;
                            }
                            self.schedule_after(
                                delay,
                                SimulationEvent::LoadReportArrives(n, to, load.clone()),
                            );
                        }
                    }
                }
            }
        }
    }

    pub(crate) fn tick_edge(&mut self, n: usize, incarnation: u64) {
        if self.edges[n].incarnation != incarnation || self.edges[n].edge.is_none() {
            return;
        }
        self.edge_call(n, |edge, now, out| edge.handle(now, data_plane::Event::Tick, out));
        let node = &self.edges[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let next = node.edge.as_ref().map_or(data_plane::TICK_SECS, |e| {
            (e.next_wakeup(now) - now).clamp(0.002, data_plane::TICK_SECS)
        });
        self.schedule_after(next, SimulationEvent::EdgeTick(n, incarnation));
    }

    /// Delivers a message to the state machine at the receiving end.
    pub fn deliver(&mut self, key: LinkKey, conn: u64, forth: bool, msg: PeerMessage) {
        match (key.from, forth) {
            (_, true) => self.core_event(key.to, control_plane::Event::SessionMessage(conn, msg)),
            (NodeRef::Core(n), false) => {
                self.core_event(n, control_plane::Event::PeerMessage(core_ip(key.to), msg))
            }
            (NodeRef::Edge(n), false) => {
                let ip = core_ip(key.to);
                self.note_contact(n, key.to);
                self.edge_call(n, |edge, now, out| {
                    edge.handle(now, data_plane::Event::CoreMessage(ip, msg), out)
                });
            }
        }
    }
}
