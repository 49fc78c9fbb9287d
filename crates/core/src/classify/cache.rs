//! Bounded cache of statement profiles by text, so that a repeated statement is not classified again.

use super::StatementProfile;
use std::collections::HashMap;
use std::sync::Arc;

/// Longest text that is cached, in bytes, which bounds the memory of the cache. Longer texts are classified
/// each time.
const CACHED_TEXT_LIMIT: usize = 4 * 1024;

/// Cache of the profiles of recent texts in two generations. When the young generation is full, it
/// replaces the old generation, whose texts are dropped.
#[derive(Debug)]
pub struct ProfileCache {
    generation_limit: usize,
    young: HashMap<String, Arc<StatementProfile>>,
    old: HashMap<String, Arc<StatementProfile>>,
}

impl ProfileCache {
    /// Returns an empty cache for at most `limit` texts, half of them in each generation.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let generation_limit = (limit / 2).max(1);
        Self { generation_limit, young: HashMap::new(), old: HashMap::new() }
    }

    /// Returns the profile of a text, from the cache if the text is cached.
    pub fn profile(&mut self, text: &str) -> Arc<StatementProfile> {
        if text.len() > CACHED_TEXT_LIMIT {
            return Arc::new(StatementProfile::of(text));
        }
        if let Some(cached) = self.young.get(text) {
            return cached.clone();
        }
        let profile = self.old.remove(text).unwrap_or_else(|| Arc::new(StatementProfile::of(text)));
        self.insert(text, profile.clone());
        profile
    }

    /// Returns the number of cached texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Reports whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: &str, profile: Arc<StatementProfile>) {
        if self.young.len() >= self.generation_limit {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text.to_owned(), profile);
    }
}
