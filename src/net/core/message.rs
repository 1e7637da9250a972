//! Interface of the core: the messages that it receives and the [`Transport`] that executes its decisions.

use crate::net::outcome::ExchangeOutcome;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use whinstall::zone_failover::ZoneFailoverSettings;
use whinstall::{
    CeilingShare, CounterKey, CustomerId, ExportedState, HostEntry, HostId, ListScope, LocalState,
    RemoteState, RequestId, Settings,
};

/// Executes the core's decisions on the network.
pub trait Transport {
    /// Request as the downstream side submits it; passed to each attempt unchanged.
    type Request;
    /// Response of a node; passed to the downstream side unchanged.
    type Response;
    /// Starts an attempt. The transport reports its outcome with exactly one [`CoreMessage::AttemptFinished`].
    fn start_attempt(&self, attempt: Attempt<Self::Request>);
    /// Calls the quota counter. The transport reports the outcome with exactly one [`CoreMessage::CounterReply`].
    fn call_counter(&self, call: CounterCall);
    /// Closes the idle connections to a node.
    fn close_idle(&self, node: &HostId);
}

/// One attempt to execute a session's request at a node.
pub struct Attempt<Q> {
    /// Request id of the session.
    pub id: RequestId,
    /// Number of the attempt within the session, from 0.
    pub number: u32,
    /// Node that the decision module selected.
    pub node: HostId,
    /// Request to send.
    pub request: Rc<Q>,
    /// Time limit for the complete response, from the start of the attempt.
    pub timeout: Duration,
    /// Resolves when the core cancels the attempt. The outcome of a cancelled attempt is reported too.
    pub cancelled: oneshot::Receiver<()>,
}

/// Report of a finished attempt.
pub struct AttemptReport<A> {
    /// Request id of the session.
    pub id: RequestId,
    /// Number of the attempt within the session, from 0.
    pub number: u32,
    /// Node that the attempt addressed.
    pub node: HostId,
    /// Outcome of the exchange.
    pub outcome: ExchangeOutcome,
    /// Response for the client; present only with [`ExchangeOutcome::Answered`].
    pub response: Option<A>,
    /// Usage of the customer over all gatekeepers, as a fraction of its rate, if the node reported one.
    pub usage: Option<f64>,
    /// Time from the start to the end of the attempt.
    pub elapsed: Duration,
}

/// One call to the quota counter.
pub struct CounterCall {
    /// Key of the counter to add to.
    pub name: CounterKey,
    /// Units to add.
    pub amount: f64,
    /// Time until the counter expires, if the call creates it.
    pub ttl: Duration,
}

/// Final result of a session.
#[derive(Debug, PartialEq)]
pub enum SessionResult<A> {
    /// A node executed the request and returned this response.
    Response(A),
    /// The request was refused and did not run, so the client may retry it.
    Denied {
        /// Delay after which the client should retry, if one is advised.
        retry_after: Option<Duration>,
    },
    /// The request failed and may have run.
    Failed,
    /// The request was refused: a session with this request id is in progress.
    DuplicateId,
}

/// A client request that starts a session.
pub struct NewSession<T: Transport> {
    /// Request id that the client chose.
    pub id: RequestId,
    /// Name of the request class.
    pub class: String,
    /// Name of the customer's plan.
    pub plan: String,
    /// Customer that the request is charged to.
    pub customer: CustomerId,
    /// Time at which the client stops waiting for the response.
    pub deadline: Instant,
    /// Units that the request is charged.
    pub units: f64,
    /// Number of gatekeepers that the customer's traffic is spread over.
    pub gateway_count: u32,
    /// Request that the attempts send.
    pub request: T::Request,
    /// Sender of the session's one result. The receiver is closed when the client disconnects.
    pub result: oneshot::Sender<SessionResult<T::Response>>,
}

/// A message to the core.
pub enum CoreMessage<T: Transport> {
    /// A session starts.
    NewSession(Box<NewSession<T>>),
    /// The client of the session with this request id has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptFinished(AttemptReport<T::Response>),
    /// A call to the quota counter has ended.
    CounterReply {
        /// Key of the counter.
        name: CounterKey,
        /// Outcome of the exchange.
        outcome: ExchangeOutcome,
        /// Total of the counter in units; meaningful only with [`ExchangeOutcome::Answered`].
        total: f64,
        /// Time from the start of the call to its end.
        elapsed: Duration,
    },
    /// The quota counter answered a call after the timeout of the call had been reported.
    LateCounterReply {
        /// Key of the counter.
        name: CounterKey,
        /// Total of the counter in units.
        total: f64,
        /// Time from the start of the call to its end.
        elapsed: Duration,
    },
    /// The endpoint list has changed.
    Endpoints {
        /// Whether the entries replace the endpoint list or update it.
        scope: ListScope,
        /// Nodes that the list contains or that changed.
        entries: Vec<HostEntry>,
    },
    /// New settings of zone failover. Ignored if zone failover is not enabled.
    ZoneSettings(Box<ZoneFailoverSettings>),
    /// Requests the charges and observations of this gatekeeper, for replication.
    ReadLocalState(oneshot::Sender<LocalState>),
    /// Charges and observations of the other gatekeepers and of earlier incarnations of this one. Replaces the state
    /// received before.
    ReplicatedState(Box<RemoteState>),
    /// Divides hard ceilings over the fleet from now on, except for this fraction of the equal shares.
    DivideCeilings(f64),
    /// Shares of ceilings that are assigned to this gatekeeper.
    AssignedCeilings(Vec<CeilingShare>),
    /// New settings. Running sessions keep the maximum number of attempts that they started with.
    Settings(Box<Settings>),
    /// Requests the decision module's state, to hand it over to a new process.
    ExportState(oneshot::Sender<ExportedState>),
    /// Takes the exported state back after a failed handover.
    ResumeState(Box<ExportedState>),
    /// Imports the state of the process that this one replaces.
    ImportState(Box<ExportedState>),
}

/// Sending half of the core's message queue.
pub type Sender<T> = mpsc::UnboundedSender<CoreMessage<T>>;
