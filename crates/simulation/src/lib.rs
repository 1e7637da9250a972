//! A whole cluster in one process, on a simulated network, clock and disk. It runs the state machines of the programs
//! themselves, with simulated workers, clients and operators, and an auditor that checks the invariants. Each run is
//! determined by its plan, its faults and its seed.

#![deny(missing_docs)]

pub mod auditor;
pub mod clients;
pub mod control_calls;
pub mod core_health;
pub mod core_membership;
pub mod digest;
pub mod edge_invariants;
pub mod event;
pub mod faults;
pub mod history;
pub mod invariants;
pub mod misbehaving_core;
pub mod network;
pub mod node;
pub mod operator_sessions;
pub mod operators;
pub mod partitions;
pub mod plan;
pub mod primary_operator;
pub mod repair_times;
pub mod scripted_operator;
pub mod severe_faults;
pub mod snapshot_crashes;
pub mod trials;
pub mod workers;
pub mod world;

pub use event::{CallOrigin, ControlCall, SimulationEvent, WorkerAttempt};
pub use node::{core_ip, SimulatedCore, SimulatedEdge};
pub use plan::DeploymentPlan;
pub use world::World;
