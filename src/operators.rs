//! The operators' settings file as a whole: which records it may hold, each read by its own subsystem through the
//! one loader. It owns the list of records only; a record that no subsystem knows is an error.

use crate::config::{self, ConfigError};
use crate::fleet::site::SiteSettings;
use crate::fleet::FleetSettings;
use crate::quota::QuotaSettings;
use crate::zone_failover::ZoneFailoverSettings;

/// All that one file puts in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// The record `halls`.
    pub halls: Option<ZoneFailoverSettings>,
    /// The record `counter`.
    pub counter: Option<QuotaSettings>,
    /// The record `fleet`.
    pub fleet: Option<FleetSettings>,
    /// The record `sites`.
    pub sites: Option<SiteSettings>,
}

impl Operators {
    /// Reads a whole file, or gives every error in it.
    pub fn load(text: &str) -> Result<Operators, Vec<ConfigError>> {
        config::load(text, |top| Operators {
            halls: ZoneFailoverSettings::read(top),
            counter: QuotaSettings::read(top),
            fleet: FleetSettings::read(top),
            sites: SiteSettings::read(top),
        })
    }

    /// What is in force, one line or more a record.
    pub fn describe(&self) -> String {
        let halls = match &self.halls {
            Some(halls) => halls.describe(),
            None => "no halls: nodes are chosen as without this file\n".into(),
        };
        let counter = match &self.counter {
            Some(counter) => counter.describe(),
            None => format!("counter by default: {}", QuotaSettings::default().describe()),
        };
        let fleet = match &self.fleet {
            Some(fleet) => fleet.describe(),
            None => "no fleet: no gatekeeper talks to another\n".into(),
        };
        let sites = self
            .sites
            .as_ref()
            .map_or("no sites: nothing is planned for the loss of one\n".into(), SiteSettings::describe);
        halls + &counter + &fleet + &sites
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_holds_any_known_records_and_no_other() {
        assert_eq!(Operators::load(""), Ok(Operators::default()));
        let both = Operators::load("halls: { notice: 1 }\ncounter: { parts: 2 }").unwrap();
        assert!(both.halls.is_some() && both.counter.as_ref().is_some_and(|c| c.parts == 2));
        assert!(both.describe().contains("2 part(s)"));
        let errors = Operators::load("conter: { parts: 2 }\ncounter: { parts: 65 }").unwrap_err();
        let said: Vec<String> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(said.len(), 2, "{said:?}");
        assert!(said[0].contains("conter: is no known field"), "{said:?}");
    }
}
