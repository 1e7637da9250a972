//! Sockets: HTTP connections of clients and callers, connections to workers, links to peers.

pub mod http_server;
pub mod peer_link;
pub mod upstream_pool;
