//! A member's connections go where operations come in, and stay there.

use hemlockcrank_core::{Name, share::Shares};

fn uses(of: &[(&str, u64)]) -> Vec<(Name, u64)> {
    let named = |(name, uses): &(&str, u64)| ((*name).into(), *uses);
    of.iter().map(named).collect()
}

fn divided(accepted: u32, of: &[(&str, u64)]) -> Shares {
    let mut shares = Shares::default();
    shares.update(accepted, uses(of));
    shares
}

#[test]
fn the_only_host_of_a_zone_gets_what_several_hosts_of_another_share() {
    let shares = divided(34, &[("a1", 46), ("a2", 46), ("a3", 46), ("m1", 129)]);

    let many = shares.of("m1").expect("named");
    let few = shares.of("a1").expect("named");

    assert!(many >= 2 * few, "{many} and {few}");
}

#[test]
fn all_is_divided_but_the_reserve() {
    for accepted in 12..120 {
        let hosts = [("a", 3), ("b", 0), ("c", 44), ("d", 17)];

        let shares = divided(accepted, &hosts);

        let sum: u32 = hosts.iter().filter_map(|(host, _)| shares.of(host)).sum();
        assert_eq!(sum, accepted - 2);
    }
}

#[test]
fn every_host_has_one_where_there_are_enough() {
    let shares = divided(21, &[("idle", 0), ("busy", 1_000), ("other", 1_000)]);

    assert!(shares.of("idle") >= Some(1));
}

#[test]
fn fewer_connections_than_hosts_are_not_exceeded() {
    let hosts: Vec<(Name, u64)> = (0..87).map(|n| (format!("h{n}").into(), n)).collect();
    let mut shares = Shares::default();

    shares.update(79, hosts.clone());

    let sum: u32 = hosts.iter().filter_map(|(host, _)| shares.of(host)).sum();
    assert_eq!(sum, 77);
}

#[test]
fn small_changes_of_use_move_nothing() {
    let mut shares = divided(21, &[("a", 40), ("b", 40), ("c", 40)]);
    let before = shares.clone();

    shares.update(21, uses(&[("a", 44), ("b", 38), ("c", 41)]));

    assert_eq!(shares, before);
}

#[test]
fn a_host_that_left_gives_its_part_to_the_others() {
    let mut shares = divided(21, &[("a", 40), ("b", 40), ("c", 40)]);

    shares.update(21, uses(&[("a", 40), ("b", 40)]));

    assert_eq!(shares.of("c"), None);
    let sum = shares.of("a").unwrap_or(0) + shares.of("b").unwrap_or(0);
    assert_eq!(sum, 19);
}
