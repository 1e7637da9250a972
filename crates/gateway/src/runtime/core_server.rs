//! The driver of the core role: the sockets, the disk and the clock around the state machine in
//! [`crate::control_plane`], which decides everything.

mod control_api;
#[cfg(test)]
mod control_api_tests;

use crate::control_plane::{ConnectionId, CoreNode, Effect, Event, TICK_SECS};
use crate::protocol::PeerMessage;
use crate::runtime::{Clock, ProcessSignal, RunError, SignalListener};
use crate::settings::Settings;
use crate::storage::{LoadedState, ReplicaStore, StorageError, WriteBatch};
use crate::transport::http_server::BodyBudget;
use crate::transport::peer_link::{self, LinkEvent, LinkEventMapper, PeerLinks};
use control_api::ApiResponse;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{Interval, MissedTickBehavior};

/// Bodies of calls in flight may take the process's memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Time between two attempts to open a disk in trouble.
const DISK_RETRY: Duration = Duration::from_millis(200);
/// After SIGTERM calls in flight are answered and the lead is handed over for so long at the most.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(900);
/// What was just sent gets so long to leave before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// A running core machine: the state machine, and what carries out its effects.
struct CoreServer {
    core: RefCell<CoreNode>,
    clock: Clock,
    /// Links that this process opened to other core machines.
    links: PeerLinks,
    /// Outgoing messages on the connections that others opened.
    inbound: RefCell<HashMap<ConnectionId, UnboundedSender<PeerMessage>>>,
    /// Calls that wait for the state machine's response.
    calls: RefCell<HashMap<u64, oneshot::Sender<ApiResponse>>>,
    /// Batches for the thread that writes the disk.
    disk: blocking::Sender<WriteBatch>,
    next_call: Cell<u64>,
    body_budget: Rc<BodyBudget>,
    is_shutting_down: Cell<bool>,
}

impl CoreServer {
    /// Feeds an event into the state machine, and carries out the effects.
    fn handle(self: &Rc<Self>, event: Event) {
        self.update(|core, now, effects| core.handle(now, event, effects));
    }

    /// Changes the state machine, and carries out the effects.
    fn update(self: &Rc<Self>, change: impl FnOnce(&mut CoreNode, f64, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        change(&mut self.core.borrow_mut(), self.clock.now(), &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(ip) => self.connect(ip),
            Effect::Disconnect(ip) => self.links.close(ip),
            Effect::SendToPeer(ip, message) => self.links.send(ip, message),
            Effect::SendToSession(connection, message) => {
                if let Some(outgoing) = self.inbound.borrow().get(&connection) {
                    let _ = outgoing.send(message);
                }
            }
            Effect::Respond(call, status, body) => {
                if let Some(respond) = self.calls.borrow_mut().remove(&call) {
                    let _ = respond.send(ApiResponse { status, body });
                }
            }
            Effect::Persist(batch) => {
                let _ = self.disk.send(batch);
            }
        }
    }

    /// Opens a link to another core machine, whose messages become events.
    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        let events =
            LinkEventMapper { up: Event::LinkUp, received: Event::PeerMessage, down: Event::LinkDown };
        self.links.open(ip, events.for_peer(ip, move |event| this.handle(event)));
    }

    /// Accepts connections of edges and other core machines, for ever.
    async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        let (opening, server) = (Rc::clone(&self), self);
        let opened = move |connection| {
            let (sender, outgoing) = unbounded_channel();
            opening.inbound.borrow_mut().insert(connection, sender);
            outgoing
        };
        let on_event = move |connection, event| match event {
            LinkEvent::Received(message) => server.handle(Event::SessionMessage(connection, message)),
            LinkEvent::Down => {
                server.inbound.borrow_mut().remove(&connection);
                server.handle(Event::SessionClosed(connection));
            }
            LinkEvent::Up => {}
        };
        peer_link::listen(listener, opened, on_event).await;
    }

    fn leads(&self) -> bool {
        self.core.borrow().has_leadership_to_transfer()
    }
}

/// What happens in time: ticks, and finished writes.
struct Timeline {
    ticks: Interval,
    /// Numbers of the batches that are on the disk.
    synced: UnboundedReceiver<u64>,
}

impl Timeline {
    fn new(synced: UnboundedReceiver<u64>) -> Self {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK_SECS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Timeline { ticks, synced }
    }

    /// The next event. May be dropped while it waits: nothing is lost.
    async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.ticks.tick() => Event::Tick,
            Some(number) = self.synced.recv() => Event::Persisted(number),
        }
    }
}

/// Opens the disk. One that is in trouble is retried for ever; one whose content can't be used is not.
async fn open_disk(data: &Path, is_first_seed: bool) -> Result<(ReplicaStore, LoadedState), StorageError> {
    loop {
        match ReplicaStore::open(data, is_first_seed) {
            Err(error @ (StorageError::Database(_) | StorageError::DataFolder(_))) => {
                tracing::warn!(%error, "failed to open the disk, retrying");
                tokio::time::sleep(DISK_RETRY).await;
            }
            opened => return opened,
        }
    }
}

