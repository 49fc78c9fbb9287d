//! What differs between two sorted maps.
//!
//! One pass over both; owns nothing.

use std::collections::BTreeMap;

/// One entry that differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange<'m, K, V> {
    /// It is new, or has another value now.
    Put(&'m K, &'m V),
    /// It is there no more; this was its value.
    Removed(&'m K, &'m V),
}

/// The entries in which `later` differs from `earlier`, by key. `is_same` compares values.
pub fn differences<'m, K: Ord, V>(
    earlier: &'m BTreeMap<K, V>,
    later: &'m BTreeMap<K, V>,
    is_same: impl Fn(&V, &V) -> bool,
) -> Vec<EntryChange<'m, K, V>> {
    let mut changes = Vec::new();
    let mut old = earlier.iter().peekable();
    let mut new = later.iter().peekable();
    loop {
        match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some((old_key, value)), new_entry)
                if new_entry.is_none_or(|(new_key, _)| old_key < new_key) =>
            {
                changes.push(EntryChange::Removed(old_key, value));
                old.next();
            }
            (old_entry, Some((key, value))) => {
                let before = old_entry.filter(|(old_key, _)| old_key == key);
                if !before.is_some_and(|(_, before)| is_same(before, value)) {
                    changes.push(EntryChange::Put(key, value));
                }
                if before.is_some() {
                    old.next();
                }
                new.next();
            }
            // A removed entry is taken by the first arm.
            (Some(_), None) => return changes,
        }
    }
}
