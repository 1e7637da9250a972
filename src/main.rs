//! The gatekeeper: reads its configuration, joins the core and the sockets, reads it again on SIGHUP and
//! drains on SIGTERM. It must never
//! decide on a request; that is the module's, in `src/gateway/rules.rs`.

mod net;

use net::core::{Clock, Core, Input};
use net::downstream::Stance;
use net::endpoints::{List, ServerTable};
use net::{attempt, counter, downstream, endpoints, hot_restart, operator, upstream, Platform};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use whinstall::fleet::FleetSettings;
use whinstall::halls::HallSettings;
use whinstall::operators::Operators;
use whinstall::quota::QuotaSettings;
use whinstall::{settings, Gateway, ListScope, Settings};

/// The fewest descriptors that a gatekeeper can work with.
const LEAST_DESCRIPTORS: usize = 128;
/// Descriptors kept for everything but clients, nodes and the counter: files, the poller, discovery, slack.
const SPARE_DESCRIPTORS: usize = 32;
/// After SIGTERM new connections come for up to 0.4 s, and what comes within 0.7 s is to be served.
const DRAIN_LEAST: Duration = Duration::from_millis(750);
/// While draining, this often it is looked whether all answers are written out.
const DRAIN_LOOK: Duration = Duration::from_millis(5);
/// Discovery tells a new process within this what it has to tell.
const HEARD_WITHIN: Duration = Duration::from_millis(700);
/// Connections to nodes are closed so much before the nodes close them.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

#[derive(Deserialize)]
struct Configuration {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    /// Where operators ask. With it processes of this gatekeeper can follow each other, too.
    operator: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    known: List,
    settings: Value,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
struct Limits {
    sockets: usize,
}

/// What only a restart changes.
type Fixed = (String, SocketAddr, Limits);

impl Configuration {
    fn fixed(&self) -> Fixed {
        (self.name.clone(), self.listen, self.limits)
    }
}

/// Who may hold how many descriptors.
#[derive(Debug, PartialEq)]
struct Budget {
    clients: usize,
    counter: usize,
    nodes: usize,
}

impl Budget {
    /// Clients may hold a third for requests, and have some room beside that for those that say nothing.
    fn of(sockets: usize) -> Self {
        let clients = sockets * 2 / 5;
        let counter = (sockets / 16).min(counter::CONNECTIONS);
        Budget { clients, counter, nodes: sockets - SPARE_DESCRIPTORS - counter - clients }
    }
}

/// Where operators ask: by the configuration, else by the environment.
fn operator_place(c: &Configuration) -> Result<Option<SocketAddr>, String> {
    let told = std::env::var("ROUTER_OPERATOR").ok().filter(|at| !at.is_empty());
    let told = told.map(|at| at.parse().map_err(|e| format!("ROUTER_OPERATOR: {at}: {e}"))).transpose()?;
    Ok(c.operator.or(told))
}

type Told = (Configuration, Settings, settings::SocketSettings);

fn configuration(path: &str) -> Result<(Value, Told), String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let whole = serde_json::from_slice(&text).map_err(|e| e.to_string());
    whole.and_then(|whole| Ok((whole, usable(&text)?))).map_err(|why| format!("{path}: {why}"))
}

fn usable(text: &[u8]) -> Result<Told, String> {
    let c: Configuration = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let (decisions, sockets) = settings::read(c.settings.clone())?;
    if c.limits.sockets < LEAST_DESCRIPTORS {
        return Err(format!("limits.sockets is under {LEAST_DESCRIPTORS}"));
    }
    if decisions.may_count && c.counter.is_none() {
        return Err("the settings allow a counter, but there is no 'counter' address".into());
    }
    Ok((c, decisions, sockets))
}

/// What SIGHUP may change.
struct Reload {
    path: String,
    /// What only a restart changes.
    fixed: Fixed,
    /// The configuration in force, whole.
    in_force: Value,
    desk: Desk,
    discovery: watch::Sender<SocketAddr>,
    halls: Option<std::path::PathBuf>,
}

