//! Names of tenants, and on whose behalf something is done.
//!
//! Values only: a name that exists is valid.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest name of a tenant, in bytes: it goes with each connection and each statement that another
/// gateway runs.
const LONGEST_NAME: usize = 255;

/// Why a text is no name of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TenantNameError {
    /// It is empty.
    #[error("a tenant's name must not be empty")]
    Empty,
    /// It is too long.
    #[error("a tenant's name has {0} bytes, at most {LONGEST_NAME} are allowed")]
    TooLong(usize),
    /// It holds a blank or a control character, which would end the field that it is told in.
    #[error("a tenant's name must not hold the character {0:?}")]
    Character(char),
}

/// The name of a tenant: any text without blanks and control characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantName(Arc<str>);

impl TenantName {
    /// Checks and wraps a name.
    ///
    /// # Errors
    /// [`TenantNameError`].
    pub fn new(text: &str) -> Result<Self, TenantNameError> {
        if text.is_empty() {
            return Err(TenantNameError::Empty);
        }
        if text.len() > LONGEST_NAME {
            return Err(TenantNameError::TooLong(text.len()));
        }
        match text.chars().find(|c| c.is_whitespace() || c.is_control()) {
            Some(character) => Err(TenantNameError::Character(character)),
            None => Ok(Self(text.into())),
        }
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// On whose behalf a statement is run.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Principal {
    /// Nobody in particular: the deployment has no tenants, or the route asks for no key.
    #[default]
    Unnamed,
    /// A tenant.
    Tenant(TenantName),
}

impl Principal {
    /// The tenant, if there is one.
    #[must_use]
    pub const fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Unnamed => None,
            Self::Tenant(name) => Some(name),
        }
    }
}

impl fmt::Display for Principal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => formatter.write_str("-"),
            Self::Tenant(name) => name.fmt(formatter),
        }
    }
}
