//! The workers behind the gateway: what each reports of itself, and the registry that merges these reports.

mod registry;
mod worker;

pub use registry::{MergeOutcome, WorkerRegistry};
pub use worker::{Worker, WorkerPhase};
