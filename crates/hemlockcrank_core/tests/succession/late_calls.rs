//! Promotion calls that reach the platform after their sender has lost its leadership: it is cut off,
//! and the link holds its bytes until the cut ends.

use hemlockcrank_core::{
    group::{Age, Edit, Standing},
    succession::Order,
};

use crate::{
    calls::begin_planned_change,
    model::{Platform, Site, TICK_MS},
};

/// Time for which the leader is cut off, in milliseconds.
const CUT_MS: u64 = 10_000;
/// The same for a long cut, in milliseconds.
const LONG_CUT_MS: u64 = 14_000;
/// Time before the call arrives from which its member receives nothing, in milliseconds.
const CUT_FROM_MEMBERS_MS: u64 = 2_000;

/// Begins a planned change of the primary `a`, and returns the member that the leader calls for.
fn begin_change_until_the_call(site: &mut Site) -> String {
    begin_planned_change(site);
    let mut asked = None;
    while asked.is_none() {
        site.tick(|order| {
            if let Order::Promote(member, _) = order {
                asked.get_or_insert(member.to_string());
            }
            false
        });
    }
    asked.expect("a call")
}

fn held_platform(held_ms: u64) -> Platform {
    Platform {
        held_ms,
        effect_ms: 600,
        answer_ms: None,
    }
}

/// As [`held_platform`], with the time from a call's arrival to the promotion.
fn slow_platform(held_ms: u64, effect_ms: u64) -> Platform {
    Platform {
        effect_ms,
        ..held_platform(held_ms)
    }
}

/// Runs for `duration_ms`, with a save at each tick if there is a primary.
fn run_saving(site: &mut Site, duration_ms: u64) {
    run_saving_without(site, duration_ms, "");
}

/// As [`run_saving`]; one member receives nothing.
fn run_saving_without(site: &mut Site, duration_ms: u64, without: &str) {
    for _ in 0..duration_ms / TICK_MS {
        site.tick(|_| false);
        if site.change().is_some() && !site.fencing.complete {
            site.release(true);
        }
        if site.change().is_none() {
            let primary = site.lead().member.clone();
            let others: Vec<&str> = ["a", "b", "c"]
                .into_iter()
                .filter(|name| **name != *primary && *name != without)
                .collect();
            site.write(&primary, &others);
        }
        if site.change().is_some() {
            site.release(true);
        }
    }
}

/// The primary leaves, and receives nothing for 4 s once another member leads; returns that member.
fn replace_and_cut_off(site: &mut Site, primary: &str) -> String {
    site.announce(primary, Standing::Leaving);
    run_saving(site, 2_000);
    let replaced = site.lead().member.to_string();
    site.member(primary).cut_from_members = true;
    run_saving(site, 4_000);
    site.member(primary).cut_from_members = false;
    run_saving(site, 4_000);
    replaced
}

/// Guards against a lower fencing token after a higher one: the call of a leader that was cut off
/// reached the platform after that of its successor.
#[test]
fn a_call_that_a_cut_link_holds_does_not_reach_the_platform_after_the_successors() {
    let mut site = Site::new();
    site.platform = Some(held_platform(CUT_MS));
    begin_change_until_the_call(&mut site);

    site.platform = Some(held_platform(0));
    site.cut_leader_off(CUT_MS);
    run_saving(&mut site, 3 * CUT_MS);

    assert_eq!(site.late_tokens, []);
    assert_eq!(site.change(), None);
}

/// Guards against lost commits: the call of a leader that was cut off for longer than a call was
/// waited for promoted a member that had been replaced meanwhile.
#[test]
fn a_call_that_a_cut_link_holds_promotes_no_member_that_lacks_a_commit() {
    let mut site = Site::new();
    site.platform = Some(held_platform(LONG_CUT_MS));
    let first = begin_change_until_the_call(&mut site);

    site.platform = None;
    site.cut_leader_off(LONG_CUT_MS);
    run_saving(&mut site, 1_000);
    site.commit(Edit::Zone {
        zone: "zone-a".into(),
        in_service: true,
    });
    site.commit(Edit::Zone {
        zone: format!("zone-{first}").into(),
        in_service: false,
    });
    run_saving(&mut site, LONG_CUT_MS - CUT_FROM_MEMBERS_MS);
    site.member(&first).cut_from_members = true;
    run_saving(&mut site, 2 * CUT_FROM_MEMBERS_MS);
    site.member(&first).cut_from_members = false;
    run_saving(&mut site, LONG_CUT_MS);

    assert_eq!(site.change(), None);
}

/// Guards against a service that waits for good for the call of a leader that never comes back.
#[test]
fn a_leader_that_is_gone_for_good_is_not_waited_for() {
    let mut site = Site::new();
    site.platform = Some(held_platform(u64::from(u32::MAX)));
    begin_change_until_the_call(&mut site);

    site.platform = None;
    site.cut_leader_off(u64::from(u32::MAX));
    run_saving(&mut site, 2 * CUT_MS);

    assert_eq!(site.change(), None);
    assert_eq!(site.late_tokens, []);
}

