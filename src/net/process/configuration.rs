//! The configuration that the platform writes: reading and validation.

use super::descriptors::MIN_DESCRIPTORS;
use crate::net::endpoints::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::Path;
use whinstall::settings::{self, SocketSettings};
use whinstall::Settings;

/// Environment variable with the operator endpoint's address, where the configuration does not have it.
const OPERATOR_VARIABLE: &str = "ROUTER_OPERATOR";

/// The fields of the configuration. The settings object is parsed separately.
#[derive(Deserialize)]
pub(super) struct Configuration {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) counter: Option<SocketAddr>,
    /// Address of the operator endpoint. Hot restart is available only if there is one.
    pub(super) operator: Option<SocketAddr>,
    /// Seed of random choices, a hexadecimal number of 64 bits.
    pub(super) seed: String,
    pub(super) limits: Limits,
    /// The endpoint list to start with.
    pub(super) known: EndpointList,
    settings: Value,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
pub(super) struct Limits {
    /// Maximum number of descriptors.
    pub(super) sockets: usize,
}

/// The fields that take effect only at a restart.
#[derive(PartialEq)]
pub(super) struct FixedFields {
    name: String,
    listen: SocketAddr,
    limits: Limits,
}

impl Configuration {
    pub(super) fn fixed_fields(&self) -> FixedFields {
        FixedFields { name: self.name.clone(), listen: self.listen, limits: self.limits }
    }

    /// Address of the quota counter. Without one in the configuration the counter is never called, and the address
    /// of discovery stands in for it.
    pub(super) fn counter_address(&self) -> SocketAddr {
        self.counter.unwrap_or(self.discovery)
    }

    /// Address of the operator endpoint by the configuration, else by the environment.
    pub(super) fn operator_address(&self) -> Result<Option<SocketAddr>, OperatorVariableError> {
        let value = std::env::var(OPERATOR_VARIABLE).ok().filter(|value| !value.is_empty());
        let parse = |value: String| value.parse().map_err(|source| OperatorVariableError { value, source });
        let from_environment = value.map(parse).transpose()?;
        Ok(self.operator.or(from_environment))
    }
}

/// The value of `ROUTER_OPERATOR` is not an address.
#[derive(Debug)]
pub(super) struct OperatorVariableError {
    value: String,
    source: AddrParseError,
}

impl fmt::Display for OperatorVariableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{OPERATOR_VARIABLE}: {:?} is not an address: {}", self.value, self.source)
    }
}

impl std::error::Error for OperatorVariableError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// A validated configuration.
pub(super) struct LoadedConfiguration {
    /// The JSON document; a reload compares the new one with it.
    pub(super) document: Value,
    pub(super) fields: Configuration,
    /// Settings of the decision module.
    pub(super) settings: Settings,
    /// Settings of connections.
    pub(super) sockets: SocketSettings,
}

impl LoadedConfiguration {
    /// Reads a configuration at startup.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid.
    pub(super) fn read(path: &Path) -> Result<Self, ConfigurationError> {
        Self::parse(&std::fs::read(path)?)
    }

    /// Reads a configuration that is to replace the one in force.
    ///
    /// # Errors
    /// The file cannot be read, is invalid, or lacks a key that the one in force has.
    pub(super) fn read_replacement(path: &Path, in_force: &Value) -> Result<Self, ConfigurationError> {
        let text = std::fs::read(path)?;
        let document: Value = serde_json::from_slice(&text)?;
        settings::check_replacement(&document, in_force)
            .map_err(|e| ConfigurationError::Settings(e.to_string()))?;
        Self::validate(&text, document)
    }

    pub(super) fn parse(text: &[u8]) -> Result<Self, ConfigurationError> {
        Self::validate(text, serde_json::from_slice(text)?)
    }

    fn validate(text: &[u8], document: Value) -> Result<Self, ConfigurationError> {
        let fields: Configuration = serde_json::from_slice(text)?;
        let (settings, sockets) = settings::read(fields.settings.clone())
            .map_err(|e| ConfigurationError::Settings(e.to_string()))?;
        if fields.limits.sockets < MIN_DESCRIPTORS {
            return Err(ConfigurationError::TooFewSockets(fields.limits.sockets));
        }
        if settings.uses_counter && fields.counter.is_none() {
            return Err(ConfigurationError::NoCounterAddress);
        }
        Ok(LoadedConfiguration { document, fields, settings, sockets })
    }
}

/// Why a configuration is not usable.
#[derive(Debug)]
pub(super) enum ConfigurationError {
    Read(io::Error),
    Parse(serde_json::Error),
    /// The settings object is invalid, or lacks what the one in force has; the text names the field.
    Settings(String),
    /// `limits.sockets`, which is less than [`MIN_DESCRIPTORS`].
    TooFewSockets(usize),
    NoCounterAddress,
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Read(source) => source.fmt(f),
            ConfigurationError::Parse(source) => source.fmt(f),
            ConfigurationError::Settings(message) => f.write_str(message),
            ConfigurationError::TooFewSockets(sockets) => {
                write!(f, "limits.sockets: {sockets} is too low, at least {MIN_DESCRIPTORS} are required")
            }
            ConfigurationError::NoCounterAddress => {
                f.write_str("counter: missing, but settings.familyInfo.mayCount is true")
            }
        }
    }
}

impl std::error::Error for ConfigurationError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConfigurationError::Read(source) => Some(source),
            ConfigurationError::Parse(source) => Some(source),
            _ => None,
        }
    }
}

impl From<io::Error> for ConfigurationError {
    fn from(source: io::Error) -> Self {
        ConfigurationError::Read(source)
    }
}

impl From<serde_json::Error> for ConfigurationError {
    fn from(source: serde_json::Error) -> Self {
        ConfigurationError::Parse(source)
    }
}