/// Reads the file again at each SIGHUP and hands the parts what has changed: where the counter and discovery are, and
/// the settings. Sessions, books and calls under way live on; a file that cannot be used changes nothing.
async fn reload(mut hangup: Signal, mut r: Reload) {
    while hangup.recv().await.is_some() {
        match r.halls.as_deref().map(halls_from) {
            Some(Ok(settings)) => {
                tracing::info!("SIGHUP: settings of halls read again");
                let _ = r.desk.queue.send(Input::Halls(Box::new(settings)));
            }
            Some(Err(message)) => {
                tracing::warn!(message, "SIGHUP: settings of halls not usable, the old ones stay")
            }
            None => {}
        }
        let read = std::fs::read(&r.path).map_err(|e| e.to_string());
        let (whole, (now, decisions, sockets)) = match read.and_then(|text| renewed(&text, &r.in_force)) {
            Ok(read) => read,
            Err(message) => {
                tracing::warn!(message, "SIGHUP: configuration not usable, the old one stays");
                continue;
            }
        };
        let counter_at = now.counter.unwrap_or(now.discovery);
        r.desk.counter.moved(counter_at);
        r.discovery.send_if_modified(|at| std::mem::replace(at, now.discovery) != now.discovery);
        let retuned = whole["settings"] != r.in_force["settings"];
        if retuned {
            r.desk.counter.wait(sockets.count_wait);
            r.desk.frontend.retune(downstream::Terms::of(&decisions), sockets.max_retry_after);
            let _ = r.desk.queue.send(Input::Settings(Box::new(decisions)));
        }
        tracing::info!(discovery = %now.discovery, counter = %counter_at, retuned, "SIGHUP: configuration read again");
        if now.fixed() != r.fixed {
            tracing::warn!("SIGHUP: name, listen or limits differ, which takes effect at a restart");
        }
        r.in_force = whole;
    }
}

/// A configuration that may take the place of the one in force, whole and as read.
fn renewed(text: &[u8], in_force: &Value) -> Result<(Value, Told), String> {
    let whole: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    settings::replaces(&whole, in_force)?;
    Ok((whole, usable(text)?))
}

/// Settings of halls in force, and the file that they come from.
type HallsFrom = Option<(std::path::PathBuf, HallSettings)>;

