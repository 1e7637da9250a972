//! Quota syncs with the quota leader, and the requests that wait for the answer to one.

use super::quota_admission::{GrantState, QuotaAdmissionConfig};
use super::{EdgeNode, Effect};
use crate::protocol::{
    standing_share_expiry_secs, PeerMessage, QUOTA_CONTACT_TIMEOUT_SECS, QUOTA_SYNC_INTERVAL_SECS,
};
use crate::settings::Settings;
use std::net::IpAddr;

/// Time after a core node's last message for which its report of the quota leader is used, in seconds.
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
    /// The quota leader, if one is known: preferably a core node that reports itself as the leader, otherwise a connected
    /// core node that another one reports as the leader.
    pub(super) fn quota_leader(&self, now: f64) -> Option<IpAddr> {
        let is_fresh =
            |l: &super::core_links::CoreLink| l.is_up && now - l.last_heard_at <= LEADER_HINT_LIFETIME_SECS;
        let fresh = self.links.iter().filter(|(_, l)| is_fresh(l));
        let self_reported = fresh.clone().find(|(ip, l)| l.quota_leader == Some(**ip)).map(|(ip, _)| *ip);
        self_reported.or_else(|| {
            let mut reported = fresh.filter_map(|(_, l)| l.quota_leader);
            reported.find(|ip| self.links.get(ip).is_some_and(|l| l.is_up))
        })
    }

    /// Begins a quota sync with the quota leader if one is due. The first sync with another leader reports everything.
    pub(super) fn sync_quota(&mut self, now: f64, out: &mut Vec<Effect>) {
        let Some(leader) = self.quota_leader(now) else { return };
        if self.last_quota_leader.replace(leader) != Some(leader) {
            self.quota.resync_all();
        }
        if let Some((sync_id, usage)) = self.quota.begin_sync(now) {
            let term = self.quota.term();
            out.push(Effect::Send(leader, PeerMessage::QuotaSync { request_id: sync_id, term, usage }));
        }
    }

    /// Decides on requests that wait for a grant, as far as their sync has been answered or their wait has timed out.
    /// `answered_sync_id`: id of the sync that was just answered; 0 if none was.
    pub(super) fn decide_waiting(&mut self, now: f64, answered_sync_id: u64, out: &mut Vec<Effect>) {
        if self.awaiting_grant.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.awaiting_grant) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let Some(wait) = request.grant_wait else { continue };
            if now < wait.deadline && wait.sync_id > answered_sync_id {
                self.awaiting_grant.push(id);
                continue;
            }
            request.grant_wait = None;
            if let Some(tenant) = &request.tenant {
                self.quota.grant_wait_ended(tenant);
            }
            let is_answered = wait.sync_id <= answered_sync_id;
            let grant = if is_answered { GrantState::Answered } else { GrantState::TimedOut };
            self.admit(now, &id, grant, out);
        }
    }
}
