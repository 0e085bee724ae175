//! Orders to members that are carried out after newer ones, which went on other connections.

use hemlockcrank_core::succession::Order;

use rstest::rstest;

use crate::model::{Platform, Site};

/// Guards against a lost commit: a `RESUME` of an earlier change, sent again meanwhile, ends the pause
/// that proves the promotion of another member.
#[rstest]
fn a_late_resume_does_not_end_the_pause_of_a_later_change(
    #[values(
        600, 700, 800, 900, 1_000, 1_100, 1_200, 1_300, 1_400, 1_500, 1_600, 1_800, 2_000
    )]
    late_ms: u64,
) {
    let mut site = Site::new();
    site.member("a").down = true;
    site.failing_ms = Some(2_000);
    site.ticks(8);
    site.release(true);
    site.platform = Some(Platform {
        effect_ms: 600,
        answer_ms: Some(600),
        ..Platform::default()
    });
    site.late_order_ms = Some(late_ms);
    let mut resumes = 0;
    for _ in 0..30 {
        site.tick(|order| {
            let is_resume = matches!(order, Order::Resume(member) if **member == *"b");
            resumes += u32::from(is_resume);
            is_resume && resumes == 1
        });
    }
    let primary = site.lead().member.clone();
    assert_eq!((&*primary, site.change()), ("c", None));
    site.member("a").down = false;
    site.member("a").primary = false;
    site.write("c", &["a"]);
    site.member("c").cut_from_leader = true;
    site.failing_ms = Some(2_000);

    for _ in 0..80 {
        let receiver = if site.nominee().is_none() { "a" } else { "b" };
        site.write("c", &[receiver]);
        site.tick(|_| false);
    }

    site.release(true);
    site.ticks(80);
    assert_ne!(site.lead().member, primary, "{site:#?}");
}
