//! Locks that are taken for a moment and never across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after a panic elsewhere: what is kept under these locks is whole after every step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
