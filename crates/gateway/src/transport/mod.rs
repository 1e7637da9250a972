//! Transport over TCP: HTTP connections of clients and API callers, pooled connections to workers, and links between the
//! gateway's own processes.

mod hop_by_hop;
pub mod http_server;
pub mod peer_link;
pub mod upstream_pool;

pub use hop_by_hop::remove_hop_by_hop;
