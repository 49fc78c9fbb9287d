//! Tenants: who a caller is by the key it shows, and what its tenant may ask for.
//!
//! A document may declare tenants. A caller then shows a key, which stands for one tenant; members and
//! other gateways are told the tenant's name and never the key.
//!
//! Owns names, keys and declared rates. How many operations may begin is kept in [`crate::limits`].

mod directory;
mod key;
mod name;
mod rule;

pub use directory::TenantDirectory;
pub use key::ApiKey;
pub use name::{Principal, TenantName, TenantNameError};
pub use rule::{TenantError, TenantRate, TenantRule, check_tenants};
