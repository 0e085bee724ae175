//! Breadth-first exploration of all reachable states, up to the first violation of an invariant.

use std::{cell::RefCell, hash::Hash};

use pathfinding::directed::bfs::bfs_reach;

/// Explores all states reachable from `start`; returns their number and the first violation.
pub(crate) fn explore_states<S, F>(start: S, successors: F) -> (usize, Option<String>)
where
    S: Clone + Eq + Hash,
    F: Fn(&S) -> Result<Vec<S>, String>,
{
    let violation = RefCell::new(None);
    let reach = bfs_reach(start, |state| {
        if violation.borrow().is_some() {
            return Vec::new();
        }
        successors(state).unwrap_or_else(|error| {
            *violation.borrow_mut() = Some(error);
            Vec::new()
        })
    });
    let count = reach.count();
    (count, violation.into_inner())
}
