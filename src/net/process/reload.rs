//! Reload of the configuration at SIGHUP.

use super::configuration::{FixedFields, LoadedConfiguration};
use super::service::Service;
use super::startup::ZoneSettings;
use crate::net::core::CoreMessage;
use crate::net::downstream::RequestRules;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Targets of a reload, and the configuration that it replaces.
pub(super) struct Reload {
    pub(super) path: PathBuf,
    pub(super) fixed: FixedFields,
    /// The configuration in force.
    pub(super) in_force: Value,
    pub(super) service: Service,
    /// Address of discovery, for the watch.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// Path of the zone settings, if there are any.
    pub(super) zones_file: Option<PathBuf>,
}

impl Reload {
    /// Reloads at each SIGHUP, for as long as the program runs. Sessions, the decision module's state and calls in
    /// flight are not affected, and an invalid file changes nothing.
    pub(super) async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload_zones();
            self.reload_configuration();
        }
    }

    fn reload_zones(&self) {
        let Some(file) = &self.zones_file else { return };
        match ZoneSettings::read(file) {
            Ok(zones) => {
                tracing::info!("SIGHUP: zone settings reloaded");
                let _ = self.service.core.send(CoreMessage::ZoneSettings(Box::new(zones.settings)));
            }
            Err(error) => {
                tracing::warn!(message = %error, "SIGHUP: zone settings rejected, keeping the current ones");
            }
        }
    }

    fn reload_configuration(&mut self) {
        let new = match LoadedConfiguration::read_replacement(&self.path, &self.in_force) {
            Ok(new) => new,
            Err(error) => {
                tracing::warn!(message = %error, "SIGHUP: configuration rejected, keeping the current one");
                return;
            }
        };
        let discovery = new.fields.discovery;
        let counter = new.fields.counter_address();
        self.service.counter.set_address(counter);
        self.discovery.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
        let settings_changed = new.document["settings"] != self.in_force["settings"];
        if settings_changed {
            self.service.counter.set_call_timeout(new.sockets.counter_timeout);
            let rules = RequestRules::from_settings(&new.settings);
            self.service.listener.update_rules(rules, new.sockets.max_retry_after);
            let _ = self.service.core.send(CoreMessage::Settings(Box::new(new.settings)));
        }
        tracing::info!(%discovery, %counter, settings_changed, "SIGHUP: configuration reloaded");
        if new.fields.fixed_fields() != self.fixed {
            tracing::warn!("SIGHUP: changes of name, listen and limits take effect at a restart only");
        }
        self.in_force = new.document;
    }
}
