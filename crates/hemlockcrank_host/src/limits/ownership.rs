//! Since when this host owns a rate limit, and how it became the owner.

use std::{collections::VecDeque, sync::Arc};

use hemlockcrank_core::{Name, membership::View};

/// Number of views kept. An ownership that is older than all of them counts from the oldest one.
const MAX_VIEWS: usize = 64;

/// A view, with the time and the log index of its first appearance at this host.
#[derive(Clone, Debug)]
struct TimedView {
    at: u64,
    index: u64,
    view: Arc<View>,
}

/// How an ownership began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The previous owner left the view; its authority and its loans had ended by then.
    OwnerLeft,
    /// This host joined the view while the previous owner, if any, stayed in it.
    Joined {
        /// The previous owner.
        previous: Option<Name>,
    },
}

/// This host's ownership of a workspace's rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ownership {
    /// Local time at which it began.
    pub(crate) since: u64,
    /// Log index at or after the view that began it.
    pub(crate) index: u64,
    /// How it began.
    pub(crate) cause: Cause,
}

/// Recent views, oldest first.
#[derive(Debug, Default)]
pub(crate) struct OwnershipHistory {
    views: VecDeque<TimedView>,
}

impl OwnershipHistory {
    /// Records the view as of `index`. Views are ignored until the first one that contains `host`.
    pub(crate) fn record(&mut self, at: u64, index: u64, view: &Arc<View>, host: &Name) {
        let unchanged = self.views.back().is_some_and(|last| last.view == *view);
        if unchanged || (self.views.is_empty() && view.get(host).is_none()) {
            return;
        }
        if self.views.len() == MAX_VIEWS {
            self.views.pop_front();
        }
        self.views.push_back(TimedView {
            at,
            index,
            view: Arc::clone(view),
        });
    }

    /// How `host` owns the rate limit of `workspace`; `None` if it is not the owner.
    pub(crate) fn find(&self, workspace: &str, host: &Name) -> Option<Ownership> {
        let mut owned = self
            .views
            .iter()
            .enumerate()
            .rev()
            .take_while(|(_, timed)| timed.view.serving_owner(workspace) == Some(host));
        let (first, timed) = owned.by_ref().last()?;
        let previous_view = first.checked_sub(1).and_then(|index| self.views.get(index));
        Some(Ownership {
            since: timed.at,
            index: timed.index,
            cause: cause(
                workspace,
                host,
                &timed.view,
                previous_view.map(|timed| &*timed.view),
            ),
        })
    }
}

/// How `host` became the owner of the rate limit of `workspace` with `view`. If `previous_view` is
/// no longer kept, the previous owner is the one that `view` without `host` would have.
fn cause(workspace: &str, host: &Name, view: &View, previous_view: Option<&View>) -> Cause {
    let previous = match previous_view {
        Some(previous_view) => previous_view.serving_owner(workspace).cloned(),
        None => {
            let mut without_host = view.clone();
            without_host.remove(host, u64::MAX);
            without_host.serving_owner(workspace).cloned()
        }
    };
    match previous {
        Some(name) => match view.get(&name) {
            Some(member) => Cause::Joined {
                previous: Some(member.name.clone()),
            },
            None => Cause::OwnerLeft,
        },
        None => Cause::Joined { previous: None },
    }
}
