//! Single decisions of the protocol.

use hemlockcrank_core::consensus::{Config, Id, Input, Message, Node, Output, Role, Timing};

use crate::cluster::{Cluster, Plant};

fn elected() -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], Timing::default(), Plant::Nothing);
    cluster.now = 10_000;
    cluster.input(0, Input::Campaign).expect("campaign");
    drain(&mut cluster, &[]);
    cluster
}

/// Delivers everything, but nothing to or from the hosts that are cut off.
fn drain(cluster: &mut Cluster, cut: &[&str]) {
    while let Some(envelope) = cluster.network.iter().next().cloned() {
        let is_cut = |id: &Id| cut.contains(&&*id.host);
        if is_cut(&envelope.from) || is_cut(&envelope.to) {
            cluster.network.remove(&envelope);
        } else {
            cluster.deliver(&envelope).expect("invariant");
        }
    }
}

fn pass(cluster: &mut Cluster, ms: u64, cut: &[&str]) {
    for _ in 0..ms / 50 {
        cluster.now += 50;
        for index in 0..cluster.hosts.len() {
            let random = cluster.now * 13 + index as u64 * 211;
            cluster.input(index, Input::Tick { random }).expect("tick");
            drain(cluster, cut);
        }
    }
}

#[test]
fn a_leader_cut_off_steps_down_and_does_not_raise_the_term_when_it_returns() {
    let mut cluster = elected();
    let term = cluster.hosts[0].node.as_ref().expect("node").term();

    pass(&mut cluster, 3_000, &["a"]);
    assert_eq!(
        cluster.hosts[0].node.as_ref().expect("node").lease_until(),
        None
    );
    let leader = cluster.leader().expect("another leader");
    assert_ne!(leader, 0);
    let new_term = cluster.hosts[leader].node.as_ref().expect("node").term();
    assert!(new_term > term);

    pass(&mut cluster, 2_000, &[]);
    assert_eq!(cluster.leader(), Some(leader));
    let after = cluster.hosts[leader].node.as_ref().expect("node").term();
    assert_eq!(after, new_term);
}

#[test]
fn a_lost_disk_returns_as_a_learner_and_then_votes_in_place_of_its_old_incarnation() {
    let mut cluster = elected();
    let old = cluster.hosts[2].id.clone();
    let config = cluster.hosts[0].disk.snapshot.config.clone();

    cluster.lose_disk(2, config);
    let fresh = cluster.hosts[2].id.clone();
    cluster.input(0, Input::Join(fresh.clone())).expect("join");
    drain(&mut cluster, &[]);
    let learning = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(learning.learners.contains(&fresh) && learning.voters.contains(&old));

    pass(&mut cluster, 1_000, &[]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(config.voters.contains(&fresh) && !config.voters.contains(&old));
    assert_eq!(config.voters.len(), 3);
}

#[test]
fn a_second_host_lost_right_after_the_repair_costs_nothing() {
    let mut cluster = elected();
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    cluster.propose(0, b"kept").expect("propose");
    drain(&mut cluster, &["c"]);

    cluster.lose_disk(2, config);
    let fresh = cluster.hosts[2].id.clone();
    cluster.input(0, Input::Join(fresh)).expect("join");
    pass(&mut cluster, 1_000, &[]);
    cluster.crash(0);
    pass(&mut cluster, 4_000, &["a"]);

    let leader = cluster.leader().expect("a leader of the two that remain");
    let before = cluster.applied.len();
    cluster.propose(leader, b"more").expect("propose");
    drain(&mut cluster, &["a"]);
    assert!(cluster.applied.len() > before);
}

#[test]
fn a_silent_voter_is_replaced_by_a_spare_that_caught_up() {
    let mut cluster = elected();
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    let mut spare = Cluster::new(&["d"], Timing::default(), Plant::Nothing)
        .hosts
        .remove(0);
    spare.disk.snapshot.config = config;
    let (id, disk) = (spare.id.clone(), spare.disk.clone());
    spare.node = Some(Node::restore(
        id.clone(),
        disk,
        Timing::default(),
        cluster.now,
    ));
    cluster.hosts.push(spare);
    cluster.input(0, Input::Join(id.clone())).expect("join");

    pass(&mut cluster, 20_000, &["c"]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(config.learners.contains(&id), "silence is still short");

    pass(&mut cluster, 15_000, &["c"]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    let voters: Vec<&str> = config.voters.iter().map(|id| &*id.host).collect();
    assert_eq!(voters, ["a", "b", "d"]);
}

#[test]
fn a_follower_that_hears_its_leader_gives_no_vote() {
    let id = |name: &str| Id::new(name, 1);
    let config = Config::with_voters(["a", "b", "c"].map(id));
    let mut node = Node::new(id("b"), config, Timing::default(), 10_000);
    let vote = Message::Vote {
        term: 9,
        pre: false,
        last_index: 99,
        last_term: 8,
    };
    let envelope = hemlockcrank_core::consensus::Envelope {
        from: id("c"),
        to: id("b"),
        message: vote,
    };

    let early = node.step(10_100, Input::Receive(envelope.clone()));
    let late = node.step(10_700, Input::Receive(envelope));

    let granted = |outputs: &[Output]| {
        outputs.iter().any(|output| {
            matches!(output, Output::Send(e) if matches!(e.message, Message::VoteReply { granted: true, .. }))
        })
    };
    assert!(!granted(&early) && granted(&late));
    assert_eq!(node.role(), Role::Follower);
}
