//! Startup of the service, and its main loop.

use super::configuration::{Configuration, LoadedConfiguration};
use super::descriptors::{DescriptorBudget, MIN_DESCRIPTORS};
use super::error::StartError;
use super::reload::Reload;
use super::service::Service;
use super::settings_file::{self, SettingsFileError};
use crate::net::attempt::AttemptRunner;
use crate::net::core::{Clock, Core, CoreMessage};
use crate::net::counter::{CallTimeouts, CounterClient};
use crate::net::downstream::{Listener, RequestRules, ServingState};
use crate::net::endpoints::{self, EndpointTable, WatchOptions};
use crate::net::fleet::{self, Fleet};
use crate::net::hot_restart::{self, Predecessor, Successor};
use crate::net::upstream::UpstreamClient;
use crate::net::zone_failover::{Gatekeeper, ZoneBalancer};
use crate::net::{operator, CoreSender, HttpTransport};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use whinstall::fleet::FleetSettings;
use whinstall::quota::QuotaSettings;
use whinstall::settings::SocketSettings;
use whinstall::zone_failover::ZoneFailoverSettings;
use whinstall::{Gateway, ListScope, Settings};

/// Time within which discovery sends a new process the changes of the endpoint list, if there are any.
const DISCOVERY_SYNC_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a new process checks whether it can serve.
const CAN_SERVE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Idle connections to nodes are closed this long before the nodes would close them.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Inputs of the service at startup.
pub(super) struct ServeOptions {
    /// Path of the configuration.
    pub(super) path: PathBuf,
    pub(super) configuration: LoadedConfiguration,
    pub(super) zones: Option<ZoneSettings>,
    pub(super) quota: QuotaSettings,
    pub(super) fleet: Option<FleetSettings>,
}

/// Settings of zones, and the file that they were read from.
pub(super) struct ZoneSettings {
    file: PathBuf,
    pub(super) settings: ZoneFailoverSettings,
}

impl ZoneSettings {
    /// Reads the settings of zones from an operators' file.
    pub(super) fn read(file: &Path) -> Result<Self, SettingsFileError> {
        let settings = settings_file::read_record(file, "halls", |o| o.zone_failover)?;
        Ok(ZoneSettings { file: file.to_owned(), settings })
    }
}

/// Starts the service and runs it until a signal terminates it.
///
/// # Errors
/// The service cannot start, or the core task has ended.
pub(super) async fn serve(options: ServeOptions) -> Result<(), StartError> {
    let ServeOptions { path, configuration, zones, quota, fleet } = options;
    let LoadedConfiguration { document, fields, settings, sockets } = configuration;
    let seed = u64::from_str_radix(&fields.seed, 16).map_err(StartError::Seed)?;
    let operator_address = fields.operator_address().map_err(StartError::OperatorVariable)?;
    if operator_address.is_some() && fleet.is_some() {
        return Err(StartError::FleetWithOperator);
    }
    let client_socket = ClientSocket::open(&fields, operator_address.is_some())?;
    let mut signals = Signals::register()?;

    let fixed = fields.fixed_fields();
    let name = fields.name.clone();
    let replicas = settings.replicas;
    let descriptors = service_descriptors(&fields, operator_address.is_some(), fleet.is_some());
    let zones_file = zones.as_ref().map(|zones| zones.file.clone());
    let parts = Parts { fields, settings, sockets, seed, descriptors, zones, quota };
    let mut running = parts.start();
    let fleet = match fleet {
        Some(fleet) => Some(running.start_fleet(fleet, (&name, replicas), seed).await?),
        None => None,
    };
    tracing::info!(name, listen = %client_socket.address, "serving");

    let service = running.service.clone();
    let reload = Reload {
        path,
        fixed,
        in_force: document,
        service: service.clone(),
        discovery: running.discovery,
        zones_file,
    };
    actix_rt::spawn(reload.run(signals.hangup));
    let status = Arc::new(operator::Status::default());
    let (commands, mut received_commands) = mpsc::unbounded_channel();
    if let Some(address) = operator_address {
        let address = operator::start(address, Arc::clone(&status), commands.clone())
            .map_err(|source| StartError::Operator { address, source })?;
        tracing::info!(operator = %address, "operator endpoint listening");
        actix_rt::spawn(watch_can_serve(running.endpoints, Arc::clone(&status)));
    }
    let successor = Successor::default();
    actix_rt::spawn(accept(service.clone(), client_socket, status, successor.clone()));

    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break tracing::info!("SIGTERM: draining"),
            _ = signals.interrupt.recv() => break tracing::info!("SIGINT: draining"),
            // Without the core, requests would be accepted with nothing left to decide on them.
            _ = &mut running.core_task => return Err(StartError::CoreEnded),
            Some(command) = received_commands.recv() => execute(command, &service.listener),
        }
    }
    shut_down(&service, &successor, fleet).await;
    Ok(())
}

