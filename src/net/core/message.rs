//! The interface of the core: the messages it receives and the [`Transport`] it acts through.

use crate::net::outcome::ExchangeOutcome;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use whinstall::zone_failover::ZoneFailoverSettings;
use whinstall::{
    CeilingShare, CounterKey, CustomerId, ExportedState, HostEntry, HostId, ListScope, LocalState,
    RemoteState, RequestId, Settings,
};

/// Carries out the core's decisions on the network.
pub trait Transport {
    /// A session's request as the downstream side submits it; attempts get it back unchanged.
    type Request;
    /// A node's response; the session's downstream side gets it unchanged.
    type Response;
    /// Starts an attempt, which reports exactly one [`CoreMessage::AttemptFinished`].
    fn start_attempt(&self, attempt: Attempt<Self::Request>);
    /// Calls the quota counter, which reports exactly one [`CoreMessage::CounterReply`].
    fn call_counter(&self, call: CounterCall);
    /// Closes the idle connections to a node.
    fn close_idle(&self, node: &HostId);
}

/// One attempt of a session at a node.
pub struct Attempt<Q> {
    /// The session.
    pub id: RequestId,
    /// Its number within the session, from 0.
    pub number: u32,
    /// The node, as discovery names it.
    pub node: HostId,
    /// What to send.
    pub request: Rc<Q>,
    /// Time to the complete response.
    pub timeout: Duration,
    /// Resolves when the attempt is cancelled; its outcome is reported all the same.
    pub cancelled: oneshot::Receiver<()>,
}

/// The result of an attempt.
pub struct AttemptReport<A> {
    /// Its session.
    pub id: RequestId,
    /// Its number within the session.
    pub number: u32,
    /// Its node.
    pub node: HostId,
    /// How it ended.
    pub outcome: ExchangeOutcome,
    /// The response, if it is to be returned to the client.
    pub response: Option<A>,
    /// The customer's use over all gatekeepers as the node reported it, as a fraction of its rate.
    pub usage: Option<f64>,
    /// Time since its start.
    pub elapsed: Duration,
}

/// One call to the quota counter.
pub struct CounterCall {
    /// Name of the count.
    pub name: CounterKey,
    /// Amount to add.
    pub amount: f64,
    /// Life of the name, if the call creates it.
    pub ttl: Duration,
}

/// The final result of a session.
#[derive(Debug, PartialEq)]
pub enum SessionResult<A> {
    /// A node's response.
    Response(A),
    /// Refused without having run; a retry is harmless, preferably after this time.
    Denied {
        /// Advised wait.
        retry_after: Option<Duration>,
    },
    /// Failed; the request may have run.
    Failed,
    /// A session of this id is already in progress.
    DuplicateId,
}

/// A client's request that enters the core.
pub struct NewSession<T: Transport> {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: String,
    /// Its customer's plan.
    pub plan: String,
    /// Its customer.
    pub customer: CustomerId,
    /// When its client gives up.
    pub deadline: Instant,
    /// Units it is charged.
    pub units: f64,
    /// Gatekeepers that its customer's traffic is spread over.
    pub gateway_count: u32,
    /// What attempts send.
    pub request: T::Request,
    /// Gets the one result. Closed by the receiver when the client disconnects.
    pub result: oneshot::Sender<SessionResult<T::Response>>,
}

/// A message to the core.
pub enum CoreMessage<T: Transport> {
    /// A session starts.
    NewSession(Box<NewSession<T>>),
    /// A session's client has disconnected.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptFinished(AttemptReport<T::Response>),
    /// A call to the quota counter has ended.
    CounterReply {
        /// Name of the count.
        name: CounterKey,
        /// How it ended.
        outcome: ExchangeOutcome,
        /// The total, meaningful only with `Answered`.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// A call to the quota counter was answered after it had timed out.
    LateCounterReply {
        /// Name of the count.
        name: CounterKey,
        /// The total.
        total: f64,
        /// Time since the call.
        elapsed: Duration,
    },
    /// The endpoint list has changed.
    Endpoints {
        /// Whether the entries replace the list or update it.
        scope: ListScope,
        /// Its nodes.
        entries: Vec<HostEntry>,
    },
    /// New settings of zones; they replace those in force, if any.
    ZoneSettings(Box<ZoneFailoverSettings>),
    /// Requests what this gatekeeper charged and observed, for replication.
    ReadLocalState(oneshot::Sender<LocalState>),
    /// What other gatekeepers, and earlier incarnations of this one, charged and observed. It replaces what was
    /// received before.
    ReplicatedState(Box<RemoteState>),
    /// From now on hard ceilings are divided over the fleet, except for this fraction of the even shares.
    DivideCeilings(f64),
    /// The parts of ceilings that were assigned to this gatekeeper.
    AssignedCeilings(Vec<CeilingShare>),
    /// New settings, for sessions that start from now on.
    Settings(Box<Settings>),
    /// Requests the decision module's state for handover to a new process.
    ExportState(oneshot::Sender<ExportedState>),
    /// The handover failed: the exported state is this process's again.
    ResumeState(Box<ExportedState>),
    /// The state of the process that this one replaces.
    ImportState(Box<ExportedState>),
}

/// Sends messages to the core.
pub type Sender<T> = mpsc::UnboundedSender<CoreMessage<T>>;
