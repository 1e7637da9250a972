//! An API gateway and load balancer in one program with two roles. The `edge` role ([`data_plane`]) serves clients; the
//! `core` role ([`control_plane`]) replicates the configuration, the list of workers and the quota counters.
//! docs/ARCHITECTURE.md describes the layers and which module may depend on which.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cli;
pub mod configuration;
pub mod consensus;
pub mod control_plane;
pub mod data_plane;
pub mod discovery;
pub mod json_path;
pub mod protocol;
pub mod runtime;
pub mod settings;
pub mod storage;
pub mod transport;
