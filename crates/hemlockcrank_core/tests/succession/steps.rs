//! Single changes of primary, each with one cause.

use hemlockcrank_core::{
    Name,
    floor::Sample,
    group::{Age, Edit, Standing},
    session::Position,
    succession::Order,
};

use crate::model::Site;

/// Ticks of [`TICK_MS`](crate::model::TICK_MS) in one second.
pub(crate) const TICKS_PER_SECOND: usize = 40;

#[test]
fn a_crashed_primary_is_replaced_by_the_most_advanced_replica() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.write("a", &["c"]);
    site.member("a").down = true;
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "c");
    assert_eq!(site.lead().term, 2);
}

#[test]
fn a_primary_that_serves_is_not_replaced() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);

    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "a");
    assert_eq!(site.change(), None);
}

#[test]
fn the_new_term_is_granted_only_after_all_hosts_have_released_the_old_primary() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;
    site.failing_ms = Some(500);

    site.ticks(4 * TICKS_PER_SECOND);

    assert!(
        site.change().is_some(),
        "a host may still use the old primary"
    );
    site.release(true);
    site.ticks(TICKS_PER_SECOND);
    assert_eq!(site.change(), None);
}

#[test]
fn the_only_reachable_replica_is_promoted_once_all_hosts_have_reported() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("a").down = true;
    site.member("c").down = true;
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    assert!(
        site.change().is_some(),
        "no host has reported what it acknowledged"
    );
    site.release(true);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "b");
}

#[test]
fn a_replica_that_lacks_an_acknowledged_commit_is_not_promoted() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("a").down = true;
    site.member("b").down = true;
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(4 * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`c` lacks the commit");
    site.member("b").down = false;
    site.ticks(2 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "b");
}

/// Guards against a lost commit that a host had acknowledged before it left the view.
#[test]
fn a_replica_that_lacks_what_departed_hosts_may_have_acknowledged_is_not_promoted() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("a").down = true;
    site.member("b").down = true;
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.fencing.acknowledged = Position::default();
    site.fencing.departed = Position::new(1, 1);
    site.ticks(4 * TICKS_PER_SECOND);

    assert!(site.change().is_some(), "`c` lacks the commit");
}

#[test]
fn a_commit_whose_only_second_copy_departed_is_not_lost() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("a").down = true;
    site.member("b").down = true;
    site.depart("b");
    site.failing_ms = Some(500);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(4 * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`c` lacks the commit");
    site.member("a").down = false;
    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(
        &*site.lead().member,
        "a",
        "`a` is back, and only its log holds the commit"
    );
}

/// Guards against a service without a primary although its replicas are all paused and equal: the primary
/// itself has left, and was counted as a possible second copy of its own commits.
#[test]
fn replicas_take_over_at_once_from_a_primary_that_left() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;

    site.depart("a");
    site.ticks(TICKS_PER_SECOND);
    site.release(false);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_ne!(&*site.lead().member, "a");
}

/// The host is cut off together with the primary and the departing replica, so the leader doesn't
/// know which commits the host has acknowledged with these two.
#[test]
fn a_departure_during_a_change_invalidates_the_proof_that_all_others_are_paused() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.write("a", &["b"]);
    site.member("a").cut_from_leader = true;
    site.member("b").cut_from_leader = true;
    site.failing_ms = Some(500);
    site.ticks(TICKS_PER_SECOND);
    site.release(false);

    site.depart("b");
    site.announce("d", Standing::Ready);
    site.ticks(4 * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`c` and `d` lack the commit");
    site.member("a").cut_from_leader = false;
    site.ticks(4 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "a");
}

#[test]
fn a_new_leader_continues_the_promotion_of_its_predecessor() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;
    site.failing_ms = Some(500);
    for _ in 0..TICKS_PER_SECOND {
        site.tick(|order| matches!(order, Order::Commit(Edit::Finish { .. })));
    }
    let promoted: Vec<Name> = site
        .members
        .iter()
        .filter(|(_, member)| member.primary && !member.down)
        .map(|(name, _)| name.clone())
        .collect();
    assert_eq!(
        promoted.len(),
        1,
        "one member is promoted, and its term is not granted yet"
    );

    site.change_leader();
    site.release(false);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_eq!(site.lead().member, promoted[0]);
}

