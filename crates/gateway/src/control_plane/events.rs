//! Inputs and outputs of the core role's state machine. [`CoreNode::handle`](super::CoreNode::handle) takes one
//! [`Event`] and appends the [`Effect`]s that the driver has to carry out, in that order.

use crate::configuration::ConfigItem;
use crate::discovery::Worker;
use crate::protocol::PeerMessage;
use crate::storage::WriteBatch;
use serde_json::Value;
use std::net::IpAddr;

/// An inbound connection: one that an edge or another core node opened to this process.
pub type ConnectionId = u64;
/// An HTTP call of a worker or an operator that awaits its response.
pub type CallId = u64;

/// A decoded call of a worker or an operator.
#[derive(Clone, Debug)]
pub enum ApiCommand {
    /// A worker's heartbeat, with its present state.
    Heartbeat(Worker),
    /// The worker with this id has left.
    Departure(String),
    /// Change these configuration items.
    Amend(Vec<ConfigItem>),
    /// A configuration change whose body can't be decoded, with the reason. The rejection goes through the leader like
    /// any other, so a node without a quorum rejects nothing.
    InvalidChange(String),
    /// Any other call that can't be decoded, with the reason. Rejected only by a node in contact with a quorum.
    Malformed(String),
    /// Read the configuration, linearizably.
    Read,
    /// Read this node's event journal.
    Journal,
    /// Read this node's view of the cluster: members, leader, progress.
    Status,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed: expected every [`TICK_SECS`](super::TICK_SECS).
    Tick,
    /// The outbound connection to this core node is established.
    LinkUp(IpAddr),
    /// The outbound connection to this core node is lost.
    LinkDown(IpAddr),
    /// A core node sent this on the connection that this process opened to it.
    PeerMessage(IpAddr, PeerMessage),
    /// An edge or core node sent this on a connection that it opened.
    SessionMessage(ConnectionId, PeerMessage),
    /// The other end closed that connection.
    SessionClosed(ConnectionId),
    /// A worker or an operator calls.
    ApiCall(CallId, ApiCommand),
    /// The write batch with this number is synced, and so are all before it.
    Persisted(u64),
    /// The process is asked to end: hand over leadership, announce the departure.
    Shutdown,
}

/// An output of the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Keep a connection to this core node open from now on, reconnecting as needed.
    Connect(IpAddr),
    /// Close that connection for good.
    Disconnect(IpAddr),
    /// Send on the outbound connection to this core node.
    SendToPeer(IpAddr, PeerMessage),
    /// Send on this inbound connection.
    SendToSession(ConnectionId, PeerMessage),
    /// Respond to a call with this HTTP status and JSON body.
    Respond(CallId, u16, Value),
    /// Write and sync; batches in the order in which they were put out.
    Persist(WriteBatch),
}
