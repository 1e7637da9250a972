//! Inputs and outputs of the core role's state machine. [`CoreNode::handle`](super::CoreNode::handle) takes one
//! [`Event`] and appends the [`Effect`]s that the driver has to perform, in order.

use crate::configuration::ConfigItem;
use crate::discovery::Worker;
use crate::protocol::PeerMessage;
use crate::storage::WriteBatch;
use serde_json::Value;
use std::net::IpAddr;

/// An inbound connection: one that an edge node or another core node opened to this process.
pub type ConnectionId = u64;
/// An HTTP call of a worker or an operator that awaits its response.
pub type CallId = u64;

/// A decoded call of a worker or an operator.
#[derive(Clone, Debug)]
pub enum ApiCommand {
    /// A worker's heartbeat, with the worker's current state.
    Heartbeat(Worker),
    /// The worker with this id has departed.
    Departure(String),
    /// Change these configuration items.
    Amend(Vec<ConfigItem>),
    /// A configuration change whose body can't be decoded, with the reason. The leader issues the rejection as it does
    /// any other, so a node without a quorum rejects nothing.
    InvalidChange(String),
    /// Any other call that can't be decoded, with the reason. Only a node in contact with a quorum rejects such a call.
    Malformed(String),
    /// Read the configuration, linearizably.
    Read,
    /// Read this node's event journal.
    Journal,
    /// Read this node's status report: members, leader, replication progress.
    Status,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired; expected every [`TICK_SECS`](super::TICK_SECS).
    Tick,
    /// The outbound connection to this core node is established.
    LinkUp(IpAddr),
    /// The outbound connection to this core node is lost.
    LinkDown(IpAddr),
    /// A core node sent this message on the connection that this process opened to it.
    PeerMessage(IpAddr, PeerMessage),
    /// An edge node or core node sent this message on a connection that it opened.
    SessionMessage(ConnectionId, PeerMessage),
    /// The other end closed this inbound connection.
    SessionClosed(ConnectionId),
    /// A worker or an operator made an API call.
    ApiCall(CallId, ApiCommand),
    /// The write batch with this number and all earlier ones are synced.
    Persisted(u64),
    /// The process is asked to end: transfer leadership and announce the departure.
    Shutdown,
}

/// An output of the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Open a connection to this core node, and reconnect as needed from now on.
    Connect(IpAddr),
    /// Close the connection to this core node for good.
    Disconnect(IpAddr),
    /// Send a message on the outbound connection to this core node.
    SendToPeer(IpAddr, PeerMessage),
    /// Send a message on this inbound connection.
    SendToSession(ConnectionId, PeerMessage),
    /// Respond to an API call with this HTTP status and JSON body.
    Respond(CallId, u16, Value),
    /// Write and sync this batch. Batches must become durable in the order of these effects.
    Persist(WriteBatch),
}