/// A change in which `c` is nominated as long as `b` and `c` are paused; then `b` is no more, the leader
/// can't see it, and it receives a commit. No call has been made.
fn end_pause_after_nomination() -> Site {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").cut_from_leader = true;
    site.failing_ms = Some(500);
    let is_call = |order: &Order| matches!(order, Order::Promote(..));
    while site.nominee().is_none() {
        site.tick(is_call);
    }
    assert_eq!(site.nominee(), Some("c".into()));
    site.member("b").cut_from_leader = true;
    for _ in 0..TICKS_PER_SECOND {
        site.tick(is_call);
    }
    site.member("b").paused_for = 0;
    site.write("a", &["b"]);
    assert_eq!(site.acknowledged.len(), 2);
    site.release(false);
    site
}

/// Guards against a lost commit: a member was called for once nothing could be acknowledged any more, on a
/// proof that had ended before.
#[test]
fn a_nominated_member_is_not_called_for_on_a_pause_that_has_ended() {
    let mut site = end_pause_after_nomination();

    site.ticks(4 * TICKS_PER_SECOND);
    assert!(site.change().is_some(), "`c` lacks the commit");
    site.member("b").cut_from_leader = false;
    site.ticks(2 * TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "b");
}

/// Guards against stale reads: the leader gave out the position of a pause that had ended as that of now.
#[test]
fn a_pause_that_has_ended_bounds_nothing() {
    let mut site = end_pause_after_nomination();
    let acknowledged = (site.now, site.members["a"].position());

    site.tick(|order| matches!(order, Order::Promote(..)));

    let is_true = |sample: Sample| sample.at <= acknowledged.0 || sample.position >= acknowledged.1;
    assert!(site.outgoing.is_none_or(is_true), "{:?}", site.outgoing);
}

#[test]
fn a_primary_restarted_under_another_name_is_ordered_to_step_down() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    let restarted = site.members["a"].clone();
    site.members.insert("z".into(), restarted);
    site.members.remove("a");
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };
    site.announce("z", Standing::Ready);
    site.commit(Edit::Depart {
        member: "a".into(),
        age,
    });

    site.ticks(TICKS_PER_SECOND);
    site.release(false);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
}

#[test]
fn a_primary_cut_off_from_its_replicas_is_replaced() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").cut_from_members = true;
    site.write("a", &["b", "c"]);
    site.write("a", &["b", "c"]);
    site.failing_ms = Some(2_000);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(2 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_ne!(&*site.lead().member, "a");
}

#[test]
fn a_leaving_primary_hands_over_once_a_replica_has_caught_up() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.announce("a", Standing::Leaving);

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(&*site.lead().member, "b");
}

#[test]
fn a_primary_in_a_zone_out_of_service_hands_over() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.commit(Edit::Zone {
        zone: "zone-a".into(),
        in_service: false,
    });

    site.ticks(TICKS_PER_SECOND);
    site.release(true);
    site.ticks(TICKS_PER_SECOND);

    assert_ne!(&*site.lead().member, "a");
}

#[test]
#[should_panic(expected = "is promoted without")]
fn members_that_ignore_a_pause_are_detected() {
    let mut site = Site::new();
    site.ignores_pauses = true;
    site.write("a", &["b", "c"]);
    site.member("a").cut_from_leader = true;
    site.failing_ms = Some(500);

    for step in 0..4 * TICKS_PER_SECOND {
        site.tick(|_| false);
        let nominee = site.groups().nominee("ledger");
        let receiver = match nominee.map(|nominee| &*nominee.member) {
            Some("b") => "c",
            Some(_) => "b",
            None => ["b", "c"][step % 2],
        };
        site.write("a", &[receiver]);
    }
}

#[test]
fn a_busy_primary_is_not_replaced() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.failing_ms = Some(500);
    site.busy = true;

    site.ticks(TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
}

#[test]
fn a_change_of_an_older_term_is_stale() {
    let mut site = Site::new();

    site.commit(Edit::Begin {
        service: "ledger".into(),
        term: 0,
        planned: false,
    });

    assert_eq!(site.change(), None);
}

#[test]
fn positions_of_a_newer_term_are_above_all_positions_of_an_older_term() {
    assert!(Position::new(2, 1) > Position::new(1, 900));
}
