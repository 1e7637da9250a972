//! Events of the simulation's queue, and the calls and attempts that they carry.

use crate::faults::Fault;
use crate::network::{LinkKey, NodeRef};
use crate::operators::OperatorStep;
use crate::partitions::Partition;
use whinstall_gateway::configuration::ConfigItem;
use whinstall_gateway::protocol::LoadReport;

/// What is to happen.
#[derive(Debug)]
pub enum SimulationEvent {
    CoreTick(usize, u64),
    EdgeTick(usize, u64),
    Dial(LinkKey, u64),
    DialUp(LinkKey, u64),
    DeliverMessages(LinkKey, u64, bool),
    LinkCheck,
    DiskDone(usize, u64, u64),
    HeartbeatDue(usize),
    CallArrives(usize, ControlCall),
    CallAnswered(ControlCall, u16),
    CallTimedOut(u64),
    WorkerDeparts(usize),
    ClientRequest,
    AttemptArrives(WorkerAttempt),
    WorkerFinishes(usize, WorkerAttempt),
    LoadReportArrives(usize, usize, LoadReport),
    AttemptEnded(WorkerAttempt, whinstall::Ending, bool),
    OperatorActs,
    Fault(Fault),
    Repair(Fault),
    Boot(NodeRef),
    /// The next step of making a core node's new disk, in this life; is it told that the system starts first?
    CreatingDisk(usize, u64, bool),
    InvariantCheck,
    OperatorTurn(OperatorStep),
    /// A process that was asked to end is gone.
    ProcessExited(usize, u64),
    PartitionHeals(Partition),
    /// The operator's list changed: files are written anew.
    SeedListsChange,
}

/// A call to a core node under way.
#[derive(Clone, Debug)]
pub struct ControlCall {
    pub id: u64,
    pub core: usize,
    pub by: CallOrigin,
}

/// Who sends a call to a core node, and what for.
#[derive(Clone, Debug)]
pub enum CallOrigin {
    Heartbeat(usize),
    Departure(usize),
    PrimaryChange(Vec<ConfigItem>),
    PrimaryRead,
    /// One of the operators' orders; `again`: beside the operator's own run of orders.
    Change {
        order: usize,
        operator: usize,
        again: bool,
    },
    /// An operator reads.
    Read {
        operator: usize,
        from: f64,
    },
}

/// One attempt of a request at a worker.
#[derive(Clone, Debug)]
pub struct WorkerAttempt {
    pub edge: usize,
    pub incarnation: u64,
    pub id: whinstall::RequestId,
    pub attempt: u32,
    pub worker: usize,
    pub host: whinstall::HostId,
    pub request: u64,
}