/// Hands over to a successor or drains, and leaves the fleet.
async fn shut_down(service: &Service, successor: &Successor, fleet: Option<Rc<Fleet>>) {
    if successor.is_waiting() && service.hand_over(successor).await {
        service.wait_until_closed().await;
    } else {
        service.drain().await;
    }
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    tracing::info!("drained");
}

/// Executes an operator's command.
fn execute(command: operator::Command, listener: &Listener) {
    tracing::info!(?command, "operator command");
    listener.set_state(match command {
        operator::Command::Standby => ServingState::Standby { since: Instant::now() },
        operator::Command::Active => ServingState::Active,
    });
}

/// Starts to accept and then offers hot restart to a further process.
async fn accept(service: Service, socket: ClientSocket, status: Arc<operator::Status>, successor: Successor) {
    service.start_accepting(socket.listener, socket.predecessor, status).await;
    if let Some(path) = socket.hot_restart_path {
        hot_restart::serve(path, socket.duplicate.into(), successor).await;
    }
}

/// Records when this process can serve: it knows nodes that accept work, and discovery has answered or been waited
/// for long enough. Discovery does not answer while nothing has changed.
async fn watch_can_serve(endpoints: Rc<EndpointTable>, status: Arc<operator::Status>) {
    let started = Instant::now();
    while !(endpoints.can_serve() && (endpoints.is_synced() || started.elapsed() > DISCOVERY_SYNC_TIMEOUT)) {
        tokio::time::sleep(CAN_SERVE_CHECK_INTERVAL).await;
    }
    status.can_serve.store(true, Ordering::Relaxed);
}

/// Descriptors for clients, nodes and the counter: the limit less those reserved for optional parts.
fn service_descriptors(fields: &Configuration, has_operator: bool, has_fleet: bool) -> usize {
    let operator = operator::RESERVED_DESCRIPTORS + hot_restart::RESERVED_DESCRIPTORS;
    let mut reserved = if has_operator { operator } else { 0 };
    reserved += if has_fleet { fleet::RESERVED_DESCRIPTORS } else { 0 };
    fields.limits.sockets.saturating_sub(reserved).max(MIN_DESCRIPTORS)
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn register() -> Result<Self, StartError> {
        let register = |name: &'static str, kind: SignalKind| {
            signal(kind).map_err(|source| StartError::Signal { name, source })
        };
        Ok(Signals {
            terminate: register("SIGTERM", SignalKind::terminate())?,
            interrupt: register("SIGINT", SignalKind::interrupt())?,
            hangup: register("SIGHUP", SignalKind::hangup())?,
        })
    }
}

/// The listening socket for clients: opened here, or received from the serving process.
struct ClientSocket {
    listener: tokio::net::TcpListener,
    /// A duplicate to send to a further process.
    duplicate: std::net::TcpListener,
    address: SocketAddr,
    predecessor: Option<Predecessor>,
    /// Path of the Unix socket for hot restart, if that is available.
    hot_restart_path: Option<PathBuf>,
}

impl ClientSocket {
    /// Requests the socket of the serving process, or listens. Hot restart is available only with an operator
    /// endpoint: nowhere else a Unix socket is created.
    fn open(fields: &Configuration, has_operator: bool) -> Result<Self, StartError> {
        let listen = fields.listen;
        let failed = |source| StartError::Listen { address: listen, source };
        let hot_restart_path = if has_operator { hot_restart::socket_path(&fields.name) } else { None };
        let received =
            hot_restart_path.as_deref().and_then(|path| hot_restart::request_listener(path, listen));
        let (predecessor, listener) = match received {
            Some((predecessor, listener)) => (Some(predecessor), listener),
            None => (None, hot_restart::listen(listen, has_operator).map_err(failed)?),
        };
        let duplicate = listener.try_clone().map_err(failed)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(ClientSocket { listener, duplicate, address, predecessor, hot_restart_path })
    }
}

/// Inputs that the parts of the service are built from.
struct Parts {
    fields: Configuration,
    settings: Settings,
    sockets: SocketSettings,
    seed: u64,
    descriptors: usize,
    zones: Option<ZoneSettings>,
    quota: QuotaSettings,
}

/// The service with its core and discovery watch running, but no client accepted.
struct Running {
    service: Service,
    endpoints: Rc<EndpointTable>,
    /// Address of discovery, for the watch.
    discovery: watch::Sender<SocketAddr>,
    core_task: JoinHandle<()>,
    clock: Clock,
}

