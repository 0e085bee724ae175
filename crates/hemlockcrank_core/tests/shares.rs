//! Shares of a member's connections follow the operations of the hosts, and change rarely.

use hemlockcrank_core::{Name, share::Shares};

fn uses(hosts: &[(&str, u64)]) -> Vec<(Name, u64)> {
    let to_name = |(name, uses): &(&str, u64)| ((*name).into(), *uses);
    hosts.iter().map(to_name).collect()
}

fn shares_of(accepted: u32, hosts: &[(&str, u64)]) -> Shares {
    let mut shares = Shares::default();
    shares.update(accepted, uses(hosts));
    shares
}

#[test]
fn the_only_host_of_a_zone_gets_more_than_each_of_several_hosts_of_another() {
    let shares = shares_of(34, &[("a1", 46), ("a2", 46), ("a3", 46), ("m1", 129)]);

    let alone = shares.of("m1").expect("m1 has a share");
    let shared = shares.of("a1").expect("a1 has a share");

    assert!(alone >= 2 * shared, "{alone} and {shared}");
}

#[test]
fn all_connections_but_the_reserved_ones_are_divided() {
    for accepted in 12..120 {
        let hosts = [("a", 3), ("b", 0), ("c", 44), ("d", 17)];

        let shares = shares_of(accepted, &hosts);

        let sum: u32 = hosts.iter().filter_map(|(host, _)| shares.of(host)).sum();
        assert_eq!(sum, accepted - 2);
    }
}

#[test]
fn every_host_gets_a_connection_if_there_are_enough() {
    let shares = shares_of(21, &[("idle", 0), ("busy", 1_000), ("other", 1_000)]);

    assert!(shares.of("idle") >= Some(1));
}

#[test]
fn shares_do_not_exceed_the_connections_if_there_are_fewer_than_hosts() {
    let hosts: Vec<(Name, u64)> = (0..87).map(|n| (format!("h{n}").into(), n)).collect();
    let mut shares = Shares::default();

    shares.update(79, hosts.clone());

    let sum: u32 = hosts.iter().filter_map(|(host, _)| shares.of(host)).sum();
    assert_eq!(sum, 77);
}

#[test]
fn small_changes_of_use_change_no_share() {
    let mut shares = shares_of(21, &[("a", 40), ("b", 40), ("c", 40)]);
    let before = shares.clone();

    shares.update(21, uses(&[("a", 44), ("b", 38), ("c", 41)]));

    assert_eq!(shares, before);
}

#[test]
fn the_share_of_a_host_that_left_goes_to_the_others() {
    let mut shares = shares_of(21, &[("a", 40), ("b", 40), ("c", 40)]);

    shares.update(21, uses(&[("a", 40), ("b", 40)]));

    assert_eq!(shares.of("c"), None);
    let sum = shares.of("a").unwrap_or(0) + shares.of("b").unwrap_or(0);
    assert_eq!(sum, 19);
}