/// Runs the core role until the process is asked to end.
///
/// Fails if a setting is missing, a signal handler can't be installed, an address can't be bound, or the disk holds
/// what can't be read. A disk in trouble is no failure: it is retried until it can be opened or the process is to end.
pub async fn run(mut settings: Settings) -> Result<(), RunError> {
    // Before anything else: an unhandled signal would end the process with all that it has begun.
    let mut signals = SignalListener::new().map_err(RunError::Signals)?;
    let clock = Clock::start();
    let missing = RunError::MissingSetting;
    let control_address = settings.control_address.ok_or(missing("network.endpoints.control_port"))?;
    let data = settings.data_path.clone().ok_or(missing("self.data_path"))?;
    let mut opening = std::pin::pin!(open_disk(&data, settings.is_first_seed()));
    let (store, stored) = loop {
        tokio::select! {
            opened = &mut opening => break opened.map_err(RunError::Storage)?,
            signal = signals.next() => match signal {
                ProcessSignal::Reload(reloaded) => settings = *reloaded,
                ProcessSignal::Shutdown => return Ok(()),
            },
        }
    };
    log_start(&settings, &stored);
    let peer_address = (settings.ip, settings.internal_port);
    let (server, mut timeline) = start(clock, settings, store, stored)?;
    let peer_listener = TcpListener::bind(peer_address).await.map_err(RunError::Listen)?;
    let control_listener = TcpListener::bind(control_address).await.map_err(RunError::Listen)?;
    server.update(|core, _, effects| core.start(effects));
    tokio::task::spawn_local(Rc::clone(&server).accept_peers(peer_listener));
    tokio::task::spawn_local(control_api::serve(Rc::clone(&server), control_listener));
    run_until_shutdown(&server, &mut timeline, &mut signals).await?;
    shut_down(&server, &mut timeline).await;
    Ok(())
}

fn log_start(settings: &Settings, stored: &LoadedState) {
    tracing::info!(
        node = settings.node,
        disk = format!("{:x}", stored.disk_id),
        fresh = stored.is_new,
        cold_start = settings.cold_start,
        term = stored.raft_state.term,
        snapshot = stored.raft_state.snapshot.as_ref().map_or(0, |s| s.index),
        entries = stored.raft_state.entries.len(),
        workers = stored.workers.len(),
        "core role starting"
    );
}

/// Makes the server from what the disk holds, and starts the thread that writes to it.
fn start(
    clock: Clock,
    settings: Settings,
    store: ReplicaStore,
    stored: LoadedState,
) -> Result<(Rc<CoreServer>, Timeline), RunError> {
    let links = PeerLinks::new(settings.internal_port);
    let body_budget = BodyBudget::new(settings.memory_bytes as usize / BODY_MEMORY_DIVISOR);
    let core = CoreNode::new(clock.now(), settings, stored).map_err(RunError::Snapshot)?;
    let (sender, synced) = unbounded_channel();
    let disk = store.spawn_writer(move |number| {
        let _ = sender.send(number);
    });
    let server = Rc::new(CoreServer {
        core: RefCell::new(core),
        clock,
        links,
        inbound: RefCell::default(),
        calls: RefCell::default(),
        disk,
        next_call: Cell::new(1),
        body_budget,
        is_shutting_down: Cell::new(false),
    });
    Ok((server, Timeline::new(synced)))
}

/// The run loop. Fails once the state machine says that it can't go on.
async fn run_until_shutdown(
    server: &Rc<CoreServer>,
    timeline: &mut Timeline,
    signals: &mut SignalListener,
) -> Result<(), RunError> {
    loop {
        tokio::select! {
            event = timeline.next() => server.handle(event),
            signal = signals.next() => match signal {
                ProcessSignal::Reload(settings) => {
                    server.update(|core, _, effects| core.apply_settings(*settings, effects));
                }
                ProcessSignal::Shutdown => return Ok(()),
            },
        }
        let fatal_error = server.core.borrow_mut().fatal_error.take();
        if let Some(error) = fatal_error {
            return Err(RunError::Snapshot(error));
        }
    }
}

/// The graceful shutdown: hands the lead over and answers the calls in flight, for [`SHUTDOWN_TIMEOUT`] at the most.
async fn shut_down(server: &Rc<CoreServer>, timeline: &mut Timeline) {
    tracing::info!(calls = server.calls.borrow().len(), leads = server.leads(), "core role draining");
    server.is_shutting_down.set(true);
    server.handle(Event::Shutdown);
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, async {
        while !server.calls.borrow().is_empty() || server.leads() {
            let event = timeline.next().await;
            server.handle(event);
        }
        tokio::time::sleep(FLUSH_TIME).await;
    })
    .await;
    tracing::info!(calls = server.calls.borrow().len(), leads = server.leads(), "core role stopping");
}