impl Parts {
    fn start(self) -> Running {
        let Parts { fields, settings, sockets, seed, descriptors, zones, quota } = self;
        let (core_sender, messages) = mpsc::unbounded_channel();
        let counter_address = fields.counter_address();
        let revision = fields.known.revision();
        let endpoints = Rc::new(EndpointTable::default());
        let (_, entries) = endpoints.apply(fields.known);
        let _ = core_sender.send(CoreMessage::Endpoints { scope: ListScope::Restored, entries });

        let budget = DescriptorBudget::new(descriptors);
        let nodes = Rc::new(node_client(&sockets, budget.nodes));
        let timeouts = CallTimeouts { call: sockets.counter_timeout, late: late_timeout(&quota) };
        let counter = CounterClient::new(
            counter_address,
            sockets.connect_timeout,
            timeouts,
            budget.counter,
            core_sender.clone(),
        );
        let listener = Listener::new(
            core_sender.clone(),
            Rc::clone(&endpoints),
            RequestRules::from_settings(&settings),
            budget.clients,
            sockets.max_retry_after,
        );
        let (discovery, discovery_address) = watch::channel(fields.discovery);
        let options = WatchOptions {
            connect_timeout: sockets.connect_timeout,
            revision,
            replicas: settings.replicas,
            seed,
        };
        actix_rt::spawn(endpoints::watch(
            discovery_address,
            options,
            Rc::clone(&endpoints),
            Rc::clone(&nodes),
            core_sender.clone(),
        ));
        let attempts = AttemptRunner::new(Rc::clone(&nodes), Rc::clone(&endpoints), core_sender.clone());
        let transport = HttpTransport { attempts, counter: counter.clone() };
        let clock = Clock::start();
        let core = build_core(settings, seed, quota, zones, clock, transport, core_sender.clone());
        let core_task = actix_rt::spawn(core.run(messages));
        let service = Service { listener, nodes, counter, core: core_sender, descriptors };
        Running { service, endpoints, discovery, core_task, clock }
    }
}

fn node_client(sockets: &SocketSettings, max_connections: usize) -> UpstreamClient {
    let idle_timeout =
        sockets.host_idle_timeout.saturating_sub(IDLE_MARGIN).max(sockets.host_idle_timeout / 2);
    UpstreamClient::new(sockets.connect_timeout, idle_timeout, max_connections)
}

/// Additional time for which late answers of the counter are listened for: only the guard uses them.
fn late_timeout(quota: &QuotaSettings) -> Duration {
    if quota.is_guarded {
        Duration::from_secs_f64(quota.late_answer_secs)
    } else {
        Duration::ZERO
    }
}

fn build_core(
    settings: Settings,
    seed: u64,
    quota: QuotaSettings,
    zones: Option<ZoneSettings>,
    clock: Clock,
    transport: HttpTransport,
    sender: CoreSender,
) -> Core<HttpTransport> {
    let (zone, ordinal, replicas) = (settings.zone.clone(), settings.ordinal, settings.replicas);
    let max_attempts = settings.max_attempts;
    let gateway = Gateway::new(settings, seed).with_quota(quota);
    let core = Core::new(gateway, clock, transport, sender, max_attempts);
    match zones {
        Some(ZoneSettings { file, settings }) => {
            tracing::info!(file = %file.display(), "zone settings in force");
            let gatekeeper = Gatekeeper { zone_label: zone, ordinal, fleet_size: replicas };
            core.with_zones(ZoneBalancer::new(settings, gatekeeper, clock.now()))
        }
        None => core,
    }
}

impl Running {
    /// Starts replication with the other gatekeepers. `member` is the name of this one and the size of the fleet.
    async fn start_fleet(
        &self,
        settings: FleetSettings,
        member: (&str, u32),
        seed: u64,
    ) -> Result<Rc<Fleet>, StartError> {
        let failed = |address: SocketAddr| move |source| StartError::Fleet { address, source };
        let address = settings.listen;
        let (listener, socket) = fleet::open(address).await.map_err(failed(address))?;
        let address = listener.local_addr().map_err(failed(address))?;
        tracing::info!(fleet = %address, seeds = settings.seeds.len(), "replication among gatekeepers enabled");
        let core = self.service.core.clone();
        let fleet = Fleet::new(settings, member, seed, self.clock, (socket, address), core);
        actix_rt::spawn(Rc::clone(&fleet).run_listener(listener));
        actix_rt::spawn(Rc::clone(&fleet).run_membership());
        actix_rt::spawn(Rc::clone(&fleet).run_gossip());
        actix_rt::spawn(Rc::clone(&fleet).run_budget_requests());
        Ok(fleet)
    }
}
