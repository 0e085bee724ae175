//! Promotion calls of a control leader that a cut link holds and passes on after its successor's.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    fault::Sender,
    history::History,
    site::{MEMBER_NAMES, Site},
    start_callers, wait_until,
};

/// Longest wait for a call of the leader after the primary has crashed.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the leader is cut off from the other hosts, or stands still.
const CUT_DURATION: Duration = Duration::from_secs(10);
/// Longest time for which its call is held. A successor that waits for it may take as long.
const MAX_HOLD: Duration = Duration::from_secs(25);
/// Time for which the callers save while the member that the held call names receives nothing.
const SAVE_DURATION: Duration = Duration::from_secs(1);
/// Time after the release in which a call that is not lost has been carried out.
const WATCH: Duration = Duration::from_secs(3);
/// Number of the fixture's first addresses; no seed of the soak is as high.
const SITE_NUMBER: u64 = 211;

/// Holds a call of the leader, which is cut off, until its successor has changed the primary twice or
/// [`MAX_HOLD`] has passed, and returns the violated guarantees.
async fn hold_call(sender: Sender) -> Vec<String> {
    let mut site = Site::start(SITE_NUMBER + sender as u64).await;
    let history = Arc::new(History::new(SITE_NUMBER));
    let callers = start_callers(&site, &history);
    let leader = site.leader(None).await;
    let ip = site.controls[leader].ip.clone();
    let crashed = site.group.primary().expect("a primary");

    // The call is on its way, then its sender is cut off.
    site.links.promotions_of(&ip).hold();
    site.group
        .with_member(&crashed, |member| member.down = true);
    let deadline = Instant::now() + CALL_TIMEOUT;
    let link = site.links.promotions_of(&ip);
    assert!(
        wait_until(deadline, || link.held_bytes() > 0).await,
        "{sender:?}: the leader makes a call"
    );
    site.cut(leader, false).await;
    let cut_at = Instant::now();
    site.strike(leader, sender);

    // Its successor replaces the primary, and then the new one, which is the one that the call names.
    let released_by = cut_at + MAX_HOLD;
    let group = &site.group;
    let changed = wait_until(released_by, || group.primary().is_some()).await;
    site.group.recover(&crashed);
    let named = site.group.primary().unwrap_or_default();
    if changed {
        site.wait_ready().await;
        site.group.with_member(&named, |member| member.down = true);
    }
    println!(
        "{sender:?}: {named} is primary {:?} after the cut",
        cut_at.elapsed()
    );
    sleep(CUT_DURATION.saturating_sub(cut_at.elapsed())).await;
    if sender == Sender::Frozen {
        site.signal_control(leader, "-CONT");
    }
    if changed {
        let group = &site.group;
        wait_until(released_by, || group.primary().is_some()).await;
        site.group.recover(&named);
        site.group
            .with_member(&named, |member| member.is_cut_off = !member.primary);
        sleep(SAVE_DURATION).await;
    }
    println!(
        "{sender:?}: {:?} is primary {:?} after the cut",
        site.group.primary(),
        cut_at.elapsed()
    );

    let resets = site.links.promotions_of(&ip).resets();
    println!("{sender:?}: {resets} connections to the platform were reset");

    site.restore(leader);

    sleep(WATCH).await;
    for name in MEMBER_NAMES {
        site.group
            .with_member(name, |member| member.is_cut_off = false);
    }
    if sender == Sender::Killed {
        site.start_control(leader);
    }
    site.wait_ready().await;
    history.stop();
    for caller in callers {
        caller.await.expect("caller task");
    }
    site.wait_ready().await;
    println!("{sender:?}: {:#?}", site.promotions.summary());
    println!("{sender:?}: {}", history.summary());
    site.check(&history).await
}

/// Guards against issue 30: the call of a leader that was cut off arrived after its successor's.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_leader_that_was_cut_off_arrives_after_no_newer_one() {
    let violations = hold_call(Sender::CutOff).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against issue 30, with a leader that stands still while its call is held.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_leader_that_stood_still_arrives_after_no_newer_one() {
    let violations = hold_call(Sender::Frozen).await;

    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against issue 30, with a leader that is killed while its call is held.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_leader_that_was_killed_arrives_after_no_newer_one() {
    let violations = hold_call(Sender::Killed).await;

    assert!(violations.is_empty(), "{violations:#?}");
}
