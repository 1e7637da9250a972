//! The workers behind the gateway: what each reports of itself, and the registry that merges these reports.

pub mod registry;

pub use registry::{MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
