//! The driver of the core role. It connects the state machine in [`crate::control_plane`], which makes all decisions, to
//! sockets, the disk and the clock.

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

/// Divisor of the process's memory limit that gives the memory for bodies of API calls in flight.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Delay after a failed attempt to open the disk.
const DISK_RETRY: Duration = Duration::from_millis(200);
/// Maximum time after SIGTERM for responding to calls in flight and transferring the leadership.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the process ends in which the last messages are written to the sockets.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// A running core machine: the state machine and the resources on which its effects are executed.
struct CoreServer {
    core: RefCell<CoreNode>,
    clock: Clock,
    /// Outgoing links to other core machines.
    links: PeerLinks,
    /// Queues of outgoing messages on incoming connections.
    inbound: RefCell<HashMap<ConnectionId, UnboundedSender<PeerMessage>>>,
    /// API calls that wait for the state machine's response.
    calls: RefCell<HashMap<u64, oneshot::Sender<ApiResponse>>>,
    /// Queue of write batches for the thread that writes the disk.
    disk: blocking::Sender<WriteBatch>,
    next_call: Cell<u64>,
    body_budget: Rc<BodyBudget>,
    is_shutting_down: Cell<bool>,
}

impl CoreServer {
    /// Passes an event to the state machine and executes the resulting effects.
    fn handle(self: &Rc<Self>, event: Event) {
        self.update(|core, now, effects| core.handle(now, event, effects));
    }

    /// Runs `change` on the state machine and executes the resulting effects.
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

    /// Opens a link to another core machine. Messages from the link are passed to the state machine as events.
    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        let events =
            LinkEventMapper { up: Event::LinkUp, received: Event::PeerMessage, down: Event::LinkDown };
        self.links.open(ip, events.for_peer(ip, move |event| this.handle(event)));
    }

    /// Accepts connections of edges and other core machines; never returns.
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

    fn has_leadership(&self) -> bool {
        self.core.borrow().has_leadership_to_transfer()
    }
}

/// The source of timer events and of completed disk writes.
struct EventSource {
    ticks: Interval,
    /// Sequence numbers of the batches that are synced to the disk.
    synced: UnboundedReceiver<u64>,
}

impl EventSource {
    fn new(synced: UnboundedReceiver<u64>) -> Self {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK_SECS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        EventSource { ticks, synced }
    }

    /// Waits for the next event. The returned future may be dropped while it waits; no event is lost.
    async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.ticks.tick() => Event::Tick,
            Some(number) = self.synced.recv() => Event::Persisted(number),
        }
    }
}

/// Opens the disk. Errors of the file system or the database are retried without limit; invalid content is returned as an
/// error at once.
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

/// Runs the core role until the process receives a signal to end.
///
/// Fails if a setting is missing, a signal handler can't be installed, an address can't be bound, or the content of the
/// disk is invalid. Errors of the file system or the database while the disk is opened are retried until it can be opened
/// or the process receives a signal to end.
pub async fn run(mut settings: Settings) -> Result<(), RunError> {
    // Signal handlers are installed first: an unhandled signal would end the process without a graceful shutdown.
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
    let (server, mut event_source) = start(clock, settings, store, stored)?;
    let peer_listener = TcpListener::bind(peer_address).await.map_err(RunError::Listen)?;
    let control_listener = TcpListener::bind(control_address).await.map_err(RunError::Listen)?;
    server.update(|core, _, effects| core.start(effects));
    tokio::task::spawn_local(Rc::clone(&server).accept_peers(peer_listener));
    tokio::task::spawn_local(control_api::serve(Rc::clone(&server), control_listener));
    run_until_shutdown(&server, &mut event_source, &mut signals).await?;
    shut_down(&server, &mut event_source).await;
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

/// Creates the server from the state loaded from the disk, and starts the thread that writes to the disk.
fn start(
    clock: Clock,
    settings: Settings,
    store: ReplicaStore,
    stored: LoadedState,
) -> Result<(Rc<CoreServer>, EventSource), RunError> {
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
    Ok((server, EventSource::new(synced)))
}

/// Runs the event loop until a signal to end. Fails once the state machine reports a fatal error.
async fn run_until_shutdown(
    server: &Rc<CoreServer>,
    event_source: &mut EventSource,
    signals: &mut SignalListener,
) -> Result<(), RunError> {
    loop {
        tokio::select! {
            event = event_source.next() => server.handle(event),
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

/// Shuts down gracefully: transfers the leadership and responds to the calls in flight, within [`SHUTDOWN_TIMEOUT`].
async fn shut_down(server: &Rc<CoreServer>, event_source: &mut EventSource) {
    tracing::info!(
        calls = server.calls.borrow().len(),
        leads = server.has_leadership(),
        "core role draining"
    );
    server.is_shutting_down.set(true);
    server.handle(Event::Shutdown);
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, async {
        while !server.calls.borrow().is_empty() || server.has_leadership() {
            let event = event_source.next().await;
            server.handle(event);
        }
        tokio::time::sleep(FLUSH_TIME).await;
    })
    .await;
    tracing::info!(
        calls = server.calls.borrow().len(),
        leads = server.has_leadership(),
        "core role stopping"
    );
}
