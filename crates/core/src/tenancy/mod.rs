//! Tenants: which tenant a caller belongs to by its API key, and what the tenant may request.
//!
//! A document may declare tenants. A caller then presents a key, which identifies one tenant; members
//! and other gateways receive the tenant's name and never the key.
//!
//! This module defines names, keys and declared rates. [`crate::limits`] enforces how many operations
//! may begin.

mod directory;
mod key;
mod name;
mod rule;

pub use directory::TenantDirectory;
pub use key::ApiKey;
pub use name::{Principal, TenantName, TenantNameError};
pub use rule::{TenantError, TenantRate, TenantRule, check_tenants};
