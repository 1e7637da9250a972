//! Service discovery: the workers behind the gateway, as their heartbeats report them, and the registry that merges these
//! reports.

mod registry;
mod worker;

pub use registry::{MergeOutcome, WorkerRegistry};
pub use worker::{Worker, WorkerPhase};
