//! Service discovery: the workers behind the gateway, as their heartbeats report them, the registry that merges these
//! reports, and the shutdowns that workers announced.

mod announced_shutdowns;
mod registry;
mod worker;

pub use announced_shutdowns::{
    AnnouncedShutdowns, ShutdownAnnouncement, ShutdownPhase, MAX_ANNOUNCED_SHUTDOWNS,
};
pub use registry::{MergeOutcome, WorkerRegistry};
pub use worker::{Worker, WorkerPhase};
