//! Locks that a panic elsewhere does not close.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after a panic of another holder: what the locks of this crate protect is
/// changed in steps that leave it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
