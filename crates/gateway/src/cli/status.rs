//! `status`: queries a core machine at its control address for the state of the core and prints it as indented JSON.

use super::CommandError;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of connecting, and of each single read of the response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Failure to query the state of the core. The query changes nothing and may be retried.
#[derive(Debug, displaydoc::Display)]
pub enum StatusError {
    /// connection failed: {0}
    Connection(std::io::Error),
    /// connection closed before a complete response head
    NoResponse,
    /// unexpected status line: {0}
    Rejected(String),
    /// response body is not JSON: {0}
    NotJson(serde_json::Error),
}

impl std::error::Error for StatusError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StatusError::Connection(error) => Some(error),
            StatusError::NotJson(error) => Some(error),
            StatusError::NoResponse | StatusError::Rejected(_) => None,
        }
    }
}

impl From<std::io::Error> for StatusError {
    fn from(error: std::io::Error) -> Self {
        StatusError::Connection(error)
    }
}

/// Prints the state of the core as seen by the machine at `at`, an IP address and a port.
pub(super) fn run(at: Option<String>) -> Result<(), CommandError> {
    let address = at.and_then(|at| at.parse().ok()).ok_or(CommandError::MissingAddress)?;
    let state = fetch(address).map_err(|error| CommandError::Status(address, error))?;
    println!("{state:#}");
    Ok(())
}

fn fetch(address: SocketAddr) -> Result<Value, StatusError> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let request = format!("GET /whinstall/core HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or(StatusError::NoResponse)?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(StatusError::Rejected(head.lines().next().unwrap_or_default().to_owned()));
    }
    serde_json::from_str(body).map_err(StatusError::NotJson)
}
