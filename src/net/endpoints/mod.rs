//! Endpoint discovery: the table of nodes as discovery last reported it ([`EndpointTable`]), the watch that keeps
//! it up to date ([`mod@watch`]) and the schedule of its requests ([`schedule`]).
//!
//! The table survives every failure of discovery: nothing is dropped because discovery is silent, fails or
//! restarts.

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

/// An endpoint list as discovery sends it.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    rev: u64,
    /// Whether this is the full list; otherwise it holds changes only.
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

impl EndpointList {
    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.rev
    }

    fn is_unchanged(&self) -> bool {
        !self.all && self.targets.is_empty()
    }
}

/// One endpoint on discovery's list.
#[derive(Debug, Deserialize)]
struct Target {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: i64,
    state: String,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Target {
    /// The address, unless the endpoint is gone. One without a usable address counts as gone.
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
            // Unix time, like the decision module's clock.
            last_start: Some(boot).filter(|b| !b.is_zero()),
        }
    }
}

struct Endpoint {
    address: SocketAddr,
    accepts_work: bool,
}

/// The nodes by id: where each is and whether it accepts new work.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: RefCell<HashMap<HostId, Endpoint>>,
    is_synced: Cell<bool>,
}

impl EndpointTable {
    /// The address of a listed node.
    pub fn address(&self, node: &HostId) -> Option<SocketAddr> {
        self.endpoints.borrow().get(node).map(|e| e.address)
    }

    /// Whether the node of this name is at this address.
    fn is_at(&self, node: &str, address: SocketAddr) -> bool {
        self.endpoints.borrow().get(node).is_some_and(|e| e.address == address)
    }

    /// Whether new work may be sent to a node: it is listed and not draining.
    pub fn accepts_work(&self, node: &HostId) -> bool {
        self.endpoints.borrow().get(node).is_some_and(|e| e.accepts_work)
    }

    /// Whether discovery has answered since the start.
    pub fn is_synced(&self) -> bool {
        self.is_synced.get()
    }

    /// Whether any node accepts work.
    pub fn can_serve(&self) -> bool {
        self.endpoints.borrow().values().any(|e| e.accepts_work)
    }

    /// Applies a list and returns it in the decision module's terms.
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