async fn serve(
    path: String,
    in_force: Value,
    (c, s, sockets): Told,
    halls: HallsFrom,
    (quota, fleet): (QuotaSettings, Option<FleetSettings>),
) -> Result<(), String> {
    let fixed = c.fixed();
    let seed = u64::from_str_radix(&c.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let door = operator_place(&c)?;
    if door.is_some() && fleet.is_some() {
        return Err(
            "--fleet: processes that follow each other (operator) would count twice what both know".into()
        );
    }
    // Processes follow each other only where operators run them so: anywhere else no such socket is made.
    let place = door.and_then(|_| hot_restart::place(&c.name));
    let (predecessor, listener) = match place.as_deref().and_then(|place| hot_restart::ask(place, c.listen)) {
        Some((predecessor, listener)) => (Some(predecessor), Ok(listener)),
        None => (None, hot_restart::listen(c.listen, door.is_some())),
    };
    let listener = listener.map_err(|e| format!("{}: {e}", c.listen))?;
    let offered = listener.try_clone().map_err(|e| format!("{}: {e}", c.listen))?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| format!("{}: {e}", c.listen))?;
    let listen = listener.local_addr().map_err(|e| format!("{}: {e}", c.listen))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;

    let (queue, inputs) = tokio::sync::mpsc::unbounded_channel();
    let table = Rc::new(ServerTable::default());
    let known = c.known.rev();
    let (_, entries) = table.apply(c.known);
    let _ = queue.send(Input::ServerTable(ListScope::Restored, entries));

    let kept = if door.is_some() { operator::DESCRIPTORS + hot_restart::DESCRIPTORS } else { 0 };
    let kept = kept + if fleet.is_some() { net::fleet::DESCRIPTORS } else { 0 };
    let whole = c.limits.sockets.saturating_sub(kept).max(LEAST_DESCRIPTORS);
    let budget = Budget::of(whole);
    let idle = sockets.conn_idle.saturating_sub(IDLE_MARGIN).max(sockets.conn_idle / 2);
    let nodes = Rc::new(upstream::Exchanger::new(sockets.dial_timeout, idle, budget.nodes));
    let counter_at = c.counter.unwrap_or(c.discovery);
    let counter = counter::Counter::new(
        counter_at,
        sockets.dial_timeout,
        (sockets.count_wait, if quota.guard { Duration::from_secs_f64(quota.late) } else { Duration::ZERO }),
        budget.counter,
        queue.clone(),
    );
    let (discovery, discovery_at) = watch::channel(c.discovery);
    let halls_file = halls.as_ref().map(|h| h.0.clone());
    let platform = Platform {
        dispatcher: attempt::Dispatcher::new(Rc::clone(&nodes), Rc::clone(&table), queue.clone()),
        counter: counter.clone(),
    };
    let terms = downstream::Terms::of(&s);
    let frontend = downstream::Frontend::new(
        queue.clone(),
        Rc::clone(&table),
        terms,
        budget.clients,
        sockets.max_retry_after,
    );
    let dial = sockets.dial_timeout;
    actix_rt::spawn(endpoints::watch(
        discovery_at,
        dial,
        (known, s.replicas, seed),
        Rc::clone(&table),
        Rc::clone(&nodes),
        queue.clone(),
    ));

    let max_attempts = s.max_attempts;
    let (zone, ordinal, replicas) = (s.zone.clone(), s.ordinal, s.replicas);
    let clock = Clock::start();
    let mut core =
        Core::new(Gateway::new(s, seed).with_quota(quota), clock, platform, queue.clone(), max_attempts);
    if let Some((file, settings)) = halls {
        tracing::info!(file = %file.display(), "halls in force");
        core = core.with_halls(net::halls::HallsDesk::new(settings, &zone, ordinal, replicas, clock.now()));
    }
    let mut core = actix_rt::spawn(core.run(inputs));
    let fleet = match fleet {
        Some(settings) => {
            let at = settings.listen;
            let (listener, socket) = net::fleet::open(at).await.map_err(|e| format!("fleet: {at}: {e}"))?;
            let at = listener.local_addr().map_err(|e| format!("fleet: {at}: {e}"))?;
            tracing::info!(fleet = %at, seeds = settings.seeds.len(), "copies are kept with other gatekeepers");
            let who = (c.name.as_str(), replicas);
            let fleet = net::fleet::Fleet::new(settings, who, seed, clock, (socket, at), queue.clone());
            actix_rt::spawn(Rc::clone(&fleet).listen(listener));
            actix_rt::spawn(Rc::clone(&fleet).datagrams());
            actix_rt::spawn(Rc::clone(&fleet).rounds());
            actix_rt::spawn(Rc::clone(&fleet).budget_rounds());
            Some(fleet)
        }
        None => None,
    };
    tracing::info!(name = c.name, %listen, "serving");

    let desk = Desk { frontend, nodes, counter, queue, whole };
    let reloads = Reload { path, fixed, in_force, desk: desk.clone(), discovery, halls: halls_file };
    actix_rt::spawn(reload(hangup, reloads));
    let told = Arc::new(operator::Known::default());
    let (orders, mut ordered) = tokio::sync::mpsc::unbounded_channel();
    if let Some(at) = door {
        let at = operator::open(at, Arc::clone(&told), orders.clone());
        tracing::info!(operator = %at.map_err(|e| format!("operator: {e}"))?, "the operators' door is open");
        actix_rt::spawn(watch_can_serve(Rc::clone(&table), Arc::clone(&told)));
    }
    let successor = hot_restart::Successor::default();
    let begin = desk.clone().begin(listener, predecessor, Arc::clone(&told));
    let offer = place.map(|place| hot_restart::offer(place, offered.into(), successor.clone()));
    actix_rt::spawn(async move {
        begin.await;
        if let Some(offer) = offer {
            offer.await;
        }
    });

    loop {
        tokio::select! {
            _ = terminate.recv() => break tracing::info!("SIGTERM: draining"),
            _ = interrupt.recv() => break tracing::info!("SIGINT: draining"),
            // Guards against a gatekeeper that takes requests with nobody left to decide on them.
            _ = &mut core => return Err("the core has ended".into()),
            Some(order) = ordered.recv() => {
                tracing::info!(?order, "operators' order");
                desk.frontend.stand(match order {
                    operator::Order::Standby => Stance::Standby(Instant::now()),
                    operator::Order::Active => Stance::Open,
                });
            }
        }
    }
    if successor.waits() && desk.hand_on(&successor).await {
        desk.empty().await;
    } else {
        desk.drain().await;
    }
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    tracing::info!("drained");
    Ok(())
}

