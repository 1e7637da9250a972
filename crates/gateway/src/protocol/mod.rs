//! Messages between the system's own processes: edge nodes and core nodes over TCP ([`PeerMessage`]), edge nodes among
//! themselves over UDP ([`LoadReport`]). The encoding is MessagePack.
//!
//! Compatibility: enum variants are encoded by name and struct fields by position, and processes of two releases talk
//! to each other during a rolling upgrade. So a variant keeps its name on the wire (`#[serde(rename)]`), and fields keep
//! their order. `wire_fixture_tests` pins the bytes.

mod codec;
#[cfg(test)]
mod codec_tests;
mod leader_call;
mod load_report;
mod log_command;
mod message;
mod node_location;
mod quota;
mod share_ceilings;
#[cfg(test)]
mod wire_fixture_tests;

pub use codec::{decode, encode, CodecError, MAX_MESSAGE_BYTES};
pub use leader_call::{LeaderRequest, LeaderResponse};
pub use load_report::LoadReport;
pub use log_command::LogCommand;
pub use message::PeerMessage;
pub use node_location::NodeLocation;
pub use quota::{
    standing_share_expiry_secs, TenantGrant, TenantLimit, TenantUsage, QUOTA_CONTACT_TIMEOUT_SECS,
    QUOTA_SYNC_INTERVAL_SECS,
};
pub use share_ceilings::{EdgeCeilings, ShareCeilings, TenantCeiling};

/// Version of what core nodes send each other, which they name in their pings; 0 in releases that named none. A node of
/// an earlier version can't decode what a later one added.
pub const CORE_PROTOCOL_VERSION: u64 = REMOVAL_RECORD_VERSION;
/// The [`CORE_PROTOCOL_VERSION`] that added [`LogCommand::Shutdown`].
pub const SHUTDOWN_RECORD_VERSION: u64 = 1;
/// The [`CORE_PROTOCOL_VERSION`] that added [`LogCommand::ConfigureAndRecordRemovals`].
pub const REMOVAL_RECORD_VERSION: u64 = 2;
