//! `status`: asks a core machine at its control address for the state of the core, and prints it as indented JSON.

use super::CommandError;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The machine must accept the connection, and send something, within this.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Why there is no state to print. The question changes nothing, and may be repeated.
#[derive(Debug, displaydoc::Display)]
pub enum StatusError {
    /// {0}
    Connection(std::io::Error),
    /// no answer
    NoResponse,
    /// {0}
    Rejected(String),
    /// {0}
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

/// Prints the state of the core as the machine at `at`, an address and a port, sees it.
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
