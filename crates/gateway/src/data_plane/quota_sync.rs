//! Quota syncs with the quota leader, and the requests that wait for one.

use super::quota_admission::{GrantState, QuotaAdmissionConfig};
use super::{EdgeNode, Effect};
use crate::protocol::{
    standing_share_expiry_secs, PeerMessage, QUOTA_CONTACT_TIMEOUT_SECS, QUOTA_SYNC_INTERVAL_SECS,
};
use crate::settings::Settings;
use std::net::IpAddr;

/// A core node's report of the quota leader is used for so long, in seconds.
const LEADER_HINT_LIFETIME_SECS: f64 = 1.6;

pub(super) fn quota_config(settings: &Settings) -> QuotaAdmissionConfig {
    let envelope = &settings.envelope;
    QuotaAdmissionConfig {
        sync_interval_secs: QUOTA_SYNC_INTERVAL_SECS,
        sync_timeout_secs: QUOTA_CONTACT_TIMEOUT_SECS,
        share_lifetime_secs: standing_share_expiry_secs(envelope.quota_horizon),
        overshoot_ratio: envelope.quota_overshoot,
        overshoot_requests: envelope.quota_margin,
        horizon_secs: envelope.quota_horizon.as_secs_f64(),
    }
}

impl EdgeNode {
    /// The quota leader: a core node that says so of itself, else one that another names and that is connected.
    pub(super) fn quota_leader(&self, now: f64) -> Option<IpAddr> {
        let is_fresh =
            |l: &super::core_links::CoreLink| l.is_up && now - l.last_heard_at <= LEADER_HINT_LIFETIME_SECS;
        let fresh = self.links.iter().filter(|(_, l)| is_fresh(l));
        let itself = fresh.clone().find(|(ip, l)| l.quota_leader == Some(**ip)).map(|(ip, _)| *ip);
        itself.or_else(|| {
            let mut named = fresh.filter_map(|(_, l)| l.quota_leader);
            named.find(|ip| self.links.get(ip).is_some_and(|l| l.is_up))
        })
    }

    /// Sends the quota leader the usage that is due.
    pub(super) fn sync_quota(&mut self, now: f64, out: &mut Vec<Effect>) {
        let Some(leader) = self.quota_leader(now) else { return };
        if self.last_quota_leader.replace(leader) != Some(leader) {
            self.quota.resync_all();
        }
        if let Some((request_id, usage)) = self.quota.begin_sync(now) {
            let term = self.quota.term();
            out.push(Effect::Send(leader, PeerMessage::QuotaSync { request_id, term, usage }));
        }
    }

    /// Decides on requests that wait for a grant: those whose sync has been answered (`answered` is its id, 0 if none has
    /// been) or whose wait is over.
    pub(super) fn decide_waiting(&mut self, now: f64, answered: u64, out: &mut Vec<Effect>) {
        if self.awaiting_grant.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.awaiting_grant) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(wait) = request.grant_wait else { continue };
            if now < wait.until && wait.request_id > answered {
                self.awaiting_grant.push(id);
                continue;
            }
            request.grant_wait = None;
            if let Some(tenant) = &request.tenant {
                self.quota.grant_wait_ended(tenant);
            }
            let is_answered = wait.request_id <= answered;
            let grant = if is_answered { GrantState::Answered } else { GrantState::TimedOut };
            self.admit(now, &id, grant, out);
        }
    }
}
