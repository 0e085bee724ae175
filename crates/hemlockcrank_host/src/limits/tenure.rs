//! Since when, and why, this host owns what it owns.

use std::{collections::VecDeque, sync::Arc};

use hemlockcrank_core::{Name, membership::View};

/// Views kept; a tenure older than all of them counts from the oldest.
const VIEWS_KEPT: usize = 64;

#[derive(Clone, Debug)]
struct Noted {
    at: u64,
    index: u64,
    view: Arc<View>,
}

/// How a tenure began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The last owner left the view; it and its loans had ended by then.
    OwnerLeft,
    /// This host came into the view while the last owner, if any, stayed.
    Joined {
        /// The last owner.
        previous: Option<Name>,
    },
}

/// This host's ownership of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Tenure {
    /// Local time at which it began.
    pub(crate) since: u64,
    /// Log index at or after the view that began it.
    pub(crate) index: u64,
    /// How it began.
    pub(crate) cause: Cause,
}

/// Recent views, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Tenures {
    views: VecDeque<Noted>,
}

impl Tenures {
    /// Notes the view as of `index`; views without `host` are left out until it first appears.
    pub(crate) fn note(&mut self, at: u64, index: u64, view: &Arc<View>, host: &Name) {
        let known = self.views.back().is_some_and(|noted| noted.view == *view);
        if known || (self.views.is_empty() && view.get(host).is_none()) {
            return;
        }
        if self.views.len() == VIEWS_KEPT {
            self.views.pop_front();
        }
        self.views.push_back(Noted {
            at,
            index,
            view: Arc::clone(view),
        });
    }

    /// The tenure of `host` over `key`; `None` when it is not the owner.
    pub(crate) fn of(&self, key: &str, host: &Name) -> Option<Tenure> {
        let mut own = self
            .views
            .iter()
            .enumerate()
            .rev()
            .take_while(|(_, noted)| noted.view.serving_owner(key) == Some(host));
        let (first, noted) = own.by_ref().last()?;
        let before = first.checked_sub(1).and_then(|index| self.views.get(index));
        Some(Tenure {
            since: noted.at,
            index: noted.index,
            cause: cause(key, host, &noted.view, before.map(|noted| &*noted.view)),
        })
    }
}

fn cause(key: &str, host: &Name, view: &View, before: Option<&View>) -> Cause {
    let previous = match before {
        Some(before) => before.serving_owner(key).cloned(),
        None => {
            let mut without = view.clone();
            without.remove(host, u64::MAX);
            without.serving_owner(key).cloned()
        }
    };
    match previous {
        Some(name) => match view.get(&name) {
            Some(still) => Cause::Joined {
                previous: Some(still.name.clone()),
            },
            None => Cause::OwnerLeft,
        },
        None => Cause::Joined { previous: None },
    }
}
