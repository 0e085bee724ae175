//! Long seeded runs: crashes, lost disks, cuts, lost and repeated messages, snapshots, membership.
//!
//! CI runs a few fixed cases. A long run prints its seed:
//! `PROPTEST_CASES=2000 PROPTEST_RNG_SEED=7 cargo test --release -p hemlockcrank_core --test consensus random`

use hemlockcrank_core::consensus::{Config, Id, Input, Node, SharedBytes, Timing};
use proptest::{
    prelude::*,
    test_runner::{Config as RunConfig, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::cluster::{Cluster, Plant};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const VOTERS: usize = 3;

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes and one host notices.
    Tick(usize, u64),
    /// All hosts notice that time has passed.
    TickAll(u64),
    /// One of the messages arrives; it may arrive again.
    Deliver(usize, bool),
    /// Messages arrive until this many have.
    DeliverMany(usize),
    /// One of the messages is lost.
    Lose(usize),
    Propose(usize, u8),
    Crash(usize),
    Restart(usize),
    /// A disk is lost while the group is whole.
    LoseDisk(usize),
    Compact(usize),
    /// A spare asks to join.
    Join(usize),
}

/// Steps do not depend on any model state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let host = 0..NAMES.len();
        prop_oneof![
            4 => (host.clone(), 0u64..1_000).prop_map(|(h, ms)| Step::Tick(h, ms)),
            4 => (0u64..400).prop_map(Step::TickAll),
            8 => (any::<usize>(), any::<bool>()).prop_map(|(m, again)| Step::Deliver(m, again)),
            12 => (1usize..30).prop_map(Step::DeliverMany),
            2 => any::<usize>().prop_map(Step::Lose),
            5 => (host.clone(), any::<u8>()).prop_map(|(h, d)| Step::Propose(h, d)),
            1 => host.clone().prop_map(Step::Crash),
            3 => host.clone().prop_map(Step::Restart),
            2 => host.clone().prop_map(Step::LoseDisk),
            1 => host.clone().prop_map(Step::Compact),
            2 => host.prop_map(Step::Join),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Run;

/// Seed of a run without `PROPTEST_RNG_SEED`.
const SEED: u64 = 20_261_204;

fn seed() -> RngSeed {
    let given = std::env::var("PROPTEST_RNG_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("seed {seed}");
    RngSeed::Fixed(seed)
}

fn timing() -> Timing {
    Timing {
        voter_timeout_ms: 3_000,
        max_entries: 4,
        ..Timing::default()
    }
}

/// Three voters, and two spares that know the group.
fn start() -> Cluster {
    let mut cluster = Cluster::new(&NAMES[..VOTERS], timing(), Plant::Nothing);
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    for name in &NAMES[VOTERS..] {
        let mut spare = Cluster::new(&[name], timing(), Plant::Nothing)
            .hosts
            .remove(0);
        spare.disk.snapshot.config = config.clone();
        let id = spare.id.clone();
        spare.node = Some(Node::restore(id, spare.disk.clone(), timing(), 0));
        cluster.hosts.push(spare);
    }
    cluster
}

/// The leader's membership, when all its voters run and store all that was ever applied.
fn whole(cluster: &Cluster) -> Option<Config> {
    let leader = cluster.leader()?;
    let node = cluster.hosts[leader].node.as_ref()?;
    let config = node.log().config().clone();
    let last = *cluster.applied.keys().last()?;
    let stored = |id: &Id| {
        let host = cluster.hosts.iter().find(|host| host.id == *id);
        host.is_some_and(|host| {
            let end = host
                .disk
                .entries
                .last()
                .map_or(host.disk.snapshot.index, |e| e.index);
            host.node.is_some() && end >= last && host.disk.term == node.term()
        })
    };
    (config.voters.len() >= VOTERS && config.voters.iter().all(stored)).then_some(config)
}

fn nth(cluster: &Cluster, choice: usize) -> Option<hemlockcrank_core::consensus::Envelope> {
    let count = cluster.network.len();
    (count > 0).then(|| cluster.network.iter().nth(choice % count).cloned())?
}

fn take(cluster: &mut Cluster, step: &Step) -> Result<(), String> {
    match step {
        Step::Tick(host, ms) => {
            cluster.now += ms;
            let random = cluster.now ^ (*host as u64 * 7_919);
            cluster.input(*host, Input::Tick { random })
        }
        Step::TickAll(ms) => {
            cluster.now += ms;
            (0..NAMES.len()).try_for_each(|host| {
                let random = cluster.now.wrapping_mul(31) ^ (host as u64 * 104_729);
                cluster.input(host, Input::Tick { random })
            })
        }
        Step::Deliver(choice, again) => {
            let Some(envelope) = nth(cluster, *choice) else {
                return Ok(());
            };
            cluster.deliver(&envelope)?;
            if *again {
                cluster.network.insert(envelope);
            }
            Ok(())
        }
        Step::DeliverMany(count) => (0..*count).try_for_each(|round| match nth(cluster, round) {
            Some(envelope) => cluster.deliver(&envelope),
            None => Ok(()),
        }),
        Step::Lose(choice) => {
            if let Some(envelope) = nth(cluster, *choice) {
                cluster.network.remove(&envelope);
            }
            Ok(())
        }
        Step::Propose(host, data) => cluster.propose(*host, &[*data]),
        Step::Crash(host) => {
            cluster.crash(*host);
            Ok(())
        }
        Step::Restart(host) => {
            if cluster.hosts[*host].node.is_none() {
                cluster.restart(*host);
            }
            Ok(())
        }
        Step::LoseDisk(host) => {
            if let Some(config) = whole(cluster) {
                cluster.lose_disk(*host, config);
            }
            Ok(())
        }
        Step::Compact(host) => {
            let applied = cluster.hosts[*host].node.as_ref().map_or(0, Node::commit);
            let data = SharedBytes::from(&b"state"[..]);
            cluster.input(
                *host,
                Input::Compact {
                    index: applied,
                    data,
                },
            )
        }
        Step::Join(host) => {
            let id = cluster.hosts[*host].id.clone();
            match cluster.leader() {
                Some(leader) => cluster.input(leader, Input::Join(id)),
                None => Ok(()),
            }
        }
    }
}

/// After everything is up and connected again, the group must accept a command within bounded time.
fn settles(cluster: &mut Cluster) -> Result<(), String> {
    for host in 0..NAMES.len() {
        take(cluster, &Step::Restart(host))?;
    }
    let before = cluster.applied.len();
    for round in 0..400 {
        take(cluster, &Step::TickAll(50))?;
        if round % 20 == 0 {
            for host in 0..NAMES.len() {
                take(cluster, &Step::Join(host))?;
            }
        }
        take(cluster, &Step::DeliverMany(60))?;
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, b"last")?;
        }
        if cluster.applied.len() > before + 3 {
            return Ok(());
        }
    }
    Err("no command was committed after everything healed".to_owned())
}

impl StateMachineTest for Run {
    type SystemUnderTest = Cluster;
    type Reference = Steps;

    fn init_test((): &()) -> Cluster {
        start()
    }

    fn apply(mut cluster: Cluster, (): &(), step: Step) -> Cluster {
        take(&mut cluster, &step).expect("invariant");
        cluster
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        settles(&mut cluster).expect("liveness");
    }
}

prop_state_machine! {
    #![proptest_config(RunConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(48),
        rng_seed: seed(),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..RunConfig::default()
    })]

    #[test]
    fn random_runs_keep_the_invariants_and_settle(sequential 200..400 => Run);
}
