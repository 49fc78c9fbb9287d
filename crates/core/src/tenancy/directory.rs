//! Lookup of tenants by API key and by name.
//!
//! Holds the tenants in force at one gateway. The document that declares them must have been checked
//! with [`super::check_tenants`].

use super::{ApiKey, TenantName, TenantRate, TenantRule};
use std::collections::{HashMap, HashSet};

/// The tenants in force, by key and by name. Applying a new document rewrites only the entries of
/// tenants that changed; unchanged ones are only compared.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<ApiKey, TenantName>,
    tenants: HashMap<TenantName, TenantRule>,
    entries_written: u64,
}

impl TenantDirectory {
    /// Applies the tenants of a new document, which must have been checked.
    pub fn update(&mut self, tenants: &[TenantRule]) {
        let declared: HashSet<&TenantName> = tenants.iter().map(|tenant| &tenant.name).collect();
        let removed: Vec<_> =
            self.tenants.keys().filter(|name| !declared.contains(name)).cloned().collect();
        for name in removed {
            self.remove(&name);
        }
        let changed: Vec<_> = tenants
            .iter()
            .filter(|tenant| self.tenants.get(&tenant.name) != Some(*tenant))
            .collect();
        // A key may move from one tenant to another: all old entries are removed before new ones are
        // added.
        for tenant in &changed {
            self.remove(&tenant.name);
        }
        for tenant in changed {
            self.insert_tenant(tenant);
        }
    }

    fn remove(&mut self, name: &TenantName) {
        let Some(tenant) = self.tenants.remove(name) else { return };
        for key in &tenant.keys {
            self.by_key.remove(key);
        }
        self.entries_written += 1 + tenant.keys.len() as u64;
    }

    fn insert_tenant(&mut self, tenant: &TenantRule) {
        for key in &tenant.keys {
            self.by_key.insert(key.clone(), tenant.name.clone());
        }
        self.tenants.insert(tenant.name.clone(), tenant.clone());
        self.entries_written += 1 + tenant.keys.len() as u64;
    }

    /// Returns the tenant that a key identifies.
    #[must_use]
    pub fn tenant_of_key(&self, key: &ApiKey) -> Option<&TenantName> {
        self.by_key.get(key)
    }

    /// Returns the declaration of a tenant.
    #[must_use]
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantRule> {
        self.tenants.get(name)
    }

    /// Returns the tenants whose operations are limited, with their rates.
    pub fn rates(&self) -> impl Iterator<Item = (&TenantName, TenantRate)> {
        self.tenants.iter().filter_map(|(name, tenant)| Some((name, tenant.rate?)))
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Reports whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the number of entries written or removed since the start: the work that applying
    /// documents has cost.
    #[must_use]
    pub const fn entries_written(&self) -> u64 {
        self.entries_written
    }
}
