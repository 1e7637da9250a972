//! The lookups over the current versions: routes by service, tenants by credential, rates by tenant, tombstones in the
//! order in which they are forgotten. They follow from the records; an encoded state doesn't hold them.

use super::{ConfigState, Record};
use crate::configuration::item::{ConfigItem, ItemKind};
use std::sync::Arc;

impl ConfigState {
    /// Returns another tenant that had one of the item's credentials until now, if there was one.
    pub(super) fn add_to_lookups(&mut self, record: &Record) -> Option<Arc<ConfigItem>> {
        let (item, mut displaced) = (&record.item, None);
        self.tombstones.extend(record.tombstone());
        match (item.kind, &item.body) {
            (ItemKind::Route, Some(body)) => {
                for service in body.route_services() {
                    self.routes_by_service.entry(service).or_default().insert(item.label.clone());
                }
            }
            (ItemKind::Tenant, Some(body)) => {
                let (credentials, rate) = body.credentials_and_rate();
                for credential in credentials {
                    let owner = self.tenants_by_credential.insert(credential, Arc::clone(item));
                    displaced = displaced.or(owner.filter(|o| o.label != item.label));
                }
                self.rates_by_tenant.insert(item.label.clone(), rate);
            }
            _ => {}
        }
        displaced
    }

    pub(super) fn remove_from_lookups(&mut self, record: &Record) {
        let item = &record.item;
        if let Some(tombstone) = record.tombstone() {
            self.tombstones.remove(&tombstone);
        }
        match (item.kind, &item.body) {
            (ItemKind::Route, Some(body)) => {
                for service in body.route_services() {
                    let Some(routes) = self.routes_by_service.get_mut(&service) else { continue };
                    routes.remove(&item.label);
                    if routes.is_empty() {
                        self.routes_by_service.remove(&service);
                    }
                }
            }
            (ItemKind::Tenant, Some(body)) => {
                for credential in body.tenant_credentials() {
                    self.tenants_by_credential.remove(&credential);
                }
                self.rates_by_tenant.remove(&item.label);
            }
            _ => {}
        }
    }
}
