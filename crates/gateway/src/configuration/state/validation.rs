//! The rules between items, checked through the lookups: the active items satisfy them before each change, so only what
//! the change touches is looked at. [`find_violations`](crate::configuration::change::find_violations) states the same
//! rules over a whole configuration.

use super::apply::{NewVersions, ProposedVersions};
use super::ConfigState;
use crate::configuration::change::ChangeError;
use crate::configuration::fields::ItemFields;
use crate::configuration::item::{ConfigItem, ItemKind};
use std::collections::HashMap;

impl ConfigState {
    /// What would be wrong with the active items if these versions became current.
    pub(super) fn violation_of(&self, new: &NewVersions) -> Option<ChangeError> {
        // Credentials that this change gives to a tenant.
        let mut claimed: HashMap<String, &str> = HashMap::new();
        new.iter().find_map(|(&(kind, label), new_version)| match (kind, &new_version.item.body) {
            (ItemKind::Route, Some(body)) => self.unknown_service_of_route(label, body, new),
            (ItemKind::Service, None) => self.route_of_removed_service(label, new),
            (ItemKind::Tenant, Some(body)) => self.shared_credential(label, body, new, &mut claimed),
            _ => None,
        })
    }

    /// A route needs all services that it names.
    fn unknown_service_of_route(
        &self,
        route: &str,
        body: &ItemFields,
        new: &NewVersions,
    ) -> Option<ChangeError> {
        let will_be_active = |service: &str| match new.get(&(ItemKind::Service, service)) {
            Some(version) => version.item.body.is_some(),
            None => self.is_active(ItemKind::Service, service),
        };
        let service = body.route_services().into_iter().find(|s| !will_be_active(s))?;
        Some(ChangeError::UnknownService { route: route.into(), service })
    }

    /// A service that is removed may be named by no route. The routes of the change itself are checked as routes; so
    /// the search ends at the first other one.
    fn route_of_removed_service(&self, service: &str, new: &NewVersions) -> Option<ChangeError> {
        let mut routes = self.routes_by_service.get(service).into_iter().flatten();
        let route = routes.find(|r| !new.contains_key(&(ItemKind::Route, r.as_str())))?;
        Some(ChangeError::UnknownService { route: route.clone(), service: service.into() })
    }

    /// A credential belongs to one tenant.
    fn shared_credential<'a>(
        &self,
        tenant: &'a str,
        body: &ItemFields,
        new: &NewVersions,
        claimed: &mut HashMap<String, &'a str>,
    ) -> Option<ChangeError> {
        for credential in body.tenant_credentials() {
            let owner = self.tenants_by_credential.get(&credential).map(|o| o.label.as_str());
            // What a tenant of the change had before is free.
            let owner = owner.filter(|o| !new.contains_key(&(ItemKind::Tenant, *o)));
            let claimant = claimed.insert(credential, tenant);
            if let Some(other) = claimant.or(owner).filter(|o| *o != tenant) {
                let (first, second) = (other.min(tenant), other.max(tenant));
                return Some(ChangeError::SharedCredential(first.into(), second.into()));
            }
        }
        None
    }

    /// A superseded version that was never confirmed has no effect, so it is confirmed without a check against today's
    /// items. Only a route that names a service which never existed, and isn't in the change, can't have been valid at
    /// any time.
    pub(super) fn violation_at_any_time(
        &self,
        item: &ConfigItem,
        proposed: &ProposedVersions,
    ) -> Option<ChangeError> {
        let body = item.body.as_ref().filter(|_| item.kind == ItemKind::Route)?;
        let may_have_existed = |service: &String| {
            self.may_have_existed(ItemKind::Service, service)
                || proposed.contains_key(&(ItemKind::Service, service.as_str()))
        };
        let service = body.route_services().into_iter().find(|s| !may_have_existed(s))?;
        Some(ChangeError::UnknownService { route: item.label.clone(), service })
    }
}
