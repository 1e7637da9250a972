//! whinstall as a whole gateway, in two roles. `edge` takes clients' requests and sends them on. `core` keeps the
//! configuration, the list of workers and the counter.

mod bootstrap_mark;
#[cfg(test)]
mod bootstrap_mark_tests;
mod budget;
#[cfg(feature = "capacity")]
mod capacity;
mod config;
mod core;
mod core_server;
mod counter;
#[cfg(test)]
mod counter_sums_tests;
#[cfg(test)]
mod counter_tests;
mod courier;
mod edge;
mod edge_server;
mod event_loop;
mod export;
#[cfg(test)]
mod export_tests;
mod http;
mod journal;
#[cfg(test)]
mod journal_tests;
mod link;
mod paths;
mod quota;
#[cfg(test)]
mod quota_slack_tests;
mod raft;
mod registry;
mod settings;
mod shares;
mod signals;
#[cfg(test)]
mod signals_tests;
#[cfg(test)]
mod sim;
mod store;
#[cfg(test)]
mod store_tests;
#[cfg(test)]
mod stored_data_tests;
mod wire;
#[cfg(test)]
mod wire_fixture_tests;

use settings::{Settings, SettingsError};
use signals::{Signal, Signals};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Why a role can't run.
#[derive(Debug, displaydoc::Display)]
pub enum RunError {
    /// settings: {0}
    Settings(SettingsError),
    /// settings: {0} is missing
    NotTold(&'static str),
    /// can't listen: {0}
    Listen(std::io::Error),
    /// no signals: {0}
    Signals(std::io::Error),
    /// the disk: {0}
    Store(store::StoreError),
    /// the state in a snapshot can't be read: {0}
    State(String),
}

/// The steady clock, in seconds that are never near nought.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    fn new() -> Self {
        Clock(Instant::now())
    }

    /// Seconds.
    pub fn now(&self) -> f64 {
        1000.0 + self.0.elapsed().as_secs_f64()
    }
}

const USAGE: &str = "toolroom ROLE

Roles:
    edge     serves clients by the configuration, and finds workers and configuration at the core
    core     keeps the configuration on its disk, the list of workers and the counter of quotas
    check    reads a settings file or, with --config, the body of a configuration call, and tells what is wrong
    status   asks a core machine at its control address (--at) who is of the core, who leads, in which term, how far each
             is, and who is out and why; prints it as JSON
    export   prints the items on the disk of a core machine that does not run, those that were dropped too, as the body
             of one configuration call for a new core, and on standard error what the disk is. For a core of which
             most is lost for good, and for disks of the program before the replicated log; how to go on is in
             docs/system-operators.md

The settings file is named by WHINSTALL_NODE_FILE. RUST_LOG sets how much is logged (info).";

fn main() -> ExitCode {
    #[cfg(feature = "capacity")]
    if let Some(code) = capacity::claim(std::env::args().skip(1)) {
        return code;
    }
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options.optopt("", "settings", "check: a settings file", "FILE");
    options.optopt("", "config", "check: a configuration call's body, as JSON", "FILE");
    options.optopt("", "at", "status: the control address of a core machine", "ADDRESS");
    options.optopt("", "data", "export: the folder of the disk (data_path)", "DIR");
    options.optopt("", "out", "export: written here instead of printed", "FILE");
    let told = match options.parse(std::env::args().skip(1)) {
        Ok(told) => told,
        Err(error) => {
            eprintln!("toolroom: {error}\n\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    if told.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if told.opt_present("version") {
        println!("toolroom {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let role = match &told.free[..] {
        [role] => role.as_str(),
        _ => {
            eprintln!("{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    match role {
        "check" => check(told.opt_str("settings"), told.opt_str("config")),
        "status" => status(told.opt_str("at")),
        "export" => export(told.opt_str("data"), told.opt_str("out")),
        name => run_named(name).unwrap_or_else(|| {
            eprintln!("toolroom: no role {name}\n\n{}", options.usage(USAGE));
            ExitCode::from(2)
        }),
    }
}

/// Runs the role of this name, if there is one.
fn run_named(name: &str) -> Option<ExitCode> {
    Role::named(name).map(run)
}

/// Tells what a settings file or a configuration call would put in force, or what is wrong with it.
fn check(settings: Option<String>, config: Option<String>) -> ExitCode {
    if let Some(path) = config {
        let body = match std::fs::read(&path) {
            Ok(body) => body,
            Err(error) => {
                eprintln!("{path}: {error}");
                return ExitCode::FAILURE;
            }
        };
        let judged =
            config::read_call(&body).and_then(|items| config::call::judge(&Default::default(), &items));
        return match judged {
            Ok(items) => {
                println!("{path}: {} items, valid on their own", items.len());
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{path}: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let read = settings.map_or_else(Settings::load, |path| Settings::load_from(path.as_ref()));
    match read {
        Ok(settings) => {
            println!("{settings:#?}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints, or writes to a file, the call that takes over the items of a disk.
fn export(data: Option<String>, out: Option<String>) -> ExitCode {
    let Some(data) = data else {
        eprintln!("toolroom: export needs --data DIR");
        return ExitCode::from(2);
    };
    let call = match export::export(data.as_ref()) {
        Ok(export) => {
            eprintln!("{}", export.origin);
            export.to_string()
        }
        Err(error) => {
            eprintln!("{data}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let Some(out) = out else {
        println!("{call}");
        return ExitCode::SUCCESS;
    };
    match std::fs::write(&out, call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{out}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Asks a core machine how the core stands, and prints it.
fn status(at: Option<String>) -> ExitCode {
    let Some(address) = at.as_deref().and_then(|at| at.parse().ok()) else {
        eprintln!("toolroom: status needs --at ADDRESS, such as 10.0.0.4:8080");
        return ExitCode::from(2);
    };
    match ask(address) {
        Ok(told) => {
            println!("{told}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{address}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The answer of a core machine at `address` to how the core stands: JSON, indented.
fn ask(address: std::net::SocketAddr) -> std::io::Result<String> {
    use std::io::{Error, Read, Write};
    const WITHIN: Duration = Duration::from_secs(2);
    let mut stream = std::net::TcpStream::connect_timeout(&address, WITHIN)?;
    stream.set_read_timeout(Some(WITHIN))?;
    let request = format!("GET /whinstall/core HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| Error::other("no answer"))?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(Error::other(head.lines().next().unwrap_or_default().to_owned()));
    }
    let value: serde_json::Value = serde_json::from_str(body).map_err(Error::other)?;
    serde_json::to_string_pretty(&value).map_err(Error::other)
}

/// What a process is.
#[derive(Clone, Copy, Debug)]
enum Role {
    Edge,
    Core,
}

impl Role {
    /// The role of this name, or of the one that deploy files gave it before.
    fn named(name: &str) -> Option<Self> {
        match name {
            "edge" | "jig" => Some(Role::Edge),
            "core" | "anvil" => Some(Role::Core),
            _ => None,
        }
    }
}

fn run(role: Role) -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    log.with_writer(std::io::stderr).with_env_filter(filter).init();
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(%error, "can't start");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "can't start");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, async {
        match role {
            Role::Edge => edge_server::run(settings).await,
            Role::Core => core_server::run(settings).await,
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "can't run");
            ExitCode::FAILURE
        }
    }
}
