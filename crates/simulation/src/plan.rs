//! The parameters of a simulated deployment, fixed for the run.

use super::misbehaving_core::Misbehaviour;
use super::operators::OperatorLoad;
use super::scripted_operator::ScriptedChange;

/// The parameters of a simulated deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// How many core nodes there are at the start.
    pub cores: usize,
    /// How many core nodes may be lost at once.
    pub losses: usize,
    /// How many edge nodes there are.
    pub edges: usize,
    /// How many workers each service has.
    pub workers: usize,
    /// Client requests per second.
    pub rate: f64,
    /// Minimum delay of a packet, in seconds.
    pub delay: f64,
    /// Maximum random addition to the delay, in seconds.
    pub jitter: f64,
    /// The length of the day, in seconds.
    pub length: f64,
    /// The large tenant's rate per second, and its burst.
    pub quota: f64,
    /// The fraction of workers' responses that are lost.
    pub lost_answers: f64,
    /// Seconds within which the core nodes start, at random times.
    pub start_spread: f64,
    /// Core nodes that start later than the others, each with its additional delay in seconds.
    pub start_delays: Vec<(usize, f64)>,
    /// Seconds per step in the creation of a new disk: the bootstrap marker, its sync, the database.
    pub disk_creation_step: f64,
    /// Whether tenants have no quota.
    pub unlimited: bool,
    /// The load of the concurrent operators.
    pub operator_load: OperatorLoad,
    /// The changes of the scripted operator.
    pub script: Vec<ScriptedChange>,
    /// Maximum number of changes of the primary operator.
    pub steps: Option<u64>,
    /// Number of additional services with 2048 bytes of fields each, created by the first change.
    pub bulk: usize,
    /// Seconds that a sync of a core node's disk takes.
    pub sync: f64,
    /// Write rate of a core node's disk, in bytes per second.
    pub disk_rate: f64,
    /// The setting `resync_bound`: seconds that the repair of a restarted node may take.
    pub resync: f64,
    /// Age in seconds of the seed list that a node gets at its start.
    pub seed_delay: f64,
    /// A deliberate protocol violation of the core nodes.
    pub misbehaviour: Option<Misbehaviour>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        DeploymentPlan {
            cores: 3,
            losses: 1,
            edges: 6,
            workers: 4,
            rate: 60.0,
            delay: 0.0005,
            jitter: 0.0005,
            length: 24.0,
            quota: 20.0,
            lost_answers: 0.01,
            start_spread: 0.0,
            start_delays: Vec::new(),
            disk_creation_step: 0.0,
            unlimited: false,
            operator_load: OperatorLoad::default(),
            script: Vec::new(),
            steps: None,
            bulk: 0,
            sync: 0.004,
            disk_rate: 50e6,
            resync: 4.0,
            seed_delay: 0.0,
            misbehaviour: None,
        }
    }
}
