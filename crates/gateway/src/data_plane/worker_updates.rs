//! Updates of the worker registry and of the services' worker lists.

use super::upstream_service::UpstreamService;
use super::{load_table, EdgeNode, Effect};
use crate::discovery::{MergeOutcome, Worker, WorkerPhase};
use std::collections::HashSet;
use std::sync::Arc;
use whinstall::{identifiers, HostId};

/// Time for which entries of unresponsive and departed workers are retained, in seconds, so that a delayed update does not
/// bring such a worker back.
const ENDED_WORKER_RETENTION_SECS: f64 = 60.0;

impl EdgeNode {
    /// Whether requests may be sent to this worker now.
    pub fn is_serving(&self, worker: &HostId) -> bool {
        self.registry.get(&worker.0).is_some_and(|w| w.phase == WorkerPhase::Serving)
    }

    /// Marks a worker as unresponsive because another worker responded at its address, so that no more requests are sent
    /// there under its id.
    pub fn on_misdirected(&mut self, now: f64, worker: &HostId, out: &mut Vec<Effect>) {
        let Some(known) = self.registry.get(&worker.0) else { return };
        let unresponsive = Worker { phase: WorkerPhase::Unresponsive, ..known.clone() };
        tracing::warn!(worker = %worker.0, "worker address reused by another worker");
        self.apply_workers(now, vec![unresponsive], out);
    }

    /// Applies all workers that a core node knows. `is_complete`: whether workers that are not listed have ended.
    pub(super) fn on_worker_snapshot(
        &mut self,
        now: f64,
        workers: Vec<Worker>,
        is_complete: bool,
        out: &mut Vec<Effect>,
    ) {
        if is_complete {
            self.has_complete_workers = true;
            self.mark_unlisted_workers(now, &workers, out);
        }
        self.apply_workers(now, workers, out);
    }

    /// Marks live workers that a complete list lacks as unresponsive.
    fn mark_unlisted_workers(&mut self, now: f64, listed: &[Worker], out: &mut Vec<Effect>) {
        let listed: HashSet<&str> = listed.iter().map(|w| &*w.id).collect();
        let is_unlisted = |w: &&Worker| w.phase <= WorkerPhase::Draining && !listed.contains(&*w.id);
        let unlisted = self.registry.workers().filter(is_unlisted);
        let unlisted: Vec<Worker> =
            unlisted.map(|w| Worker { phase: WorkerPhase::Unresponsive, ..w.clone() }).collect();
        if !unlisted.is_empty() {
            tracing::info!(workers = unlisted.len(), "workers missing from complete snapshot");
            self.apply_workers(now, unlisted, out);
        }
    }

    /// Merges workers into the registry and updates the services whose workers changed.
    pub(super) fn apply_workers(&mut self, now: f64, workers: Vec<Worker>, out: &mut Vec<Effect>) {
        let mut changed_services: Vec<Arc<str>> = Vec::new();
        for worker in workers {
            let (id, service) = (worker.id.clone(), worker.service.clone());
            self.worker_ids.insert(load_table::worker_key(&id), id.clone());
            if self.registry.merge(now, worker, ENDED_WORKER_RETENTION_SECS) != MergeOutcome::Changed {
                continue;
            }
            if self.registry.get(&id).is_some_and(|w| w.phase != WorkerPhase::Serving) {
                out.push(Effect::CloseIdleConnections(HostId(id)));
            }
            if !changed_services.contains(&service) {
                changed_services.push(service);
            }
        }
        for service in changed_services {
            self.refresh_service(now, &service, out);
        }
    }

    /// Passes the current workers, and the attempts that other edge nodes have in flight there, to a service.
    fn refresh_service(&mut self, now: f64, name: &Arc<str>, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.ensure_service(name);
        if let Some(service) = self.services.get_mut(name) {
            service.set_workers(now, &self.registry, &mut actions);
            for worker in self.registry.workers().filter(|w| w.service == *name) {
                service.set_peer_in_flight(&worker.id, self.loads.peer_in_flight(&worker.id));
            }
        }
        self.apply_actions(now, name, actions, out);
    }

    /// Creates the service with this name if there is none.
    pub(super) fn ensure_service(&mut self, name: &Arc<str>) {
        if !self.services.contains_key(name) {
            let ordinal = (identifiers::fnv1a(&self.settings.node) >> 40) as u32;
            let seed = self.rng.u64(..);
            let (zone, edge_count) = (&self.settings.zone, self.edge_count);
            let service = UpstreamService::new(Arc::clone(name), zone, ordinal, edge_count, seed);
            self.services.insert(Arc::clone(name), service);
        }
    }
}
