//! Periodic work of an edge node.

use super::{EdgeNode, Effect, TICK_SECS};

/// Time between two pings to a core node, in seconds.
const PING_INTERVAL_SECS: f64 = 0.5;
/// Time between two pings to a core node while no quota leader is known, in seconds.
const LEADERLESS_PING_INTERVAL_SECS: f64 = PING_INTERVAL_SECS / 5.0;
/// Minimum delay of a quota sync that is due at once, in seconds.
const MIN_SYNC_DELAY_SECS: f64 = 0.005;

impl EdgeNode {
    /// Latest time at which the next [`Event::Tick`](super::Event::Tick) is due, in seconds of the clock that is passed in.
    pub fn next_wakeup(&self, now: f64) -> f64 {
        let timers = self.services.values().map(|s| s.timer_at);
        timers
            .fold(now + TICK_SECS, f64::min)
            .min(self.loads.next_report_at().max(now))
            .min(self.quota.next_sync_at(now).max(now + MIN_SYNC_DELAY_SECS))
    }

    pub(super) fn on_tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        let interval = match self.quota_leader(now) {
            Some(_) => PING_INTERVAL_SECS,
            None => LEADERLESS_PING_INTERVAL_SECS,
        };
        if now - self.last_ping_at >= interval {
            self.last_ping_at = now;
            self.ping_core_nodes(out);
            self.expire_state(now, out);
        }
        self.sync_quota(now, out);
        self.decide_waiting(now, 0, out);
        self.send_load_report(now, out);
        self.run_service_timers(now, out);
    }

    fn ping_core_nodes(&self, out: &mut Vec<Effect>) {
        let connected = self.links.iter().filter(|(_, l)| l.is_up).map(|(ip, _)| *ip);
        out.extend(connected.map(|ip| Effect::Send(ip, self.ping_message(ip))));
    }

    /// Drops expired state: obsolete links, ended workers, and load reports.
    fn expire_state(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.close_obsolete_links(now, out);
        self.registry.remove_ended(now);
        let changes = self.loads.expire_reports(now);
        self.apply_load_changes(changes);
        // The ids of removed workers are dropped only once they make up most of the map, which amortizes the scan.
        if self.worker_ids.len() > 4 * self.registry.workers().count() + 64 {
            let registry = &self.registry;
            self.worker_ids.retain(|_, id| registry.get(id).is_some());
        }
    }

    fn run_service_timers(&mut self, now: f64, out: &mut Vec<Effect>) {
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            let mut actions = Vec::new();
            if let Some(service) = self.services.get_mut(&name).filter(|s| now >= s.timer_at) {
                let retries = service.available_retries(now, &self.retry_budget, self.edge_count);
                service.tick(now, retries, &mut actions);
            }
            self.apply_actions(now, &name, actions, out);
        }
    }
}
