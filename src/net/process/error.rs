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
    Operator {
        address: SocketAddr,
        source: io::Error,
    },
    /// The core's task ended, by a panic.
    CoreEnded,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::ConfigPathUnset => f.write_str("environment variable ROUTER_CONFIG is not set: it must name the configuration file"),
            StartError::Configuration { path, source } => write!(f, "{}: {source}", path.display()),
            StartError::SettingsFile(source) => source.fmt(f),
            StartError::Seed(source) => write!(f, "configuration: seed is not a hexadecimal number of 64 bits: {source}"),
            StartError::OperatorVariable(source) => source.fmt(f),
            StartError::FleetWithOperator => f.write_str(
                "--fleet cannot be combined with an operator endpoint: after a hot restart, use known to both \
                 processes would be counted twice",
            ),
            StartError::Listen { address, source } => write!(f, "cannot listen for clients on {address}: {source}"),
            StartError::Signal { name, source } => write!(f, "cannot register a handler for {name}: {source}"),
            StartError::Fleet { address, source } => write!(f, "fleet: cannot listen on {address}: {source}"),
            StartError::Operator { address, source } => {
                write!(f, "cannot start the operator endpoint on {address}: {source}")
            },
            StartError::CoreEnded => f.write_str("the core task ended by a panic: no request can be decided on any more"),
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
            | StartError::Operator { source, .. } => Some(source),
            StartError::ConfigPathUnset | StartError::FleetWithOperator | StartError::CoreEnded => None,
        }
    }
}

impl From<SettingsFileError> for StartError {
    fn from(source: SettingsFileError) -> Self {
        StartError::SettingsFile(source)
    }
}
