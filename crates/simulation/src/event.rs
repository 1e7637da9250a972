//! Events of the simulation's queue, and the calls and attempts that they carry.

use crate::faults::Fault;
use crate::network::{LinkKey, NodeRef};
use crate::operators::OperatorStep;
use crate::partitions::Partition;
use whinstall_gateway::configuration::ConfigItem;
use whinstall_gateway::discovery::Worker;
use whinstall_gateway::protocol::LoadReport;

/// An event in the simulation's queue.
#[derive(Debug)]
pub enum SimulationEvent {
    /// A core node's timer fires, in this incarnation.
    CoreTick(usize, u64),
    /// An edge node's timer fires, in this incarnation.
    EdgeTick(usize, u64),
    /// A process tries to open a connection, in this incarnation.
    Dial(LinkKey, u64),
    /// A connection opens, in this incarnation of the opener.
    DialUp(LinkKey, u64),
    /// The next message of a connection, by its number, is due; `true`: on its way to the core node.
    DeliverMessages(LinkKey, u64, bool),
    /// Silent connections are closed.
    LinkCheck,
    /// A core node's disk has synced all writes up to this sequence number, in this incarnation.
    DiskDone(usize, u64, u64),
    /// A worker sends its heartbeat.
    HeartbeatDue(usize),
    /// A call reaches a core node.
    CallArrives(usize, ControlCall),
    /// A response with this status reaches the sender of the call.
    CallAnswered(ControlCall, u16),
    /// No response came in time.
    CallTimedOut(u64),
    /// A drained worker deregisters and ends.
    WorkerDeparts(usize),
    /// A worker that announced its shutdown ends.
    WorkerEnds(usize),
    /// A client sends a request.
    ClientRequest,
    /// An attempt reaches its worker's address.
    AttemptArrives(WorkerAttempt),
    /// A worker finishes a request.
    WorkerFinishes(usize, WorkerAttempt),
    /// A load report of the first edge node reaches the second.
    LoadReportArrives(usize, usize, LoadReport),
    /// The outcome of an attempt reaches its edge node; `true`: another worker had the address.
    AttemptEnded(WorkerAttempt, whinstall::Ending, bool),
    /// The primary operator sends its next change.
    OperatorActs,
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    Repair(Fault),
    /// A process starts.
    Boot(NodeRef),
    /// The next step in the creation of a core node's disk, in this incarnation; `true`: as part of the system's bootstrap.
    CreatingDisk(usize, u64, bool),
    /// The invariants are checked.
    InvariantCheck,
    /// The scripted operator sends this change.
    ScriptedChangeDue(usize),
    /// One of the concurrent operators takes a step.
    OperatorTurn(OperatorStep),
    /// A process that got SIGTERM ends, in this incarnation.
    ProcessExited(usize, u64),
    /// A partition ends.
    PartitionHeals(Partition),
    /// The operators' list of core nodes changed: seed lists are rewritten.
    SeedListsChange,
}

/// A call to a core node in flight.
#[derive(Clone, Debug)]
pub struct ControlCall {
    /// The number of the call.
    pub id: u64,
    /// The core node that is called.
    pub core: usize,
    /// The sender and purpose of the call.
    pub by: CallOrigin,
}

/// The sender and purpose of a call to a core node.
#[derive(Clone, Debug)]
pub enum CallOrigin {
    /// A worker's heartbeat.
    Heartbeat(usize),
    /// A worker deregisters.
    Departure(usize),
    /// A worker announces its shutdown, and serves on.
    Shutdown(usize),
    /// A heartbeat that a worker sent earlier.
    LateHeartbeat {
        /// Index of the worker.
        worker: usize,
        /// What the worker reported when it sent the heartbeat.
        report: Box<Worker>,
    },
    /// A change of the primary operator.
    PrimaryChange(Vec<ConfigItem>),
    /// A change of the scripted operator, by its index.
    ScriptedChange(usize),
    /// The final read of the primary operator.
    PrimaryRead,
    /// A change of a concurrent operator.
    Change {
        /// Index of the change.
        order: usize,
        /// Index of the operator.
        operator: usize,
        /// Whether it is sent beside the operator's sequence of changes.
        again: bool,
    },
    /// A read of a concurrent operator.
    Read {
        /// Index of the operator.
        operator: usize,
        /// When the read began.
        from: f64,
    },
}

/// One attempt of a request at a worker.
#[derive(Clone, Debug)]
pub struct WorkerAttempt {
    /// The edge node that sent it.
    pub edge: usize,
    /// The incarnation of the edge node.
    pub incarnation: u64,
    /// The request.
    pub id: whinstall::RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker that it was meant for.
    pub worker: usize,
    /// The worker's identifier at the edge node.
    pub host: whinstall::HostId,
    /// The auditor's number of the request.
    pub request: u64,
}
