//! What a document declares of a tenant.
//!
//! Owns the forms, which are stored and sent, and the checks of all tenants together.

use super::{ApiKey, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Highest rate and burst that can be served by, in operations; the aim of the whole system is 820,000
/// statements a second.
const HIGHEST_RATE: f64 = 1e9;

/// How many operations a tenant may begin, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantRate {
    /// Operations a second.
    pub per_second: f64,
    /// Operations that may come at once beside those.
    pub burst: f64,
}

// No rate that was checked is NaN.
impl Eq for TenantRate {}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRule {
    /// Its name, which members are told.
    pub name: TenantName,
    /// Keys that its callers may show.
    pub keys: Vec<ApiKey>,
    /// How much it may ask for; none where that is not limited.
    pub rate: Option<TenantRate>,
}

/// Why the tenants of a document cannot be put in force. Keys are not told.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("tenant {tenant:?} is declared twice")]
    DuplicateTenant {
        /// The name.
        tenant: String,
    },
    /// A key is empty.
    #[error("tenant {tenant:?}: a key is empty")]
    EmptyKey {
        /// The tenant.
        tenant: String,
    },
    /// A tenant names a key twice.
    #[error("tenant {tenant:?}: a key stands twice")]
    DuplicateKey {
        /// The tenant.
        tenant: String,
    },
    /// Two tenants share a key.
    #[error("tenant {tenant:?} shares a key with tenant {other:?}")]
    SharedKey {
        /// The second of them.
        tenant: String,
        /// The first of them.
        other: String,
    },
    /// A rate cannot be served by.
    #[error("tenant {tenant:?}: the rate is not a number from 0 to {HIGHEST_RATE}")]
    Rate {
        /// The tenant.
        tenant: String,
    },
    /// A burst cannot be served by.
    #[error("tenant {tenant:?}: the burst is not a number from 0 to {HIGHEST_RATE}")]
    Burst {
        /// The tenant.
        tenant: String,
    },
}

impl TenantRule {
    fn check_rate(&self) -> Result<(), TenantError> {
        let Some(TenantRate { per_second, burst }) = self.rate else { return Ok(()) };
        let tenant = || self.name.to_string();
        let servable = 0.0..=HIGHEST_RATE;
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

/// Checks tenants by themselves and against each other.
///
/// # Errors
/// [`TenantError`], which names the tenant.
pub fn check_tenants(tenants: &[TenantRule]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut holders: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(TenantError::DuplicateTenant { tenant: tenant.name.to_string() });
        }
        tenant.check_rate()?;
        tenant.check_keys()?;
        for key in &tenant.keys {
            if let Some(other) = holders.insert(key, &tenant.name) {
                let (tenant, other) = (tenant.name.to_string(), other.to_string());
                return Err(TenantError::SharedKey { tenant, other });
            }
        }
    }
    Ok(())
}
