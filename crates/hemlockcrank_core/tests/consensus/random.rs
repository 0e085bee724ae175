//! Long seeded runs with crashes, lost disks, delayed, lost and duplicated messages, snapshots and
//! membership changes.
//!
//! CI runs a few fixed cases. Every run prints its seed. A longer run:
//! `PROPTEST_CASES=2000 PROPTEST_RNG_SEED=7 cargo test --release -p hemlockcrank_core --test consensus random`

use hemlockcrank_core::consensus::{Config, Id, Input, Node, SharedBytes, Timing};
use proptest::{
    prelude::*,
    test_runner::{Config as RunConfig, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::cluster::{Cluster, InjectedBug};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const VOTERS: usize = 3;

#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes, and one host ticks.
    Tick(usize, u64),
    /// Time passes, and all hosts tick.
    TickAll(u64),
    /// Delivers one message; with `true` it stays in flight and may be delivered again.
    Deliver(usize, bool),
    /// Delivers up to this many messages.
    DeliverMany(usize),
    /// Loses one message.
    Lose(usize),
    Propose(usize, u8),
    Crash(usize),
    Restart(usize),
    /// A host loses its disk while all voters are up to date.
    LoseDisk(usize),
    Compact(usize),
    /// A host asks to join.
    Join(usize),
}

/// Generates the steps, which do not depend on any model state.
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

/// Default seed, used if `PROPTEST_RNG_SEED` is not set.
const SEED: u64 = 20_261_204;

fn seed() -> RngSeed {
    let variable = std::env::var("PROPTEST_RNG_SEED").ok();
    let seed = variable.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
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

/// Three voters, and two spare hosts that have the group's membership.
fn start() -> Cluster {
    let mut cluster = Cluster::new(&NAMES[..VOTERS], timing(), InjectedBug::None);
    let config = cluster.hosts[0].disk.snapshot.config.clone();
    for name in &NAMES[VOTERS..] {
        let mut spare = Cluster::new(&[name], timing(), InjectedBug::None)
            .hosts
            .remove(0);
        spare.disk.snapshot.config = config.clone();
        let id = spare.id.clone();
        spare.node = Some(Node::restore(id, spare.disk.clone(), timing(), 0));
        cluster.hosts.push(spare);
    }
    cluster
}

/// The leader's membership, if all its voters run in its term and store every entry that was ever
/// applied.
fn fully_replicated_config(cluster: &Cluster) -> Option<Config> {
    let leader = cluster.leader()?;
    let node = cluster.hosts[leader].node.as_ref()?;
    let config = node.log().config().clone();
    let last_applied = *cluster.applied.keys().last()?;
    let is_up_to_date = |id: &Id| {
        let host = cluster.hosts.iter().find(|host| host.id == *id);
        host.is_some_and(|host| {
            let last_index = host
                .disk
                .entries
                .last()
                .map_or(host.disk.snapshot.index, |e| e.index);
            host.node.is_some() && last_index >= last_applied && host.disk.term == node.term()
        })
    };
    (config.voters.len() >= VOTERS && config.voters.iter().all(is_up_to_date)).then_some(config)
}

fn nth_message(cluster: &Cluster, choice: usize) -> Option<hemlockcrank_core::consensus::Envelope> {
    let count = cluster.network.len();
    (count > 0).then(|| cluster.network.iter().nth(choice % count).cloned())?
}

fn run_step(cluster: &mut Cluster, step: &Step) -> Result<(), String> {
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
        Step::Deliver(choice, duplicate) => {
            let Some(envelope) = nth_message(cluster, *choice) else {
                return Ok(());
            };
            cluster.deliver(&envelope)?;
            if *duplicate {
                cluster.network.insert(envelope);
            }
            Ok(())
        }
        Step::DeliverMany(count) => {
            (0..*count).try_for_each(|round| match nth_message(cluster, round) {
                Some(envelope) => cluster.deliver(&envelope),
                None => Ok(()),
            })
        }
        Step::Lose(choice) => {
            if let Some(envelope) = nth_message(cluster, *choice) {
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
            if let Some(config) = fully_replicated_config(cluster) {
                cluster.lose_disk(*host, config);
            }
            Ok(())
        }
        Step::Compact(host) => {
            let index = cluster.hosts[*host].node.as_ref().map_or(0, Node::commit);
            let data = SharedBytes::from(&b"state"[..]);
            cluster.input(*host, Input::Compact { index, data })
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

/// Restarts all hosts and stops losing messages; the group must then commit a command in bounded
/// time.
fn check_liveness(cluster: &mut Cluster) -> Result<(), String> {
    for host in 0..NAMES.len() {
        run_step(cluster, &Step::Restart(host))?;
    }
    let applied_before = cluster.applied.len();
    for round in 0..400 {
        run_step(cluster, &Step::TickAll(50))?;
        if round % 20 == 0 {
            for host in 0..NAMES.len() {
                run_step(cluster, &Step::Join(host))?;
            }
        }
        run_step(cluster, &Step::DeliverMany(60))?;
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, b"last")?;
        }
        if cluster.applied.len() > applied_before + 3 {
            return Ok(());
        }
    }
    Err("no command was committed after all hosts recovered".to_owned())
}

impl StateMachineTest for Run {
    type SystemUnderTest = Cluster;
    type Reference = Steps;

    fn init_test((): &()) -> Cluster {
        start()
    }

    fn apply(mut cluster: Cluster, (): &(), step: Step) -> Cluster {
        run_step(&mut cluster, &step).expect("invariant");
        cluster
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        check_liveness(&mut cluster).expect("liveness");
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
    fn random_runs_keep_the_invariants_and_recover(sequential 200..400 => Run);
}
