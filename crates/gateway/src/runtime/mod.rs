//! Runs the roles: the drivers hold the sockets, the disk, the clock and the signals around the state machines of
//! [`crate::control_plane`] and [`crate::data_plane`].

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

/// Why a role ends before it is asked to. None of these goes away by a retry in the same process.
#[derive(Debug, displaydoc::Display)]
pub enum RunError {
    /// settings: {0}
    Settings(SettingsError),
    /// settings: {0} is missing
    MissingSetting(&'static str),
    /// can't start the runtime: {0}
    Runtime(std::io::Error),
    /// can't listen: {0}
    Listen(std::io::Error),
    /// no signals: {0}
    Signals(std::io::Error),
    /// the disk: {0}
    Storage(StorageError),
    /// the state in a snapshot can't be read: {0}
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

/// The time at which a clock starts: seconds. Far enough from 0 that a state machine may subtract its longest span.
const CLOCK_START_S: f64 = 1000.0;

/// A monotonic clock, in seconds.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time in seconds: 1000 at the start, and never near 0.
    pub fn now(&self) -> f64 {
        CLOCK_START_S + self.0.elapsed().as_secs_f64()
    }
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves clients: the data plane.
    Edge,
    /// Keeps the state of the control plane.
    Core,
}

impl Role {
    /// The role of this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "edge" => Some(Role::Edge),
            "core" => Some(Role::Core),
            _ => None,
        }
    }
}

/// Runs a role until the process is asked to end. Logs JSON lines to standard error, as much as `RUST_LOG` says.
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
