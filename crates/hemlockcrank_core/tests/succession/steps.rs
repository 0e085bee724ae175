//! Single changes of primary, one cause each.

use hemlockcrank_core::{
    Name,
    group::{Age, Edit, Standing},
    session::Position,
    succession::{Order, Succession},
};

use crate::model::Site;

const SECOND: usize = 40;

#[test]
fn a_crashed_primary_is_replaced_by_the_most_advanced_replica() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.write("a", &["c"]);
    site.real("a").down = true;
    site.failing_ms = Some(500);

    site.ticks(SECOND);
    site.release(true);
    site.ticks(SECOND);

    assert_eq!(&*site.lead().member, "c");
    assert_eq!(site.lead().term, 2);
}

#[test]
fn a_primary_that_serves_is_left_alone() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);

    site.ticks(4 * SECOND);

    assert_eq!(&*site.lead().member, "a");
    assert_eq!(site.change(), None);
}

#[test]
fn the_new_term_is_granted_only_after_all_hosts_have_let_go() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.real("a").down = true;
    site.failing_ms = Some(500);

    site.ticks(4 * SECOND);

    assert!(
        site.change().is_some(),
        "a host may still use the old primary"
    );
    site.release(true);
    site.ticks(SECOND);
    assert_eq!(site.change(), None);
}

#[test]
fn the_only_replica_that_answers_is_promoted_on_the_hosts_word_alone() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.real("a").down = true;
    site.real("c").down = true;
    site.failing_ms = Some(500);

    site.ticks(SECOND);
    assert!(
        site.change().is_some(),
        "nobody has said what was acknowledged"
    );
    site.release(true);
    site.ticks(SECOND);

    assert_eq!(&*site.lead().member, "b");
}

#[test]
fn a_replica_that_lacks_what_was_acknowledged_waits_for_one_that_has_it() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.real("a").down = true;
    site.real("b").down = true;
    site.failing_ms = Some(500);

    site.ticks(SECOND);
    site.release(true);
    site.ticks(4 * SECOND);
    assert!(site.change().is_some(), "`c` lacks the commit");
    site.real("b").down = false;
    site.ticks(2 * SECOND);

    assert_eq!(&*site.lead().member, "b");
}

#[test]
fn a_replica_that_left_with_the_only_second_copy_does_not_hide_it() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.real("a").down = true;
    site.real("b").down = true;
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };
    site.commit(Edit::Depart {
        member: "b".into(),
        age,
    });
    site.failing_ms = Some(500);

    site.ticks(SECOND);
    site.release(true);
    site.ticks(4 * SECOND);
    assert!(site.change().is_some(), "`c` lacks the commit");
    site.real("a").down = false;
    site.ticks(4 * SECOND);

    assert_eq!(&*site.lead().member, "a", "it has come back with its log");
}

/// The host is cut off together with the primary and the leaving replica, so nobody else knows what it
/// has acknowledged on these two.
#[test]
fn a_replica_that_leaves_during_a_change_takes_the_proof_of_all_others_along() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.write("a", &["b"]);
    site.real("a").far = true;
    site.real("b").far = true;
    site.failing_ms = Some(500);
    site.ticks(SECOND);
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
    site.ticks(4 * SECOND);
    assert!(site.change().is_some(), "`c` and `d` lack the commit");
    site.real("a").far = false;
    site.ticks(4 * SECOND);

    assert_eq!(&*site.lead().member, "a");
}

#[test]
fn a_new_leader_takes_up_what_the_old_one_has_promoted() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.real("a").down = true;
    site.failing_ms = Some(500);
    for _ in 0..SECOND {
        site.tick(|order| matches!(order, Order::Commit(Edit::Finish { .. })));
    }
    let promoted: Vec<Name> = site
        .real
        .iter()
        .filter(|(_, real)| real.primary && !real.down)
        .map(|(name, _)| name.clone())
        .collect();
    assert_eq!(promoted.len(), 1, "one is promoted, and not yet granted");

    site.succession = Succession::new(site.group());
    site.release(false);
    site.ticks(SECOND);

    assert_eq!(site.change(), None);
    assert_eq!(site.lead().member, promoted[0]);
}

#[test]
fn a_primary_that_came_back_under_another_name_is_asked_to_step_down() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    let again = site.real["a"].clone();
    site.real.insert("z".into(), again);
    site.real.remove("a");
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };
    site.announce("z", Standing::Ready);
    site.commit(Edit::Depart {
        member: "a".into(),
        age,
    });

    site.ticks(SECOND);
    site.release(false);
    site.ticks(SECOND);

    assert_eq!(site.change(), None);
}

#[test]
fn a_primary_cut_from_its_replicas_steps_down_and_paused_replicas_go_on() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.real("a").alone = true;
    site.write("a", &["b", "c"]);
    site.write("a", &["b", "c"]);
    site.failing_ms = Some(2_000);

    site.ticks(SECOND);
    site.release(true);
    site.ticks(2 * SECOND);

    assert_eq!(site.change(), None);
    assert_ne!(&*site.lead().member, "a");
}

#[test]
fn a_primary_that_leaves_hands_over_once_a_replica_has_reached_it() {
    let mut site = Site::new();
    site.write("a", &["b"]);
    site.announce("a", Standing::Leaving);

    site.ticks(SECOND);
    site.release(true);
    site.ticks(SECOND);

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

    site.ticks(SECOND);
    site.release(true);
    site.ticks(SECOND);

    assert_ne!(&*site.lead().member, "a");
}

#[test]
#[should_panic(expected = "is promoted without")]
fn a_pause_that_does_not_hold_is_caught() {
    let mut site = Site::new();
    site.lies = true;
    site.write("a", &["b", "c"]);
    site.real("a").far = true;
    site.failing_ms = Some(500);

    for turn in 0..4 * SECOND {
        site.tick(|_| false);
        site.write("a", &[["b", "c"][turn % 2]]);
    }
}

#[test]
fn a_busy_primary_is_not_taken_for_dead() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.failing_ms = Some(500);
    site.busy = true;

    site.ticks(SECOND);

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
fn positions_of_a_newer_term_are_past_all_of_an_older_one() {
    assert!(Position::new(2, 1) > Position::new(1, 900));
}
