//! Single scenarios of the protocol: elections, partitions and membership changes.

use hemlockcrank_core::consensus::{
    Config, Id, Input, Message, Node, Output, Payload, Role, Timing,
};

use crate::cluster::{Cluster, InjectedBug};

/// A cluster of three with the elected leader `a`.
fn cluster_with_leader() -> Cluster {
    cluster_with_timing(Timing::default())
}

fn cluster_with_timing(timing: Timing) -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], timing, InjectedBug::None);
    cluster.now = 10_000;
    cluster.input(0, Input::Campaign).expect("campaign");
    deliver_all(&mut cluster, &[]);
    cluster
}

/// Delivers all messages, but loses those to or from the partitioned hosts.
fn deliver_all(cluster: &mut Cluster, partitioned: &[&str]) {
    while let Some(envelope) = cluster.network.iter().next().cloned() {
        let is_partitioned = |id: &Id| partitioned.contains(&&*id.host);
        if is_partitioned(&envelope.from) || is_partitioned(&envelope.to) {
            cluster.network.remove(&envelope);
        } else {
            cluster.deliver(&envelope).expect("invariant");
        }
    }
}

/// Advances time by `ms` with the given hosts partitioned.
fn advance(cluster: &mut Cluster, ms: u64, partitioned: &[&str]) {
    for _ in 0..ms / 50 {
        cluster.now += 50;
        for index in 0..cluster.hosts.len() {
            let random = cluster.now * 13 + index as u64 * 211;
            cluster.input(index, Input::Tick { random }).expect("tick");
            deliver_all(cluster, partitioned);
        }
    }
}

#[test]
fn a_partitioned_leader_steps_down_and_does_not_raise_the_term_when_it_reconnects() {
    let mut cluster = cluster_with_leader();
    let term = cluster.hosts[0].node.as_ref().expect("node").term();

    advance(&mut cluster, 3_000, &["a"]);
    assert_eq!(
        cluster.hosts[0].node.as_ref().expect("node").lease_until(),
        None
    );
    let leader = cluster.leader().expect("another leader");
    assert_ne!(leader, 0);
    let new_term = cluster.hosts[leader].node.as_ref().expect("node").term();
    assert!(new_term > term);

    advance(&mut cluster, 2_000, &[]);
    assert_eq!(cluster.leader(), Some(leader));
    let term_after_reconnect = cluster.hosts[leader].node.as_ref().expect("node").term();
    assert_eq!(term_after_reconnect, new_term);
}

