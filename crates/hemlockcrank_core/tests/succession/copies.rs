//! Second copies of commits that are lost, and what the log says of them: no proof rests on what a process
//! remembers, or on a wait.

use hemlockcrank_core::{
    group::{Bound, Edit, Standing},
    session::Position,
    succession::{Lack, Order},
};

use crate::{model::Site, steps::TICKS_PER_SECOND};

/// Longer than any wait of a change of primary, in seconds.
const LONG_S: usize = 70;

/// Runs with saves that reach `receivers` alone.
fn run_saving(site: &mut Site, seconds: usize, receivers: &[&str]) {
    for _ in 0..seconds * TICKS_PER_SECOND {
        site.tick(|_| false);
        match site.change() {
            Some(_) => site.release(false),
            None => {
                let primary = site.lead().member.clone();
                site.write(&primary, receivers);
            }
        }
    }
}

/// The primary is gone and reports nothing, and the hosts' leases have ended.
fn lose_primary(site: &mut Site, name: &str) {
    site.member(name).down = true;
    site.failing_ms = Some(500);
    while site.change().is_none() {
        site.ticks(1);
    }
    site.release(false);
}

/// Guards against the loss of every commit: all members that held one had left, and an empty one was
/// promoted once a wait was over, by a leader that remembered nothing.
#[test]
fn empty_members_are_not_promoted_after_every_copy_has_left() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.depart("a");
    site.member("b").cut_from_leader = true;
    site.member("c").cut_from_leader = true;
    site.ticks(TICKS_PER_SECOND);
    site.release(false);

    site.announce("d", Standing::Ready);
    site.announce("e", Standing::Ready);
    site.depart("b");
    site.depart("c");
    site.change_leader();
    site.ticks(LONG_S * TICKS_PER_SECOND);

    assert!(site.change().is_some(), "nobody holds the commit");
    assert_eq!(site.promoted, []);
    assert_eq!(site.lack, Some(Lack::Log));
}

/// Guards against the same when the only second copy was at a member that has started again under its
/// name since.
#[test]
fn a_commit_whose_only_second_copy_started_again_empty_is_not_lost() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.restart_empty("b");

    lose_primary(&mut site, "a");
    site.ticks(LONG_S * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`b` and `c` lack the commit");
    site.member("a").down = false;
    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "a");
}

/// Guards against an empty log as the last word of the old primary: it has started again under its name.
#[test]
fn a_primary_that_started_again_empty_proves_nothing() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("b").cut_from_leader = true;
    site.restart_empty("a");
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    site.release(false);
    site.ticks(LONG_S * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`a` and `c` lack the commit");
    assert_eq!(site.lack, Some(Lack::Answers));
    site.member("b").cut_from_leader = false;
    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "b");
}

/// Guards against lost commits of an earlier term: their only second copy was at the member that is the
/// primary now, and the primary of that term has left.
#[test]
fn a_commit_whose_only_second_copy_became_the_primary_is_not_lost() {
    let mut site = Site::new();
    site.announce("d", Standing::Ready);
    site.write("a", &["b"]);
    site.announce("a", Standing::Leaving);
    while site.change().is_none() {
        site.ticks(1);
    }
    site.release(false);
    while site.change().is_some() {
        site.ticks(1);
    }
    assert_eq!(&*site.lead().member, "b");

    site.depart("a");
    site.ticks(4 * TICKS_PER_SECOND);
    lose_primary(&mut site, "b");
    site.ticks(LONG_S * TICKS_PER_SECOND);

    assert!(site.change().is_some(), "`c` and `d` lack the commit");
    assert_eq!(site.promoted, ["b".into()]);
    assert_eq!(site.lack, Some(Lack::Commits));
}

/// Guards against a departure within seconds of the loss of the primary: the wait for it was limited.
#[test]
fn a_departure_right_before_the_loss_of_the_primary_is_not_waited_out() {
    let mut site = Site::new();
    site.announce("d", Standing::Ready);
    site.write("a", &["b"]);
    site.depart("b");

    lose_primary(&mut site, "a");
    site.ticks(LONG_S * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`c` and `d` lack the commit");
    site.member("a").down = false;
    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "a");
}

/// After a departure the primary says how far it has come, and replicas that have reached that may take
/// over again; a leader that has just begun knows it from the log.
#[test]
fn replicas_that_have_reached_the_bound_take_over_after_a_departure() {
    let mut site = Site::new();
    site.announce("d", Standing::Ready);
    run_saving(&mut site, 1, &["b", "c", "d"]);
    site.depart("b");
    run_saving(&mut site, 2, &["c", "d"]);

    site.change_leader();
    lose_primary(&mut site, "a");
    site.ticks(2 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_eq!(site.lack, None);
}

/// What a change has proved stays proved when members leave before it ends.
#[test]
fn a_departure_after_the_proof_does_not_hold_up_a_change() {
    let mut site = Site::new();
    site.announce("d", Standing::Ready);
    site.write("a", &["b", "c", "d"]);
    lose_primary(&mut site, "a");
    for _ in 0..TICKS_PER_SECOND {
        site.tick(|order| matches!(order, Order::Promote(..)));
    }
    let nominee = site.nominee().expect("nominee");
    let other = ["b", "c", "d"].into_iter().find(|name| **name != *nominee);

    site.depart(&nominee);
    site.change_leader();
    site.ticks(20 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert!(other.is_some() && site.lead().member != nominee);
}

#[test]
fn a_bound_from_before_the_newest_one_is_stale() {
    let mut site = Site::new();
    let bound = |index, number| Edit::Bound {
        service: "ledger".into(),
        bound: Bound {
            index,
            position: Position::new(1, number),
        },
    };

    site.commit(bound(9, 5));
    site.commit(bound(8, 7));

    let newest = site.state.bounds.get("ledger");
    assert_eq!(newest.map(|bound| bound.position.index), Some(5));
}
