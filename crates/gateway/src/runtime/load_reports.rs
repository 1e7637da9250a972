//! Load reports between edges. Each report is one datagram, which is lost without notice if the network or a buffer is
//! full.

use crate::protocol::LoadReport;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65536;
/// Delay after a failed read.
const READ_RETRY: Duration = Duration::from_millis(5);

/// A datagram from another edge.
pub struct ReceivedReport {
    /// Address of the sender.
    pub from: IpAddr,
    /// Length of the datagram in bytes.
    pub length: usize,
    /// The decoded report; `None` if the datagram can't be decoded.
    pub report: Option<LoadReport>,
}

/// The datagram socket of an edge. Every edge uses the same port.
pub struct LoadReportSocket {
    socket: UdpSocket,
    port: u16,
}

impl LoadReportSocket {
    /// Binds the socket. Fails if the address does not belong to this machine or the port is in use.
    pub async fn bind(ip: IpAddr, port: u16) -> io::Result<Self> {
        Ok(LoadReportSocket { socket: UdpSocket::bind((ip, port)).await?, port })
    }

    /// Sends a report to each of these edges without waiting. Returns the length of a datagram in bytes, or `None` if the
    /// report can't be encoded and nothing was sent. A lost datagram is not resent, because the next report replaces it.
    pub fn send(&self, to: &[IpAddr], report: &LoadReport) -> Option<usize> {
        let bytes = rmp_serde::to_vec(report).ok()?;
        for ip in to {
            let _ = self.socket.try_send_to(&bytes, SocketAddr::new(*ip, self.port));
        }
        Some(bytes.len())
    }

    /// Passes every received datagram to `received`; never returns.
    pub async fn receive(&self, mut received: impl FnMut(ReceivedReport)) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    let report = rmp_serde::from_slice(&bytes[..length]).ok();
                    received(ReceivedReport { from: from.ip(), length, report });
                }
                Err(_) => tokio::time::sleep(READ_RETRY).await,
            }
        }
    }
}
