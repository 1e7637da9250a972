//! The operators' settings file: the records that it may hold, each read by the subsystem that it
//! configures. A record that no subsystem knows is an error.

use crate::config::{self, ConfigError};
use crate::fleet::site::SiteSettings;
use crate::fleet::FleetSettings;
use crate::quota::QuotaSettings;
use crate::zone_failover::ZoneFailoverSettings;

/// The settings of one file; `None` where it does not hold the record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The record `halls`.
    pub zone_failover: Option<ZoneFailoverSettings>,
    /// The record `counter`.
    pub counter: Option<QuotaSettings>,
    /// The record `fleet`.
    pub fleet: Option<FleetSettings>,
    /// The record `sites`.
    pub sites: Option<SiteSettings>,
}

impl OperatorSettings {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// Every error of the file, with line, column and field.
    pub fn load(text: &str) -> Result<OperatorSettings, Vec<ConfigError>> {
        config::load(text, |top| OperatorSettings {
            zone_failover: ZoneFailoverSettings::read(top),
            counter: QuotaSettings::read(top),
            fleet: FleetSettings::read(top),
            sites: SiteSettings::read(top),
        })
    }

    /// The settings in force as text for `whinstall check`, defaults included: one line or more for each record.
    pub fn describe(&self) -> String {
        let zone_failover = match &self.zone_failover {
            Some(zone_failover) => zone_failover.describe(),
            None => "no record halls: nodes are selected regardless of zone health\n".into(),
        };
        let counter = match &self.counter {
            Some(counter) => counter.describe(),
            None => format!("no record counter, defaults apply: {}", QuotaSettings::default().describe()),
        };
        let fleet = match &self.fleet {
            Some(fleet) => fleet.describe(),
            None => "no record fleet: no replication among gatekeepers\n".into(),
        };
        let sites = match &self.sites {
            Some(sites) => sites.describe(),
            None => "no record sites: the loss of a site is not planned\n".into(),
        };
        zone_failover + &counter + &fleet + &sites
    }
}

#[cfg(test)]
#[path = "operators_tests.rs"]
mod tests;
