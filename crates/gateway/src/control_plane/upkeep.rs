//! Periodic work of the core role, and the application of reloaded settings.

use super::quota_lease::CeilingRecordStatus;
use super::{replicated_log, tenant_limit, CoreNode, Effect};
use crate::control_plane::event_journal::JournalEvent;
use crate::protocol::{NodeLocation, PeerMessage, CORE_PROTOCOL_VERSION};
use crate::settings::Settings;

/// Seconds between two pings to each core node.
const PING_INTERVAL_SECS: f64 = 0.3;
/// Gap between two ticks, in seconds, above which the process counts as having been suspended.
const SUSPENSION_THRESHOLD_SECS: f64 = 0.5;
/// Seconds between two removals of stale core nodes.
const CLEANUP_INTERVAL_SECS: f64 = 5.0;

impl CoreNode {
    pub(super) fn tick(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.detect_suspension(now);
        self.last_tick = now;
        if now - self.last_ping >= PING_INTERVAL_SECS {
            self.last_ping = now;
            self.ping_peers(out);
            self.advertise_core_nodes(out);
            self.track_member_states(now);
        }
        if now - self.last_cleanup >= CLEANUP_INTERVAL_SECS {
            self.last_cleanup = now;
            self.forget_stale_nodes(out);
        }
        self.tick_log(now, out);
        self.configuration.tick(&mut self.context, out);
        let accepts_heartbeats = self.accepts_heartbeats(now);
        let unresponsive = self.membership.tick(now, accepts_heartbeats, &mut self.context, out);
        self.persist_workers(&unresponsive, out);
        self.tick_sessions(now, out);
        self.tick_quota_lease(now, out);
    }

    /// Detects that the process was suspended, and restarts the workers' timeouts: no heartbeat could be received
    /// meanwhile, so missed ones don't show that a worker failed.
    fn detect_suspension(&mut self, now: f64) {
        let gap_secs = now - self.last_tick;
        if gap_secs > SUSPENSION_THRESHOLD_SECS {
            tracing::warn!(seconds = gap_secs, "process was suspended");
            self.context.journal.append(now, JournalEvent::Suspended { secs: gap_secs });
            self.membership.reset_timeouts(now);
        }
    }

    fn ping_peers(&self, out: &mut Vec<Effect>) {
        let (config_index, workers_digest) =
            (self.configuration.state.last_change_index(), self.membership.registry.digest());
        for ip in self.context.peers() {
            let ping = PeerMessage::Ping { config_index, workers_digest, received: CORE_PROTOCOL_VERSION };
            out.push(Effect::SendToPeer(ip, ping));
        }
    }

    fn forget_stale_nodes(&mut self, out: &mut Vec<Effect>) {
        let forgotten = self.context.forget_stale_nodes();
        self.connected_peers.retain(|ip| !forgotten.contains(ip));
        out.extend(forgotten.into_iter().map(Effect::Disconnect));
    }

    /// Acquires or loses the quota lease, and proposes changed share ceilings to the log.
    fn tick_quota_lease(&mut self, now: f64, out: &mut Vec<Effect>) {
        let lease = self.leased_term(now);
        let limits = |tenant: &str| tenant_limit(&self.configuration.state, tenant);
        let record_status = CeilingRecordStatus {
            last_applied_record: self.recorded_ceilings.as_deref(),
            can_propose: !self.log_driver.is_proposing_ceilings(),
        };
        let ceilings = self.quota_lease.tick(now, lease, record_status, &mut self.context, &limits);
        if let Some(ceilings) = ceilings {
            self.propose_ceilings(now, ceilings);
            self.process_raft_outputs(now, out);
        }
    }

    /// Applies reloaded settings: the log's parameters, and connections to seeds that are new.
    pub fn apply_settings(&mut self, settings: Settings, out: &mut Vec<Effect>) {
        let seeds = settings.seeds.iter().map(|seed| NodeLocation::unplaced(seed.ip())).collect();
        self.raft.set_config(replicated_log::raft_config(&settings));
        self.context.settings = settings;
        let first = out.len();
        self.learn_core_nodes(seeds, out);
        self.record_sent(&out[first..]);
    }
}
