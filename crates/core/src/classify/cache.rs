//! Bounded cache of profiles by text.
//!
//! Owns recent texts with what they may do, so that a statement that comes again is not read again.

use super::StatementProfile;
use std::collections::HashMap;
use std::sync::Arc;

/// Longest text that is kept, in bytes. Chosen, not measured: a bound on memory; longer texts are read each time.
const CACHED_TEXT_LIMIT: usize = 4 * 1024;

/// Keeps the profiles of recent texts in two generations: when the young
/// one is full it becomes the old one, and the old one is forgotten.
#[derive(Debug)]
pub struct ProfileCache {
    generation_limit: usize,
    young: HashMap<String, Arc<StatementProfile>>,
    old: HashMap<String, Arc<StatementProfile>>,
}

impl ProfileCache {
    /// A cache of at most this many texts.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let generation_limit = (limit / 2).max(1);
        Self { generation_limit, young: HashMap::new(), old: HashMap::new() }
    }

    /// The profile of a text.
    pub fn profile(&mut self, text: &str) -> Arc<StatementProfile> {
        if text.len() > CACHED_TEXT_LIMIT {
            return Arc::new(StatementProfile::of(text));
        }
        if let Some(known) = self.young.get(text) {
            return known.clone();
        }
        let profile = self.old.remove(text).unwrap_or_else(|| Arc::new(StatementProfile::of(text)));
        self.keep(text, profile.clone());
        profile
    }

    /// Texts kept now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn keep(&mut self, text: &str, profile: Arc<StatementProfile>) {
        if self.young.len() >= self.generation_limit {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text.to_owned(), profile);
    }
}
