//! A whole cluster in one process, on a simulated network, clock and disk. It runs the state machines of the programs
//! themselves, with simulated workers, clients and operators, and an auditor that checks the rules. Each run is determined
//! by its plan, its faults and its seed.

pub mod auditor;
pub mod digest;
pub mod event;
pub mod external_actors;
pub mod faults;
pub mod history;
pub mod invariants;
pub mod misbehaving_core;
pub mod network;
pub mod node;
pub mod operators;
pub mod partitions;
pub mod plan;
pub mod repair_times;
pub mod severe_faults;
pub mod trials;
pub mod world;

pub use event::{CallOrigin, ControlCall, SimulationEvent, WorkerAttempt};
pub use node::{core_ip, SimulatedCore, SimulatedEdge};
pub use plan::DeploymentPlan;
pub use world::World;
