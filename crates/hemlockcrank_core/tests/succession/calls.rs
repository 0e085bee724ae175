//! Promotion calls that the platform answers or carries out late or never, and members that change
//! meanwhile.

use hemlockcrank_core::{Name, group::Edit, succession::Order};

use crate::{
    model::{Platform, Site},
    steps::TICKS_PER_SECOND,
};

/// A planned change in which `c` answers its first order too late, so that `b` is the first member
/// with a proof, and `c` would be chosen with the rows of both.
pub(crate) fn begin_planned_change(site: &mut Site) {
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

/// Writes at the primary once its term is granted; the commit reaches one other member alone.
fn write_to_new_primary(site: &mut Site) {
    if site.change().is_none() {
        let primary = site.lead().member.clone();
        let other = if *primary == *"b" { "c" } else { "b" };
        site.write(&primary, &[other]);
    }
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
        ..Platform::default()
    });
    begin_planned_change(&mut site);

    let mut is_lost = loses_orders_to_c(1);
    for _ in 0..4 * TICKS_PER_SECOND {
        site.tick(&mut is_lost);
        write_to_new_primary(&mut site);
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
        ..Platform::default()
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
        write_to_new_primary(&mut site);
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
        ..Platform::default()
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
        ..Platform::default()
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
        ..Platform::default()
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
        write_to_new_primary(&mut site);
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

/// Guards against a service that waits with its next change because an answer came after the end of
/// the last one.
#[test]
fn an_answer_after_the_end_of_its_change_settles_the_call() {
    let mut site = Site::new();
    site.platform = Some(Platform {
        effect_ms: 300,
        answer_ms: Some(1_200),
        ..Platform::default()
    });
    begin_planned_change(&mut site);
    while site.change().is_some() {
        site.ticks(1);
    }
    assert!(site.groups().unsettled("ledger").is_some());

    site.ticks(2 * TICKS_PER_SECOND);

    assert_eq!(site.groups().unsettled("ledger"), None);
}
