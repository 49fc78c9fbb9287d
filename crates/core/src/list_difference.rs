//! What turns one list into another, in less than the whole.
//!
//! Owns the form of the steps, which travel, and both directions: what differs, and the list after it.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;

/// One step along the list before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListStep<T> {
    /// So many entries stay.
    Keep(usize),
    /// So many entries go.
    Drop(usize),
    /// These entries come here.
    Insert(Vec<T>),
}

/// Steps that do not fit the list that they are applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the steps are for a list of {expected} entries, and there are {found}")]
pub struct StepsMismatch {
    /// Entries that the steps keep or drop.
    pub expected: usize,
    /// Entries of the list.
    pub found: usize,
}

/// The steps from one list to another. Entries with the same key are taken for the same entry, changed
/// or not; the result is exact for any keys, and short where keys are not used twice.
pub fn list_steps<T, K>(
    before: &[T],
    after: &[T],
    key: impl for<'t> Fn(&'t T) -> &'t K,
) -> Vec<ListStep<T>>
where
    T: Clone + PartialEq,
    K: Eq + Hash + ?Sized,
{
    let places: HashMap<&K, usize> =
        before.iter().enumerate().map(|(place, entry)| (key(entry), place)).collect();
    let mut steps = Steps::default();
    let mut next = 0;
    for entry in after {
        // What is skipped is gone, or comes later in the new list, where it is inserted.
        if let Some(place) = places.get(key(entry)).filter(|place| **place >= next) {
            steps.drop(place - next);
            next = *place;
        }
        if before.get(next) == Some(entry) {
            steps.keep();
            next += 1;
        } else {
            steps.insert(entry.clone());
        }
    }
    steps.drop(before.len() - next);
    steps.0
}

/// The list that steps lead to.
///
/// # Errors
/// [`StepsMismatch`] where they were made for a list of another length.
pub fn follow_steps<T: Clone>(
    before: &[T],
    steps: &[ListStep<T>],
) -> Result<Vec<T>, StepsMismatch> {
    let passed = |step: &ListStep<T>| match step {
        ListStep::Keep(count) | ListStep::Drop(count) => *count,
        ListStep::Insert(_) => 0,
    };
    let expected = steps.iter().map(passed).fold(0, usize::saturating_add);
    if expected != before.len() {
        return Err(StepsMismatch { expected, found: before.len() });
    }
    let mut after = Vec::with_capacity(before.len());
    let mut rest = before;
    for step in steps {
        let (head, tail) = rest.split_at(passed(step));
        rest = tail;
        match step {
            ListStep::Keep(_) => after.extend_from_slice(head),
            ListStep::Drop(_) => (),
            ListStep::Insert(entries) => after.extend_from_slice(entries),
        }
    }
    Ok(after)
}

/// Steps as they are found; like ones are joined.
#[derive(Debug)]
struct Steps<T>(Vec<ListStep<T>>);

impl<T> Default for Steps<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Steps<T> {
    fn keep(&mut self) {
        match self.0.last_mut() {
            Some(ListStep::Keep(count)) => *count += 1,
            _ => self.0.push(ListStep::Keep(1)),
        }
    }

    fn drop(&mut self, more: usize) {
        if more == 0 {
            return;
        }
        match self.0.last_mut() {
            Some(ListStep::Drop(count)) => *count += more,
            _ => self.0.push(ListStep::Drop(more)),
        }
    }

    fn insert(&mut self, entry: T) {
        match self.0.last_mut() {
            Some(ListStep::Insert(entries)) => entries.push(entry),
            _ => self.0.push(ListStep::Insert(vec![entry])),
        }
    }
}
