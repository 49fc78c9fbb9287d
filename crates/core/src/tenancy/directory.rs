//! Which tenant a key stands for.
//!
//! Owns the tenants in force at one gateway, by key and by name. Relies on the document having been checked.

use super::{ApiKey, TenantName, TenantRate, TenantRule};
use std::collections::{HashMap, HashSet};

/// The tenants in force, by key and by name. It is kept up from one document to the next: what did
/// not change is only compared.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<ApiKey, TenantName>,
    tenants: HashMap<TenantName, TenantRule>,
    entries_written: u64,
}

impl TenantDirectory {
    /// Takes the tenants of another document, which was checked.
    pub fn follow(&mut self, tenants: &[TenantRule]) {
        let declared: HashSet<&TenantName> = tenants.iter().map(|tenant| &tenant.name).collect();
        let gone: Vec<_> =
            self.tenants.keys().filter(|name| !declared.contains(name)).cloned().collect();
        for name in gone {
            self.remove(&name);
        }
        let changed: Vec<_> =
            tenants.iter().filter(|it| self.tenants.get(&it.name) != Some(*it)).collect();
        // A key may pass from one tenant to another: all are taken away before any is given.
        for tenant in &changed {
            self.remove(&tenant.name);
        }
        for tenant in changed {
            self.put(tenant);
        }
    }

    fn remove(&mut self, name: &TenantName) {
        let Some(tenant) = self.tenants.remove(name) else { return };
        for key in &tenant.keys {
            self.by_key.remove(key);
        }
        self.entries_written += 1 + tenant.keys.len() as u64;
    }

    fn put(&mut self, tenant: &TenantRule) {
        for key in &tenant.keys {
            self.by_key.insert(key.clone(), tenant.name.clone());
        }
        self.tenants.insert(tenant.name.clone(), tenant.clone());
        self.entries_written += 1 + tenant.keys.len() as u64;
    }

    /// The tenant that a key stands for.
    #[must_use]
    pub fn holder(&self, key: &ApiKey) -> Option<&TenantName> {
        self.by_key.get(key)
    }

    /// What is declared of a tenant.
    #[must_use]
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantRule> {
        self.tenants.get(name)
    }

    /// The tenants whose operations are limited.
    pub fn rates(&self) -> impl Iterator<Item = (&TenantName, TenantRate)> {
        self.tenants.iter().filter_map(|(name, tenant)| Some((name, tenant.rate?)))
    }

    /// How many tenants there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Entries written or removed since the start: the work that following documents has cost.
    #[must_use]
    pub const fn entries_written(&self) -> u64 {
        self.entries_written
    }
}