#[test]
fn a_host_that_lost_its_disk_rejoins_as_a_learner_and_then_replaces_its_old_incarnation() {
    let mut cluster = cluster_with_leader();
    let old = cluster.hosts[2].id.clone();
    let config = cluster.hosts[0].disk.snapshot.config.clone();

    cluster.lose_disk(2, config);
    let new = cluster.hosts[2].id.clone();
    cluster.input(0, Input::Join(new.clone())).expect("join");
    deliver_all(&mut cluster, &[]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(config.learners.contains(&new) && config.voters.contains(&old));

    advance(&mut cluster, 1_000, &[]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(config.voters.contains(&new) && !config.voters.contains(&old));
    assert_eq!(config.voters.len(), 3);
}

#[test]
fn the_group_survives_the_loss_of_a_second_host_after_a_lost_disk_is_replaced() {
    let mut cluster = cluster_with_leader();
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    cluster.propose(0, b"first").expect("propose");
    deliver_all(&mut cluster, &["c"]);

    cluster.lose_disk(2, config);
    let new = cluster.hosts[2].id.clone();
    cluster.input(0, Input::Join(new)).expect("join");
    advance(&mut cluster, 1_000, &[]);
    cluster.crash(0);
    advance(&mut cluster, 4_000, &["a"]);

    let leader = cluster
        .leader()
        .expect("a leader among the two remaining hosts");
    let applied_before = cluster.applied.len();
    cluster.propose(leader, b"second").expect("propose");
    deliver_all(&mut cluster, &["a"]);
    assert!(cluster.applied.len() > applied_before);
}

#[test]
fn an_unresponsive_voter_is_replaced_by_a_learner_that_caught_up() {
    let mut cluster = cluster_with_leader();
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    let mut spare = Cluster::new(&["d"], Timing::default(), InjectedBug::None)
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

    advance(&mut cluster, 20_000, &["c"]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    assert!(
        config.learners.contains(&id),
        "`c` must not be replaced before the voter timeout"
    );

    advance(&mut cluster, 15_000, &["c"]);
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    let voters: Vec<&str> = config.voters.iter().map(|id| &*id.host).collect();
    assert_eq!(voters, ["a", "b", "d"]);
}

/// Adds hosts that know the group's configuration and ask to join.
fn join_spares(cluster: &mut Cluster, names: &[&str], timing: &Timing) {
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    for spare in Cluster::new(names, timing.clone(), InjectedBug::None).hosts {
        let (id, mut disk) = (spare.id.clone(), spare.disk.clone());
        disk.snapshot.config = config.clone();
        let node = Node::restore(id.clone(), disk.clone(), timing.clone(), cluster.now);
        cluster.hosts.push(crate::cluster::Host {
            id: id.clone(),
            disk,
            node: Some(node),
        });
        cluster.input(0, Input::Join(id)).expect("join");
        deliver_all(cluster, &[]);
    }
}

fn voters_of_leader(cluster: &Cluster) -> Vec<String> {
    let config = cluster.hosts[0].node.as_ref().expect("node").log().config();
    config.voters.iter().map(|id| id.host.to_string()).collect()
}

#[test]
fn one_silent_voter_is_replaced_by_one_learner_not_by_all_of_them() {
    let mut cluster = cluster_with_leader();
    join_spares(&mut cluster, &["d", "e", "f"], &Timing::default());

    advance(&mut cluster, 35_000, &["c"]);

    assert_eq!(voters_of_leader(&cluster), ["a", "b", "d"]);
}

/// Where two disks may be lost at once, three voters are too few: the group that three seeds formed
/// grows to five, and no further.
#[test]
fn a_group_that_bears_the_loss_of_two_disks_grows_to_five_voters() {
    let timing = Timing {
        target_voters: 5,
        ..Timing::default()
    };
    let mut cluster = cluster_with_timing(timing.clone());
    join_spares(&mut cluster, &["d", "e", "f"], &timing);

    advance(&mut cluster, 3_000, &[]);

    assert_eq!(voters_of_leader(&cluster), ["a", "b", "c", "d", "e"]);
}

/// A configuration followed by many announcements, with slow members: each entry goes out once, not
/// again with every later one.
#[test]
fn entries_that_are_on_their_way_are_not_sent_again() {
    let mut cluster = cluster_with_leader();
    let large = vec![7; 200 * 1024];

    cluster.propose(0, &large).expect("propose");
    for _ in 0..100 {
        cluster.propose(0, b"announcement").expect("propose");
    }

    let sent_to = |host: &str| -> usize {
        let messages = cluster.network.iter().filter(|e| &*e.to.host == host);
        messages
            .map(|envelope| match &envelope.message {
                Message::Append { entries, .. } => entries.len(),
                _ => 0,
            })
            .sum()
    };
    assert_eq!((sent_to("b"), sent_to("c")), (101, 101));
    deliver_all(&mut cluster, &[]);
    advance(&mut cluster, 500, &[]);
    assert!(cluster.applied.len() >= 101);
}

/// Many members announce themselves at once: their entries are stored and sent together.
#[test]
fn commands_that_arrive_together_are_stored_and_sent_together() {
    let mut cluster = cluster_with_leader();
    let now = cluster.now;
    let commands = (0..50).map(|_| (*b"announcement").into()).collect();
    let node = cluster.hosts[0].node.as_mut().expect("node");

    let (_, outputs) = node.propose_all(now, commands).expect("the leader");

    let writes = outputs.iter().filter(|o| matches!(o, Output::Persist(_)));
    let sends = outputs.iter().filter(|o| matches!(o, Output::Send(_)));
    assert_eq!((writes.count(), sends.count()), (1, 2));
}

/// What was lost on its way is sent again, and the group goes on.
#[test]
fn entries_that_were_lost_are_sent_again_after_a_pause() {
    let mut cluster = cluster_with_leader();
    deliver_all(&mut cluster, &[]);
    cluster.propose(0, b"lost").expect("propose");
    cluster.network.clear();

    advance(&mut cluster, 500, &[]);

    let applied = cluster.applied.values();
    let commands = applied.filter(|entry| matches!(&entry.payload, Payload::Command(_)));
    assert_eq!(commands.count(), 1);
}

#[test]
fn a_follower_refuses_to_vote_within_the_election_timeout() {
    let id = |name: &str| Id::new(name, 1);
    let config = Config::with_voters(["a", "b", "c"].map(id));
    let mut node = Node::new(id("b"), config, Timing::default(), 10_000);
    let vote = Message::Vote {
        term: 9,
        pre_vote: false,
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
