//! Keys of callers, which are secrets.
//!
//! Owns that a key is never printed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// What a caller shows to say who it is. It is a secret: it has no `Display`, its `Debug` hides it,
/// and it is compared only as a whole. The `secrecy` crate has no keys that can be looked up in a map.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key as it came.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Whether there is nothing to show.
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