/// Guards against lost commits when the sender stays silent for longer than it is waited for, and
/// another member than the one that it called for is promoted: the latter may still be promoted, so
/// nothing is acknowledged that it has not received.
#[test]
fn a_call_of_a_leader_that_was_given_up_promotes_no_member_that_lacks_a_commit() {
    let mut site = Site::new();
    site.platform = Some(held_platform(2 * LONG_CUT_MS));
    let first = begin_change_until_the_call(&mut site);

    site.platform = None;
    site.cut_leader_off(2 * LONG_CUT_MS);
    site.member(&first).down = true;
    run_saving(&mut site, 2 * CUT_MS);
    let replaced = site.lead().member.to_string();
    site.member(&first).down = false;
    run_saving(&mut site, LONG_CUT_MS / 2 - CUT_FROM_MEMBERS_MS);
    let saved = site.acknowledged.len();
    site.member(&first).cut_from_members = true;
    run_saving(&mut site, 2 * CUT_FROM_MEMBERS_MS);
    site.member(&first).cut_from_members = false;
    run_saving(&mut site, 2 * CUT_MS);

    assert_ne!(replaced, first);
    assert!(site.acknowledged.len() > saved);
    assert_eq!(site.change(), None);
}

/// Guards against a call that counts as settled before the platform has had the time to carry it out: the
/// sender came back late, and the platform takes 6 s.
#[test]
fn a_call_that_lands_when_its_sender_returns_may_still_be_carried_out() {
    let mut site = Site::new();
    site.platform = Some(slow_platform(CUT_MS + 2_000, 6_000));
    let first = begin_change_until_the_call(&mut site);

    site.platform = None;
    site.cut_leader_off(CUT_MS + 2_000);
    site.member(&first).down = true;
    run_saving_without(&mut site, 14_000, &first);
    site.member(&first).down = false;
    run_saving_without(&mut site, 15_000, &first);
    run_saving(&mut site, CUT_MS);

    assert_eq!(site.change(), None);
}

/// Guards against the same for a witness: it stays one until the call that landed has been carried out.
#[test]
fn a_member_stays_a_witness_until_the_call_that_landed_is_carried_out() {
    let mut site = Site::new();
    site.platform = Some(slow_platform(2 * LONG_CUT_MS, 5_000));
    let first = begin_change_until_the_call(&mut site);

    site.platform = None;
    site.cut_leader_off(2 * LONG_CUT_MS);
    site.member(&first).down = true;
    run_saving(&mut site, 20_000);
    site.member(&first).down = false;
    run_saving(&mut site, 9_500);
    site.member(&first).cut_from_members = true;
    run_saving(&mut site, 10_000);
    site.member(&first).cut_from_members = false;
    run_saving(&mut site, 10_000);

    assert_eq!(site.change(), None);
}

/// Guards against the promotion of another member while a call is open whose member has left the group:
/// its process may run on.
#[test]
fn an_open_call_for_a_member_that_left_the_group_is_waited_out() {
    let mut site = Site::new();
    site.platform = Some(slow_platform(0, 4_000));
    let first = begin_change_until_the_call(&mut site);

    site.platform = None;
    let age = Age {
        born: 1,
        seq: u64::MAX,
    };
    let member = first.as_str().into();
    site.commit(Edit::Depart { member, age });
    run_saving_without(&mut site, 25_000, &first);

    assert_eq!(site.change(), None);
}

/// Guards against a primary that leaves without a successor: the call that made it the primary was an
/// earlier leader's, and no planned change began until it was settled.
#[test]
fn a_leaving_primary_is_replaced_although_the_call_that_named_it_is_open() {
    let mut site = Site::new();
    site.platform = Some(held_platform(0));
    let first = begin_change_until_the_call(&mut site);
    site.cut_leader_off(3_500);
    run_saving(&mut site, 4_000);
    assert_eq!(*site.lead().member, *first);

    site.platform = Some(Platform {
        answer_ms: Some(600),
        ..held_platform(0)
    });
    site.announce(&first, Standing::Leaving);
    run_saving(&mut site, 4_000);

    assert_eq!(site.change(), None);
    assert_ne!(*site.lead().member, *first);
    assert_eq!(site.late_tokens, []);
}

/// Guards against lost commits when such a call is carried out after the hand-over: the member that it
/// names receives nothing while saves go on.
#[test]
fn a_call_for_the_old_primary_of_a_planned_change_promotes_no_member_that_lacks_a_commit() {
    let mut site = Site::new();
    site.platform = Some(slow_platform(0, 8_000));
    let first = begin_change_until_the_call(&mut site);
    site.cut_leader_off(1_000);
    site.platform = None;
    run_saving(&mut site, 2_500);
    assert_eq!(*site.lead().member, *first);

    let replaced = replace_and_cut_off(&mut site, &first);

    assert_ne!(replaced, first);
    assert_eq!(site.change(), None);
}

/// Guards against lost commits when two calls name one member: the first made it the primary, and the
/// second, which had been accepted, was carried out after a planned change.
#[test]
fn a_call_that_was_accepted_is_not_settled_by_what_another_one_did() {
    let mut site = Site::new();
    let answered = |effect_ms, answer_ms| Platform {
        answer_ms: Some(answer_ms),
        ..slow_platform(0, effect_ms)
    };
    site.platform = Some(answered(1_600, 1_700));
    let first = begin_change_until_the_call(&mut site);
    site.platform = Some(answered(6_000, 25));
    run_saving(&mut site, 1_800);
    assert_eq!(*site.lead().member, *first);

    site.platform = Some(answered(25, 25));
    let replaced = replace_and_cut_off(&mut site, &first);

    assert_ne!(replaced, first);
}

/// Guards against a wait for a call that was never made: its leader failed right after the nomination.
#[test]
fn a_nomination_and_the_intent_to_call_are_one_step() {
    let mut site = Site::new();
    site.write("a", &["b", "c"]);
    site.member("a").down = true;
    site.failing_ms = Some(500);
    while site.nominee().is_none() {
        site.ticks(1);
    }

    assert_eq!(site.groups().intents("ledger").len(), 1);
}
