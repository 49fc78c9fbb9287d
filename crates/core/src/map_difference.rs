//! Differences between two sorted maps, found in one pass over both.

use std::collections::BTreeMap;

/// Change of one entry between two maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange<'m, K, V> {
    /// The entry is new or has a new value; this is its key and new value.
    Put(&'m K, &'m V),
    /// The entry is not in the later map; this is its key and former value.
    Removed(&'m K, &'m V),
}

/// Returns the changes from `earlier` to `later` in the order of their keys. `is_same` compares values.
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
                let same_key_entry = old_entry.filter(|(old_key, _)| old_key == key);
                if !same_key_entry.is_some_and(|(_, old_value)| is_same(old_value, value)) {
                    changes.push(EntryChange::Put(key, value));
                }
                if same_key_entry.is_some() {
                    old.next();
                }
                new.next();
            }
            // Unreachable: the arm with the guard handles an old entry without a new one.
            (Some(_), None) => return changes,
        }
    }
}
