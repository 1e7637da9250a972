//! Runs the roles: the drivers hold the sockets, the disk, the clock and the signals around the state machines of
//! [`crate::control_plane`] and [`crate::data_plane`].

pub mod core_server;
pub mod edge_loop;
pub mod edge_server;
pub mod signals;
#[cfg(test)]
mod signals_tests;

use crate::settings::{Settings, SettingsError};
use crate::storage;
pub use signals::{ProcessSignal, SignalListener};
use std::process::ExitCode;
use std::time::Instant;

/// Why a role can't run.
#[derive(Debug, displaydoc::Display)]
pub enum RunError {
    /// settings: {0}
    Settings(SettingsError),
    /// settings: {0} is missing
    MissingSetting(&'static str),
    /// can't listen: {0}
    Listen(std::io::Error),
    /// no signals: {0}
    Signals(std::io::Error),
    /// the disk: {0}
    Storage(storage::StorageError),
    /// the state in a snapshot can't be read: {0}
    State(String),
}

/// The steady clock, in seconds that are never near nought.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Seconds.
    pub fn now(&self) -> f64 {
        1000.0 + self.0.elapsed().as_secs_f64()
    }
}

/// What a process is.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Serves clients.
    Edge,
    /// Keeps the state of the control plane.
    Core,
}

impl Role {
    /// The role of this name, or of the one that deploy files gave it before.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "edge" | "jig" => Some(Role::Edge),
            "core" | "anvil" => Some(Role::Core),
            _ => None,
        }
    }
}

/// Runs a role until it is asked to end.
pub fn run(role: Role) -> ExitCode {
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