/// Notes for the operators' door when this process can serve: it knows nodes that take work, and has heard of
/// discovery or waited long enough for it, which says nothing where nothing has changed.
async fn watch_can_serve(table: Rc<ServerTable>, told: Arc<operator::Known>) {
    let begun = Instant::now();
    while !(table.can_serve() && (table.told() || begun.elapsed() > HEARD_WITHIN)) {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    told.can_serve.store(true, Ordering::Relaxed);
}

/// What begins and ends a process's service.
#[derive(Clone)]
struct Desk {
    frontend: Rc<downstream::Frontend>,
    nodes: Rc<upstream::Exchanger>,
    counter: counter::Counter,
    queue: net::Inputs,
    /// Descriptors for clients, nodes and the counter, with what is kept for the process itself.
    whole: usize,
}

impl Desk {
    fn hold(&self, sockets: usize) {
        let budget = Budget::of(sockets.max(LEAST_DESCRIPTORS));
        self.frontend.hold(budget.clients);
        self.nodes.hold(budget.nodes);
        self.counter.connections().hold(budget.counter);
    }

    /// Descriptors held for clients, nodes and the counter.
    fn held(&self) -> usize {
        self.frontend.open() + self.nodes.open() + self.counter.connections().open()
    }

    /// Takes clients, once the process that serves, if any, has handed on or ended.
    async fn begin(
        self,
        listener: tokio::net::TcpListener,
        predecessor: Option<hot_restart::Predecessor>,
        told: Arc<operator::Known>,
    ) {
        let Some(mut predecessor) = predecessor else {
            actix_rt::spawn(Rc::clone(&self.frontend).serve(listener));
            return;
        };
        tracing::info!("waiting for the serving process to hand on");
        let handed = predecessor.handed().await;
        match handed {
            Some(handed) => {
                let customers = handed.legacy.customers.len();
                tracing::info!(customers, descriptors = handed.descriptors, "taking over");
                self.hold(self.whole.saturating_sub(handed.descriptors));
                let _ = self.queue.send(Input::Inherit(Box::new(handed.legacy)));
                if handed.standby && !told.standby.swap(true, Ordering::Relaxed) {
                    self.frontend.stand(Stance::Standby(Instant::now()));
                }
            }
            None => tracing::warn!("the serving process ended without handing on: taking over"),
        }
        actix_rt::spawn(Rc::clone(&self.frontend).serve(listener));
        // Nobody holds it up: when the old process has ended, all descriptors are this one's.
        actix_rt::spawn(async move {
            predecessor.relieve().await;
            tracing::info!("the old process has ended");
            self.hold(self.whole);
        });
    }

    /// Hands on to the successor. Does it accept from now on?
    async fn hand_on(&self, successor: &hot_restart::Successor) -> bool {
        let standby = matches!(self.frontend.stance(), Stance::Standby(_));
        self.frontend.stand(Stance::HandedOn(Instant::now()));
        self.nodes.close_unless(|_, _| false);
        let (to, legacy) = tokio::sync::oneshot::channel();
        let _ = self.queue.send(Input::Bequeath(to));
        let Ok(legacy) = legacy.await else { return false };
        let handed = hot_restart::Handed { legacy, standby, descriptors: self.held() };
        let taken = successor.hand_on(&handed).await;
        tracing::info!(taken, customers = handed.legacy.customers.len(), "handed on to the new process");
        if !taken {
            let _ = self.queue.send(Input::Resume(Box::new(handed.legacy)));
        }
        taken
    }

    /// Serves what this process took, until nothing is left of it.
    async fn empty(&self) {
        while self.frontend.open() > 0 {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Serves what this process took and what comes in the first moment.
    async fn drain(&self) {
        self.frontend.stand(Stance::Draining);
        tokio::time::sleep(DRAIN_LEAST).await;
        while self.frontend.busy() || self.frontend.reading() {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }
}

/// The command line. Without a subcommand the gatekeeper serves, as the platform starts it.
#[derive(clap::Parser)]
#[command(name = "whinstall", version, about = "A quota gatekeeper before a fleet of drafting nodes")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// Settings of halls (as `deploy/halls.cue`): tiers, bounded spill, the way back. Without it, nodes are
    /// chosen as before. Read again at SIGHUP; a file that cannot be used then changes nothing.
    #[arg(long, global = true, value_name = "FILE")]
    halls: Option<std::path::PathBuf>,
    /// Settings of the counter's guard (as `deploy/quota.cue`). Without it, its defaults. Read at the start.
    #[arg(long, global = true, value_name = "FILE")]
    quota: Option<std::path::PathBuf>,
    /// Settings of the copies among gatekeepers (docs/replication.md). Without it none talks to another.
    #[arg(long, global = true, value_name = "FILE")]
    fleet: Option<std::path::PathBuf>,
}

/// Reads an operators' file, or says in one line what is wrong.
fn operators_from(file: &Path) -> Result<Operators, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Operators::load(&text).map_err(|errors| {
        let more = match errors.len() - 1 {
            0 => String::new(),
            n => format!(" (and {n} more: `whinstall check` names them)"),
        };
        format!("{}:{}{more}", file.display(), errors[0])
    })
}

/// Reads one record of an operators' file, or says in one line what is wrong.
fn record_from<T>(file: &Path, name: &str, of: impl Fn(Operators) -> Option<T>) -> Result<T, String> {
    of(operators_from(file)?).ok_or_else(|| format!("{}: no `{name}` record", file.display()))
}

/// Reads the settings of halls from an operators' file.
fn halls_from(file: &Path) -> Result<HallSettings, String> {
    record_from(file, "halls", |o| o.halls)
}

#[derive(clap::Subcommand)]
enum Command {
    /// Serve, by the configuration that ROUTER_CONFIG names (the default).
    Serve,
    /// Check an operators' settings file: prints what is in force, or every error with line, column and
    /// field, and exits with 1.
    Check {
        /// The file, as `deploy/halls.cue`.
        file: std::path::PathBuf,
    },
    /// What the loss of each site, and of each two, leads to by an operators' file (docs/sites.md): the use of each
    /// survivor and what is refused. Exits with 1 where a loss cannot be carried by the order given.
    Plan {
        /// The file, as `deploy/sites.cue`.
        file: std::path::PathBuf,
    },
    /// What a gatekeeper's log tells of the counter (each part's mode, since when, the units that may be in error, the
    /// changes that led there) and of the copies among gatekeepers.
    Report {
        /// The log; `-`: standard input.
        log: std::path::PathBuf,
    },
}

/// `whinstall check FILE`.
fn check(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("whinstall: {}: {e}", file.display());
            return ExitCode::FAILURE;
        }
    };
    match Operators::load(&text) {
        Ok(operators) => print!("{}", operators.describe()),
        Err(errors) => {
            for e in errors {
                eprintln!("{}:{e}", file.display());
            }
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// `whinstall plan FILE`.
fn plan(file: &Path) -> ExitCode {
    match record_from(file, "sites", |o| o.sites) {
        Ok(sites) => {
            let plan = sites.plans();
            print!("{}", plan.describe());
            if plan.holds() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(message) => {
            eprintln!("whinstall: {message}");
            ExitCode::FAILURE
        }
    }
}

/// `whinstall report LOG`.
fn report(log: &Path) -> ExitCode {
    let text = match log.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(log),
    };
    match text {
        Ok(text) => {
            print!("{}", net::report::of_log(&text));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("whinstall: {}: {e}", log.display());
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let cli = <Cli as clap::Parser>::parse();
    match &cli.command {
        Some(Command::Check { file }) => return check(file),
        Some(Command::Report { log }) => return report(log),
        Some(Command::Plan { file }) => return plan(file),
        Some(Command::Serve) | None => {}
    }
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    let halls = cli.halls.as_deref().map(halls_from).transpose();
    let quota = cli.quota.as_deref().map(|file| record_from(file, "counter", |o| o.counter)).transpose();
    let fleet = cli.fleet.as_deref().map(|file| record_from(file, "fleet", |o| o.fleet)).transpose();
    let operators = halls.and_then(|halls| Ok((halls, quota?, fleet?)));
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_owned());
    let told = operators.and_then(|operators| {
        let path = path?;
        configuration(&path).map(|told| (path, told, operators))
    });
    let served = told.and_then(|(path, (in_force, told), (halls, quota, fleet))| {
        let halls = halls.map(|settings| (cli.halls.clone().unwrap_or_default(), settings));
        actix_rt::System::new().block_on(serve(
            path,
            in_force,
            told,
            halls,
            (quota.unwrap_or_default(), fleet),
        ))
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("whinstall: {message}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    /// Guards against descriptors that run out, and against clients shut out of the third that is theirs.
    #[test]
    fn the_budget_holds_and_clients_have_their_third() {
        for sockets in [super::LEAST_DESCRIPTORS, 192, 256, 384, 1024] {
            let b = super::Budget::of(sockets);
            assert_eq!(b.clients + b.counter + b.nodes + super::SPARE_DESCRIPTORS, sockets);
            assert!(b.clients > sockets / 3 + 4 && b.nodes >= sockets / 5 && b.counter >= 8, "{b:?}");
        }
    }

    /// The example must go on being one.
    #[test]
    fn the_example_configuration_is_usable() {
        let told = super::usable(include_bytes!("../example/config.json"));
        assert_eq!(told.map(|(c, s, _)| (c.name, s.plans.len())), Ok(("g0".to_owned(), 2)));
    }
}
