//! Where a node of the system is.

use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Address and failure domains of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLocation {
    /// Address of the node, which identifies a core node among the others.
    pub ip: IpAddr,
    /// Zone of the node; empty while only the address is known.
    pub zone: String,
    /// Region of the node; empty while only the address is known.
    pub region: String,
}

impl NodeLocation {
    /// A node of which only the address is known yet.
    pub fn unplaced(ip: IpAddr) -> Self {
        NodeLocation { ip, zone: String::new(), region: String::new() }
    }
}
