//! Endpoint discovery: the table of nodes as discovery last reported them ([`EndpointTable`]), the watch that updates
//! the table ([`mod@watch`]) and the schedule of discovery requests ([`schedule`]).
//!
//! The table is kept through every failure of discovery: no node is removed because discovery does not answer, answers
//! with an error or restarts.

mod schedule;
#[cfg(test)]
mod tests;
mod watch;

pub use watch::{watch, WatchOptions};

use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use whinstall::{Availability, HostEntry, HostId, ListScope};

/// Endpoint list as discovery sends it.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Revision of the list.
    rev: u64,
    /// Whether this is the full list; otherwise the list holds only changes.
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

impl EndpointList {
    /// Revision of the list.
    pub fn revision(&self) -> u64 {
        self.rev
    }

    fn is_unchanged(&self) -> bool {
        !self.all && self.targets.is_empty()
    }
}

/// One endpoint of an [`EndpointList`].
#[derive(Debug, Deserialize)]
struct Target {
    /// Id of the node.
    uid: String,
    /// Socket address of the node.
    #[serde(default)]
    endpoint: String,
    /// Zone label.
    #[serde(default)]
    az: String,
    /// Hardware type.
    #[serde(default)]
    model: String,
    /// Group of nodes within the zone.
    #[serde(default)]
    pod_group: i64,
    /// `SERVING` or `DRAINING`; any other state counts as gone.
    state: String,
    /// Nominal capacity relative to a standard node.
    #[serde(default = "default_capacity_hint")]
    capacity_hint: f64,
    /// Time of the node's last start, in Unix milliseconds; 0 if unknown.
    #[serde(default)]
    boot_ms: f64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

impl Target {
    /// Availability, and the address unless the endpoint is gone. An endpoint whose address cannot be parsed counts as
    /// gone.
    fn status(&self) -> (Availability, Option<SocketAddr>) {
        match (self.state.as_str(), self.endpoint.parse().ok()) {
            ("SERVING", Some(address)) => (Availability::Ready, Some(address)),
            ("DRAINING", Some(address)) => (Availability::Draining, Some(address)),
            _ => (Availability::Gone, None),
        }
    }

    fn into_host_entry(self, availability: Availability) -> HostEntry {
        let boot = Duration::try_from_secs_f64(self.boot_ms / 1e3).unwrap_or_default();
        HostEntry {
            host: HostId(Arc::from(self.uid)),
            zone: self.az,
            group: self.pod_group,
            kind: self.model.into(),
            availability,
            nominal_capacity: self.capacity_hint,
            // The decision module's clock is Unix time too.
            last_start: Some(boot).filter(|b| !b.is_zero()),
        }
    }
}

struct Endpoint {
    address: SocketAddr,
    accepts_work: bool,
}

/// Table of the listed nodes by id, with address and readiness.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: RefCell<HashMap<HostId, Endpoint>>,
    /// Whether discovery has sent a list since the start.
    is_synced: Cell<bool>,
}

impl EndpointTable {
    /// Address of a node; `None` if the node is not listed.
    pub fn address(&self, node: &HostId) -> Option<SocketAddr> {
        self.endpoints.borrow().get(node).map(|e| e.address)
    }

    /// Whether the node is listed with this address.
    fn has_address(&self, node: &str, address: SocketAddr) -> bool {
        self.endpoints.borrow().get(node).is_some_and(|e| e.address == address)
    }

    /// Whether requests may be sent to a node, that is, whether it is listed and not draining.
    pub fn accepts_work(&self, node: &HostId) -> bool {
        self.endpoints.borrow().get(node).is_some_and(|e| e.accepts_work)
    }

    /// Whether discovery has sent a list since the start.
    pub fn is_synced(&self) -> bool {
        self.is_synced.get()
    }

    /// Whether at least one node accepts requests.
    pub fn can_serve(&self) -> bool {
        self.endpoints.borrow().values().any(|e| e.accepts_work)
    }

    /// Applies a list to the table and converts it to entries for the decision module.
    pub fn apply(&self, list: EndpointList) -> (ListScope, Vec<HostEntry>) {
        let mut endpoints = self.endpoints.borrow_mut();
        if list.all {
            endpoints.clear();
        }
        let entries = list.targets.into_iter().map(|target| {
            let (availability, address) = target.status();
            let entry = target.into_host_entry(availability);
            match address {
                Some(address) => {
                    let accepts_work = availability == Availability::Ready;
                    endpoints.insert(entry.host.clone(), Endpoint { address, accepts_work });
                }
                None => drop(endpoints.remove(&entry.host)),
            }
            entry
        });
        let entries = entries.collect();
        (if list.all { ListScope::Replace } else { ListScope::Update }, entries)
    }
}
