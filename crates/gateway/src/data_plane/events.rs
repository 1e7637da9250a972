//! Inputs and outputs of the edge node's state machine.

use super::requests::FinalResponse;
use crate::protocol::{LoadReport, PeerMessage};
use std::net::{IpAddr, SocketAddr};
use whinstall::{HostId, RequestId};

/// Something that happened. Requests and the ends of attempts have methods of their own
/// ([`EdgeNode::on_request`](super::EdgeNode::on_request) and others).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed: due at [`EdgeNode::next_wakeup`](super::EdgeNode::next_wakeup), and every
    /// [`TICK_SECS`](super::TICK_SECS).
    Tick,
    /// A connection to a core node was established.
    LinkUp(IpAddr),
    /// The connection to a core node was lost.
    LinkDown(IpAddr),
    /// A core node sent a message.
    CoreMessage(IpAddr, PeerMessage),
    /// Another edge node reported its attempts in flight.
    PeerLoad(IpAddr, LoadReport),
}

/// Something that the caller is to do, in the order given.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Keep a connection to this core node open from now on.
    Connect(IpAddr),
    /// Close the connection to this core node and do not reopen it.
    Disconnect(IpAddr),
    /// Send a message to a core node. It may be lost with the connection.
    Send(IpAddr, PeerMessage),
    /// Send an attempt of a request to a worker, and report its end with
    /// [`EdgeNode::on_attempt_end`](super::EdgeNode::on_attempt_end).
    Dispatch {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The worker; a restarted one has another id.
        worker: HostId,
        /// Where the worker listens.
        address: SocketAddr,
        /// Time after which the attempt ends as timed out, in seconds.
        timeout_secs: f64,
    },
    /// Cancel an attempt. Only asked for if its request is idempotent, as the worker may have run it.
    CancelAttempt(RequestId, u32),
    /// Send the final response to a request's client.
    Respond(RequestId, FinalResponse),
    /// Close the idle connections to a worker.
    CloseIdleConnections(HostId),
    /// Send this report to these edge nodes, in one UDP datagram each. It may be lost.
    SendLoadReport(Vec<IpAddr>, LoadReport),
}
