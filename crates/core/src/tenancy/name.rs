//! Names of tenants, and the principal on whose behalf a statement runs.
//!
//! A value of [`TenantName`] is always valid.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest name of a tenant, in bytes: the name is sent with each connection, and with each statement
/// that another gateway runs.
const MAX_NAME_BYTES: usize = 255;

/// Reasons why a text is not a valid name of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum TenantNameError {
    /// The text is empty.
    #[error("a tenant's name must not be empty")]
    Empty,
    /// The text is longer than the maximum; holds its length in bytes.
    #[error("a tenant's name has {0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    TooLong(usize),
    /// The text holds a blank or a control character, which would end the field that the name is sent
    /// in.
    #[error("a tenant's name must not hold the character {0:?}")]
    Character(char),
}

/// Name of a tenant: any text of 1 to 255 bytes without blanks and control characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantName(Arc<str>);

impl TenantName {
    /// Validates and wraps a name.
    ///
    /// # Errors
    ///
    /// [`TenantNameError`] where the text is empty, too long, or holds a blank or a control character.
    pub fn new(text: &str) -> Result<Self, TenantNameError> {
        if text.is_empty() {
            return Err(TenantNameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(TenantNameError::TooLong(text.len()));
        }
        match text.chars().find(|c| c.is_whitespace() || c.is_control()) {
            Some(character) => Err(TenantNameError::Character(character)),
            None => Ok(Self(text.into())),
        }
    }

    /// Returns the name as text.
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

/// Principal on whose behalf a statement runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Principal {
    /// No tenant: the deployment has none, or the route requires no key.
    #[default]
    Anonymous,
    /// A tenant, by name.
    Tenant(TenantName),
}

impl Principal {
    /// Returns the tenant, if there is one.
    #[must_use]
    pub const fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Anonymous => None,
            Self::Tenant(name) => Some(name),
        }
    }
}

impl fmt::Display for Principal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Anonymous => formatter.write_str("-"),
            Self::Tenant(name) => name.fmt(formatter),
        }
    }
}
