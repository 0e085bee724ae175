//! Single changes of primary, each with one cause.

use hemlockcrank_core::{
    Name,
    group::{Age, Edit, Standing},
    session::Position,
    succession::Order,
};

use crate::model::{Platform, Site};

/// Ticks of [`TICK_MS`](crate::model::TICK_MS) in one second.
const TICKS_PER_SECOND: usize = 40;

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

#[test]
fn a_commit_whose_only_second_copy_departed_is_not_lost() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.member("a").down = true;
    site.member("b").down = true;
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };
    site.commit(Edit::Depart {
        member: "b".into(),
        age,
    });
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
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };

    site.commit(Edit::Depart {
        member: "b".into(),
        age,
    });
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

/// A planned change in which `c` answers its first order too late, so that `b` is the first member
/// with a proof, and `c` would be chosen with the rows of both.
fn begin_planned_change(site: &mut Site) {
    site.write("a", &["b", "c"]);
    site.commit(Edit::Zone {
        zone: "zone-a".into(),
        in_service: false,
    });
    while site.change().is_none() {
        site.ticks(1);
    }
    site.release(true);
}

/// Loses the first `count` orders to `c`.
fn loses_orders_to_c(mut count: usize) -> impl FnMut(&Order) -> bool {
    move |order| {
        let lost = count > 0 && order.member().is_some_and(|name| **name == *"c");
        count -= usize::from(lost);
        lost
    }
}

/// Guards against two promotions in one change: the second member lacked what the first one had
/// acknowledged.
#[test]
fn a_platform_that_answers_slowly_is_asked_for_one_member_alone() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 600,
        answer_ms: Some(600),
    });
    begin_planned_change(&mut site);

    let mut is_lost = loses_orders_to_c(1);
    for _ in 0..4 * TICKS_PER_SECOND {
        site.tick(&mut is_lost);
        if site.change().is_none() {
            let primary = site.lead().member.clone();
            let other = if *primary == *"b" { "c" } else { "b" };
            site.write(&primary, &[other]);
        }
    }

    assert_eq!(site.change(), None);
    assert_eq!(site.promoted, ["b".into()]);
}

/// Guards against a second promotion by a new control leader while the call of the old one is still
/// carried out.
#[test]
fn a_new_leader_promotes_no_other_member_than_its_predecessor_asked_for() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 2_000,
        answer_ms: None,
    });
    begin_planned_change(&mut site);
    let mut asked = None;
    let mut is_lost = loses_orders_to_c(1);
    while asked.is_none() {
        site.tick(|order| {
            if let Order::Promote(member, _) = order {
                asked = Some(member.clone());
            }
            is_lost(order)
        });
    }

    site.change_leader();
    site.release(true);
    for _ in 0..8 * TICKS_PER_SECOND {
        site.tick(|_| false);
        if site.change().is_none() {
            let primary = site.lead().member.clone();
            let other = if *primary == *"b" { "c" } else { "b" };
            site.write(&primary, &[other]);
        }
    }

    assert_eq!(site.change(), None);
    assert_eq!(site.promoted, [asked.expect("a call")]);
}

/// Guards against waiting for good for a nominated member that does not run any more.
#[test]
fn a_nominated_member_that_stops_is_replaced_once_its_call_is_answered() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 300,
        answer_ms: Some(100),
    });
    begin_planned_change(&mut site);
    let mut asked = false;
    while !asked {
        site.tick(|order| {
            asked |= matches!(order, Order::Promote(..));
            false
        });
    }
    let nominee = site.nominee().expect("nominee");

    site.member(&nominee).down = true;
    site.ticks(20 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_ne!(site.lead().member, nominee);
}

/// Guards against a second promotion when the answer to the first call never comes and its member
/// does not run for a while.
#[test]
fn an_unanswered_call_is_waited_out_before_another_member_is_promoted() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 4_000,
        answer_ms: None,
    });
    begin_planned_change(&mut site);
    let mut asked = None;
    while asked.is_none() {
        site.tick(|order| {
            if let Order::Promote(member, _) = order {
                asked = Some(member.clone());
            }
            false
        });
    }
    let first = asked.expect("a call");

    site.platform = None;
    site.member(&first).down = true;
    site.ticks(3 * TICKS_PER_SECOND);
    site.member(&first).down = false;
    site.ticks(5 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_eq!(site.promoted, [first]);
}

/// Guards against a member that stays paused for good because its answer to the order was lost.
#[test]
fn a_member_that_was_paused_without_an_answer_is_resumed() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;
    site.member("c").loses_answers = true;
    site.failing_ms = Some(500);
    site.ticks(TICKS_PER_SECOND);
    assert!(site.members["c"].paused_for > 0);

    site.release(true);
    site.ticks(TICKS_PER_SECOND);
    assert_eq!(&*site.lead().member, "b");
    site.member("c").loses_answers = false;
    site.ticks(TICKS_PER_SECOND);

    assert_eq!(site.members["c"].paused_for, 0);
}

#[test]
fn a_nomination_in_place_of_another_member_is_stale() {
    let mut site = Site::new();
    begin_planned_change(&mut site);
    let change = site.change().expect("a change").index;
    let nominate = |member: &str, previous: Option<&str>| Edit::Nominate {
        service: "ledger".into(),
        change,
        member: member.into(),
        born: 1,
        previous: previous.map(Name::from),
    };

    site.commit(nominate("b", None));
    site.commit(nominate("c", None));
    site.commit(nominate("unknown", Some("b")));

    assert_eq!(site.nominee(), Some("b".into()));
}

/// Guards against a second promotion when the promoted member can't be observed for a while, on a
/// platform that answers at once.
#[test]
fn a_promoted_member_that_cannot_be_observed_is_followed_by_no_other() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 600,
        answer_ms: Some(25),
    });
    begin_planned_change(&mut site);
    site.member("c").answer_ms = 200;
    let mut silent_until = u64::MAX;
    let mut first = None;
    for _ in 0..6 * TICKS_PER_SECOND {
        let now = site.now;
        site.tick(|order| {
            if let Order::Promote(member, _) = order {
                first.get_or_insert(member.clone());
                silent_until = silent_until.min(now + 1_700);
            }
            let is_asked = matches!(order, Order::Promote(..));
            let is_silent = now < silent_until && order.member() == first.as_ref();
            is_silent && !is_asked && first.is_some()
        });
        if site.change().is_none() {
            let primary = site.lead().member.clone();
            let other = if *primary == *"b" { "c" } else { "b" };
            site.write(&primary, &[other]);
        }
    }

    assert_eq!(site.change(), None);
    assert_eq!(site.promoted, [first.expect("a call")]);
}

/// Guards against the promotion of a member that has started again under its name: it holds nothing
/// of what it reported before.
#[test]
fn a_member_that_starts_again_under_its_name_is_not_promoted_for_what_it_held_before() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;
    site.failing_ms = Some(500);
    site.ticks(TICKS_PER_SECOND / 4);
    site.release(true);
    for _ in 0..2 * TICKS_PER_SECOND {
        // All members have been seen, and no call has been made yet.
        site.tick(|order| matches!(order, Order::Promote(..)));
    }
    let nominee = site.nominee().expect("nominee");

    site.restart_empty(&nominee);
    site.ticks(20 * TICKS_PER_SECOND);

    assert_eq!(site.change(), None);
    assert_ne!(site.lead().member, nominee);
}
