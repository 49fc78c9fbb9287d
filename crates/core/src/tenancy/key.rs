//! API keys of callers.
//!
//! Keys are secrets and are never printed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Secret key with which a caller authenticates. It has no `Display`, its `Debug` hides it, and it is
/// compared only as a whole. The `secrecy` crate has no type that can be the key of a map.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key as received, without checks.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the length of the key, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether the key is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}
