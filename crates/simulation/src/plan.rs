//! What a simulated deployment is like; fixed for the whole run.

use super::misbehaving_core::Misbehaviour;
use super::operators::OperatorLoad;

/// What a deployment is like.
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
    /// Requests of clients in a second.
    pub rate: f64,
    /// The least delay of a packet, in seconds.
    pub delay: f64,
    /// What a random delay adds at the most, in seconds.
    pub jitter: f64,
    /// The length of the day, in seconds.
    pub length: f64,
    /// The large tenant's rate per second, and its burst.
    pub quota: f64,
    /// The fraction of workers' responses that are lost.
    pub lost_answers: f64,
    /// Core machines start within so long of each other, these that much later still.
    pub start_spread: f64,
    /// Core nodes that start later than the others, by so many seconds.
    pub start_delays: Vec<(usize, f64)>,
    /// Seconds that each step takes in which a new disk is made: the mark, its sync, the database.
    pub disk_creation_step: f64,
    /// No tenant has a quota.
    pub unlimited: bool,
    /// What the concurrent operators do.
    pub operator_load: OperatorLoad,
    /// How many changes the first operator makes.
    pub steps: Option<u64>,
    /// Services with two kilobytes of fields each that stand from the first change on.
    pub bulk: usize,
    /// Seconds that a sync of a core node's disk takes, and bytes that it writes in one.
    pub sync: f64,
    /// Bytes that a core node's disk writes in a second.
    pub disk_rate: f64,
    /// What a machine that comes back may take, as the settings have it: seconds.
    pub resync: f64,
    /// The list of addresses that a machine gets at its start is so old: seconds.
    pub seed_delay: f64,
    /// A fault that is put in.
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
