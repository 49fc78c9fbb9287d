//! Differences between two lists, as edit steps, which are usually shorter than the new list.
//!
//! [`edit_steps`] computes the steps and [`apply_steps`] applies them. Steps are sent between processes.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;

/// One edit step. The steps of a difference pass over the old list from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListStep<T> {
    /// This many entries of the old list stay.
    Keep(usize),
    /// This many entries of the old list are removed.
    Drop(usize),
    /// These entries are inserted at this point.
    Insert(Vec<T>),
}

/// Error of steps that were computed for a list of another length than the list they are applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the steps are for a list of {expected} entries, and there are {found}")]
pub struct StepsMismatch {
    /// Number of entries that the steps keep or drop.
    pub expected: usize,
    /// Number of entries of the list.
    pub found: usize,
}

/// Returns the steps that turn `before` into `after`. Entries with the same key count as versions of the
/// same entry. The steps are exact for any keys, and short if no two entries of a list share a key.
pub fn edit_steps<T, K>(
    before: &[T],
    after: &[T],
    key: impl for<'t> Fn(&'t T) -> &'t K,
) -> Vec<ListStep<T>>
where
    T: Clone + PartialEq,
    K: Eq + Hash + ?Sized,
{
    let old_positions: HashMap<&K, usize> =
        before.iter().enumerate().map(|(position, entry)| (key(entry), position)).collect();
    let mut steps = StepBuilder::default();
    let mut next_position = 0;
    for entry in after {
        // An entry that is skipped here is removed, or the new list has it further on and inserts it there.
        if let Some(position) =
            old_positions.get(key(entry)).filter(|position| **position >= next_position)
        {
            steps.drop(position - next_position);
            next_position = *position;
        }
        if before.get(next_position) == Some(entry) {
            steps.keep();
            next_position += 1;
        } else {
            steps.insert(entry.clone());
        }
    }
    steps.drop(before.len() - next_position);
    steps.0
}

/// Applies the steps to `before` and returns the resulting list.
///
/// # Errors
/// [`StepsMismatch`] if the steps were computed for a list of another length.
pub fn apply_steps<T: Clone>(before: &[T], steps: &[ListStep<T>]) -> Result<Vec<T>, StepsMismatch> {
    let consumed_entries = |step: &ListStep<T>| match step {
        ListStep::Keep(count) | ListStep::Drop(count) => *count,
        ListStep::Insert(_) => 0,
    };
    let expected = steps.iter().map(consumed_entries).fold(0, usize::saturating_add);
    if expected != before.len() {
        return Err(StepsMismatch { expected, found: before.len() });
    }
    let mut after = Vec::with_capacity(before.len());
    let mut remaining = before;
    for step in steps {
        let (head, tail) = remaining.split_at(consumed_entries(step));
        remaining = tail;
        match step {
            ListStep::Keep(_) => after.extend_from_slice(head),
            ListStep::Drop(_) => (),
            ListStep::Insert(entries) => after.extend_from_slice(entries),
        }
    }
    Ok(after)
}

/// Collects steps and joins adjacent steps of the same kind.
#[derive(Debug)]
struct StepBuilder<T>(Vec<ListStep<T>>);

impl<T> Default for StepBuilder<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> StepBuilder<T> {
    fn keep(&mut self) {
        match self.0.last_mut() {
            Some(ListStep::Keep(count)) => *count += 1,
            _ => self.0.push(ListStep::Keep(1)),
        }
    }

    fn drop(&mut self, additional: usize) {
        if additional == 0 {
            return;
        }
        match self.0.last_mut() {
            Some(ListStep::Drop(count)) => *count += additional,
            _ => self.0.push(ListStep::Drop(additional)),
        }
    }

    fn insert(&mut self, entry: T) {
        match self.0.last_mut() {
            Some(ListStep::Insert(entries)) => entries.push(entry),
            _ => self.0.push(ListStep::Insert(vec![entry])),
        }
    }
}
