//! The messages that edge nodes and core nodes send each other over TCP.

use super::{LeaderRequest, LeaderResponse, LogCommand, NodeLocation, TenantGrant, TenantUsage};
use crate::configuration::ConfigItem;
use crate::consensus::{Index, Message, NodeId};
use crate::discovery::Worker;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// A message from one process of the system to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on a connection: identifies the node that opened it.
    Hello {
        /// The node's name.
        node: String,
        /// Incarnation of its process: differs for every start.
        incarnation: u64,
        /// The node's address, zone and region.
        location: NodeLocation,
        /// Whether it runs the core role; otherwise the edge role.
        is_core: bool,
    },
    /// Core to edge: edge nodes seen lately, in full or as a difference to what this connection carried before.
    #[serde(rename = "Gates")]
    EdgeNodes {
        /// Whether `present` lists all of them.
        is_full: bool,
        /// Those that are there, by zone.
        present: Vec<(String, Vec<IpAddr>)>,
        /// Those that are no longer there.
        removed: Vec<IpAddr>,
    },
    /// Core nodes known to the sender.
    #[serde(rename = "Members")]
    CoreNodes(Vec<NodeLocation>),
    /// Keep-alive, with digests of what the sender holds (anti-entropy).
    Ping {
        /// Log index of the last entry that changed the configuration.
        config_index: u64,
        /// Digest of the worker registry.
        workers_digest: u64,
        /// From an edge node: messages that it has received on this connection, for flow control. From a core node:
        /// its [`CORE_PROTOCOL_VERSION`](super::CORE_PROTOCOL_VERSION).
        received: u64,
    },
    /// Core to edge: the answer to a [`PeerMessage::Ping`].
    Pong {
        /// Address of the core node that holds the quota lease, if known.
        quota_leader: Option<IpAddr>,
        /// Edge nodes seen lately; 0 while not known yet.
        edge_count: u32,
        /// Core nodes that vote.
        core_count: u32,
        /// Whether this connection has carried every live worker that a majority of the core knows.
        workers_complete: bool,
    },
    /// Core to edge: the configuration as of a log entry, in full or as a difference.
    #[serde(rename = "Config")]
    ConfigUpdate {
        /// The entry that the difference applies to; `None`: `items` is the full configuration.
        previous: Option<Index>,
        /// The entry that `items` brings the receiver to.
        index: Index,
        /// Items; one without body is dropped. From the first tenant on, dropped or not, requests need a credential: a
        /// full configuration whose tenants are all dropped has one dropped tenant with an empty name.
        items: Vec<ConfigItem>,
    },
    /// Workers whose state changed.
    #[serde(rename = "Workers")]
    WorkerUpdates(Vec<Worker>),
    /// All workers that a core node knows.
    #[serde(rename = "AllWorkers")]
    WorkerSnapshot {
        /// The workers.
        workers: Vec<Worker>,
        /// Whether a worker that is not listed is gone.
        complete: bool,
    },
    /// Core to core: workers whose heartbeats were received lately, by id and call count.
    #[serde(rename = "Alive")]
    Heartbeats(Vec<(String, u64)>),
    /// Core to core, from earlier releases only: hold these workers in memory and confirm.
    #[serde(rename = "Hold")]
    ReplicateWorkers {
        /// Correlates the confirmation.
        request_id: u64,
        /// The workers.
        workers: Vec<Worker>,
    },
    /// Confirms [`PeerMessage::ReplicateWorkers`]: held in memory.
    #[serde(rename = "Held")]
    WorkersReplicated {
        /// As in the request.
        request_id: u64,
    },
    /// A message of the consensus protocol between two members.
    #[serde(rename = "Raft")]
    Consensus {
        /// The sending member.
        from: NodeId,
        /// The addressed member; a machine whose disk was replaced is another one and ignores it.
        to: NodeId,
        /// The message.
        message: Message<LogCommand>,
    },
    /// A core node shuts down for good and gives up its vote.
    Leave {
        /// The member that leaves.
        id: NodeId,
    },
    /// A core node that hears no leader asks to be added as a member.
    Join {
        /// The node and its disk.
        id: NodeId,
        /// Whether another node forwarded it; then it is not forwarded again.
        forwarded: bool,
    },
    /// An operator's call, forwarded to the leader.
    #[serde(rename = "Forward")]
    ForwardRequest {
        /// Correlates the response.
        request_id: u64,
        /// The call.
        request: LeaderRequest,
    },
    /// The leader's response to [`PeerMessage::ForwardRequest`].
    #[serde(rename = "Forwarded")]
    ForwardResponse {
        /// As in the request.
        request_id: u64,
        /// The response.
        response: LeaderResponse,
    },
    /// Edge to quota leader: usage by tenant.
    #[serde(rename = "Sync")]
    QuotaSync {
        /// Correlates the answer.
        request_id: u64,
        /// The highest term of a leader that answered this edge node (fencing token).
        term: u64,
        /// Usage of the tenants that changed.
        usage: Vec<TenantUsage>,
    },
    /// The answer to [`PeerMessage::QuotaSync`].
    #[serde(rename = "Totals")]
    QuotaGrants {
        /// As in the request.
        request_id: u64,
        /// The answering leader's term (fencing token).
        term: u64,
        /// Whether the answering node holds the quota lease; otherwise `grants` is empty.
        is_leader: bool,
        /// By tenant.
        grants: Vec<TenantGrant>,
    },
}
