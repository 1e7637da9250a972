//! Load reports between edges: one datagram each, lost without notice where the network or a buffer is full.

use crate::protocol::LoadReport;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;

/// The longest datagram: bytes.
const MAX_DATAGRAM_BYTES: usize = 65536;
/// After a failed read the socket rests for so long.
const READ_RETRY: Duration = Duration::from_millis(5);

/// A datagram from another edge.
pub struct ReceivedReport {
    /// Its sender.
    pub from: IpAddr,
    /// Its length in bytes.
    pub length: usize,
    /// The report in it; `None` if it can't be decoded.
    pub report: Option<LoadReport>,
}

/// The datagram socket of an edge. Every edge uses the same port.
pub struct LoadReportSocket {
    socket: UdpSocket,
    port: u16,
}

impl LoadReportSocket {
    /// Binds the socket. Fails if the address is not this machine's or the port is taken.
    pub async fn bind(ip: IpAddr, port: u16) -> io::Result<Self> {
        Ok(LoadReportSocket { socket: UdpSocket::bind((ip, port)).await?, port })
    }

    /// Sends a report to each of these edges, without waiting. Returns the length of a datagram in bytes; `None` if the
    /// report can't be encoded and nothing was sent. A lost datagram is not sent again: the next report replaces it.
    pub fn send(&self, to: &[IpAddr], report: &LoadReport) -> Option<usize> {
        let bytes = rmp_serde::to_vec(report).ok()?;
        for ip in to {
            let _ = self.socket.try_send_to(&bytes, SocketAddr::new(*ip, self.port));
        }
        Some(bytes.len())
    }

    /// Passes every datagram that arrives to `received`, for ever.
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
