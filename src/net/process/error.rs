//! Why the process does not start, or ends other than by a signal.

use super::configuration::{ConfigurationError, OperatorVariableError};
use super::settings_file::SettingsFileError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why the process does not start, or ends other than by a signal. Its text is the one line on standard error.
#[derive(Debug)]
pub(super) enum StartError {
    ConfigPathUnset,
    Configuration {
        path: PathBuf,
        source: ConfigurationError,
    },
    SettingsFile(SettingsFileError),
    Seed(ParseIntError),
    OperatorVariable(OperatorVariableError),
    /// Replication and hot restart exclude each other.
    FleetWithOperator,
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    Signal {
        name: &'static str,
        source: io::Error,
    },
    Fleet {
        address: SocketAddr,
        source: io::Error,
    },
    Operator(io::Error),
    /// The core's task ended, by a panic.
    CoreEnded,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::ConfigPathUnset => f.write_str("ROUTER_CONFIG is not set"),
            StartError::Configuration { path, source } => write!(f, "{}: {source}", path.display()),
            StartError::SettingsFile(source) => source.fmt(f),
            StartError::Seed(source) => write!(f, "seed: {source}"),
            StartError::OperatorVariable(source) => source.fmt(f),
            StartError::FleetWithOperator => f.write_str(
                "--fleet cannot be combined with an operator endpoint: after a hot restart, use known to both \
                 processes would be counted twice",
            ),
            StartError::Listen { address, source } => write!(f, "{address}: {source}"),
            StartError::Signal { name, source } => write!(f, "{name}: {source}"),
            StartError::Fleet { address, source } => write!(f, "fleet: {address}: {source}"),
            StartError::Operator(source) => write!(f, "operator: {source}"),
            StartError::CoreEnded => f.write_str("the core has ended"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Configuration { source, .. } => Some(source),
            StartError::SettingsFile(source) => Some(source),
            StartError::Seed(source) => Some(source),
            StartError::OperatorVariable(source) => Some(source),
            StartError::Listen { source, .. }
            | StartError::Signal { source, .. }
            | StartError::Fleet { source, .. }
            | StartError::Operator(source) => Some(source),
            StartError::ConfigPathUnset | StartError::FleetWithOperator | StartError::CoreEnded => None,
        }
    }
}

impl From<SettingsFileError> for StartError {
    fn from(source: SettingsFileError) -> Self {
        StartError::SettingsFile(source)
    }
}
