//! Runs the roles. The drivers connect the state machines of [`crate::control_plane`] and [`crate::data_plane`] to
//! sockets, the disk, the clock and signals.

pub mod core_server;
pub mod edge_loop;
pub mod edge_server;
pub mod load_reports;
pub mod signals;
#[cfg(test)]
mod signals_tests;

use crate::control_plane::SnapshotError;
use crate::settings::{Settings, SettingsError};
use crate::storage::StorageError;
pub use signals::{ProcessSignal, SignalListener};
use std::error::Error;
use std::process::ExitCode;
use std::time::Instant;

/// A fatal error that ends a role. None of these can be resolved by a retry in the same process.
#[derive(Debug, displaydoc::Display)]
pub enum RunError {
    /// settings: {0}
    Settings(SettingsError),
    /// settings: required setting {0} is missing
    MissingSetting(&'static str),
    /// failed to start the asynchronous runtime: {0}
    Runtime(std::io::Error),
    /// failed to bind a socket: {0}
    Listen(std::io::Error),
    /// failed to install a signal handler: {0}
    Signals(std::io::Error),
    /// storage: {0}
    Storage(StorageError),
    /// failed to decode the state in a snapshot: {0}
    Snapshot(SnapshotError),
}

impl Error for RunError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RunError::Settings(error) => Some(error),
            RunError::Runtime(error) | RunError::Listen(error) | RunError::Signals(error) => Some(error),
            RunError::Storage(error) => Some(error),
            RunError::Snapshot(error) => Some(error),
            RunError::MissingSetting(_) => None,
        }
    }
}

/// Time at which a clock starts, in seconds. Larger than the longest time span that a state machine subtracts from the
/// current time.
const CLOCK_START_S: f64 = 1000.0;

/// A monotonic clock, in seconds.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at `CLOCK_START_S`.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The current time in seconds; at least `CLOCK_START_S`.
    pub fn now(&self) -> f64 {
        CLOCK_START_S + self.0.elapsed().as_secs_f64()
    }
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves clients: the data plane.
    Edge,
    /// Replicates the state of the control plane.
    Core,
}

impl Role {
    /// Returns the role that has this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "edge" => Some(Role::Edge),
            "core" => Some(Role::Core),
            _ => None,
        }
    }
}

/// Runs a role until the process receives a signal to end. Logs JSON lines to standard error, filtered by `RUST_LOG`.
pub fn run(role: Role) -> ExitCode {
    start_logging();
    let started = Settings::load().map_err(RunError::Settings).and_then(|settings| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        Ok((settings, runtime.map_err(RunError::Runtime)?))
    });
    let (settings, runtime) = match started {
        Ok(started) => started,
        Err(error) => {
            tracing::error!(%error, "failed to start");
            return ExitCode::FAILURE;
        }
    };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        match role {
            Role::Edge => edge_server::run(settings).await,
            Role::Core => core_server::run(settings).await,
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "role failed");
            ExitCode::FAILURE
        }
    }
}

fn start_logging() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    log.with_writer(std::io::stderr).with_env_filter(filter).init();
}
