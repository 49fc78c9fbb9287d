//! Declaration of a tenant in a document.
//!
//! Defines the types, which are stored and sent, and the checks of all tenants together.

use super::{ApiKey, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Highest rate and burst that are accepted, in operations a second and operations; the whole system is
/// designed for 820,000 statements a second.
const MAX_RATE: f64 = 1e9;

/// Limit on the operations that a tenant may begin, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantRate {
    /// Operations a second.
    pub per_second: f64,
    /// Operations that may begin at once in addition to the rate.
    pub burst: f64,
}

// Checked rates are never NaN.
impl Eq for TenantRate {}

/// Declaration of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRule {
    /// Name of the tenant, which members receive.
    pub name: TenantName,
    /// Keys that the tenant's callers may present.
    pub keys: Vec<ApiKey>,
    /// Rate of the tenant; none where its operations are not limited.
    pub rate: Option<TenantRate>,
}

/// Reasons why the tenants of a document cannot be put in force. Messages never contain keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("tenant {tenant:?} is declared twice")]
    DuplicateTenant {
        /// Name that is declared twice.
        tenant: String,
    },
    /// A key is empty.
    #[error("tenant {tenant:?}: a key is empty")]
    EmptyKey {
        /// Tenant with the empty key.
        tenant: String,
    },
    /// A tenant lists a key twice.
    #[error("tenant {tenant:?}: a key stands twice")]
    DuplicateKey {
        /// Tenant that lists the key twice.
        tenant: String,
    },
    /// Two tenants share a key.
    #[error("tenant {tenant:?} shares a key with tenant {other:?}")]
    SharedKey {
        /// Tenant that is declared second.
        tenant: String,
        /// Tenant that is declared first.
        other: String,
    },
    /// A rate is negative, too high or not a number.
    #[error("tenant {tenant:?}: the rate is not a number from 0 to {MAX_RATE}")]
    Rate {
        /// Tenant with the invalid rate.
        tenant: String,
    },
    /// A burst is negative, too high or not a number.
    #[error("tenant {tenant:?}: the burst is not a number from 0 to {MAX_RATE}")]
    Burst {
        /// Tenant with the invalid burst.
        tenant: String,
    },
}

impl TenantRule {
    fn check_rate(&self) -> Result<(), TenantError> {
        let Some(TenantRate { per_second, burst }) = self.rate else { return Ok(()) };
        let tenant = || self.name.to_string();
        let servable = 0.0..=MAX_RATE;
        if !servable.contains(&per_second) {
            return Err(TenantError::Rate { tenant: tenant() });
        }
        if !servable.contains(&burst) {
            return Err(TenantError::Burst { tenant: tenant() });
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), TenantError> {
        let tenant = || self.name.to_string();
        let mut seen = HashSet::new();
        for key in &self.keys {
            if key.is_empty() {
                return Err(TenantError::EmptyKey { tenant: tenant() });
            }
            if !seen.insert(key) {
                return Err(TenantError::DuplicateKey { tenant: tenant() });
            }
        }
        Ok(())
    }
}

/// Checks each tenant by itself, and that no two tenants share a name or a key.
///
/// # Errors
///
/// [`TenantError`], which names the tenant.
pub fn check_tenants(tenants: &[TenantRule]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut tenants_by_key: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(TenantError::DuplicateTenant { tenant: tenant.name.to_string() });
        }
        tenant.check_rate()?;
        tenant.check_keys()?;
        for key in &tenant.keys {
            if let Some(other) = tenants_by_key.insert(key, &tenant.name) {
                let (tenant, other) = (tenant.name.to_string(), other.to_string());
                return Err(TenantError::SharedKey { tenant, other });
            }
        }
    }
    Ok(())
}
