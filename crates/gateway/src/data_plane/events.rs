//! Inputs and outputs of the edge node's state machine.

use super::requests::FinalResponse;
use crate::protocol::{LoadReport, PeerMessage};
use std::net::{IpAddr, SocketAddr};
use whinstall::{HostId, RequestId};

/// An input to the state machine. Requests, the ends of attempts and client disconnects are passed to methods instead
/// ([`EdgeNode::on_request`](super::EdgeNode::on_request) and others).
#[derive(Clone, Debug)]
pub enum Event {
    /// The timer fired. Due at [`EdgeNode::next_wakeup`](super::EdgeNode::next_wakeup), and at least every
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

/// An action for the caller to perform, in the order in which the effects were emitted.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Connect to this core node, and reconnect whenever the connection is lost.
    Connect(IpAddr),
    /// Close the connection to this core node and do not reopen it.
    Disconnect(IpAddr),
    /// Send a message to a core node. The message may be lost if the connection breaks.
    Send(IpAddr, PeerMessage),
    /// Send an attempt of a request to a worker, and report its end with
    /// [`EdgeNode::on_attempt_end`](super::EdgeNode::on_attempt_end).
    Dispatch {
        /// The request to which the attempt belongs.
        id: RequestId,
        /// Number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// Id of the worker's incarnation; a restarted worker has a new id.
        worker: HostId,
        /// Address on which the worker listens.
        address: SocketAddr,
        /// Time after which the attempt ends as timed out, in seconds.
        timeout_secs: f64,
    },
    /// Cancel an attempt. Emitted for idempotent requests only, because the worker may already have run the attempt.
    CancelAttempt(RequestId, u32),
    /// Send the final response to a request's client.
    Respond(RequestId, FinalResponse),
    /// Close the idle connections to a worker.
    CloseIdleConnections(HostId),
    /// Send this report to these edge nodes, in one UDP datagram each. Datagrams may be lost.
    SendLoadReport(Vec<IpAddr>, LoadReport),
}
