//! Mutexes that are held briefly and never across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned by a panic: the data under these mutexes is consistent
/// after every single step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
