//! Load reports exchanged with the other edge nodes.

use super::load_table::LoadChange;
use super::{EdgeNode, Effect};

impl EdgeNode {
    /// Passes changes in the attempts that other edge nodes have in flight to the services of the workers concerned.
    pub(super) fn apply_load_changes(&mut self, changes: Vec<LoadChange>) {
        for LoadChange { worker, in_flight } in changes {
            let id = self.worker_ids.get(&worker);
            let Some(worker) = id.and_then(|id| self.registry.get(id)) else { continue };
            if let Some(service) = self.services.get_mut(&worker.service) {
                service.set_peer_in_flight(&worker.id, in_flight);
            }
        }
    }

    /// Sends a load report if one is due.
    pub(super) fn send_load_report(&mut self, now: f64, out: &mut Vec<Effect>) {
        if let Some((receivers, report)) = self.loads.take_report(now) {
            out.push(Effect::SendLoadReport(receivers, report));
        }
    }
}
