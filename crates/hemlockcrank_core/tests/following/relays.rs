//! Leases through relays: the leader's bound holds for every host, whatever is delayed, lost or silent.

use std::collections::BTreeSet;

use hemlockcrank_core::{
    Name,
    group::{Change, Group, Lead},
    lease::{DURATION_MS, Lease},
    membership::{Host, HostId, View},
    observation::{Observation, Observations, Use, merge},
    relay::{Followers, ids},
    session::Position,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const SEED: u64 = 20_261_205;

fn observation(service: &str, released: Option<u64>, failing_ms: Option<u64>) -> Observation {
    Observation {
        service: service.into(),
        term: 3,
        failing_ms,
        served_ms: None,
        acknowledged: Position::new(3, 7),
        released,
        operations: 16,
        sample: None,
    }
}

fn view(names: &[&str]) -> View {
    let mut view = View::default();
    for name in names {
        view.insert(Host::new(*name, "zone"));
    }
    view
}

/// A poll of the relay on its way to the leader, or its answer on the way back.
#[derive(Clone, Debug)]
struct RelayPoll {
    asked_at: u64,
    listed: BTreeSet<HostId>,
}

/// One leader, one relay, three followers; messages take any time and may be lost.
#[derive(Default)]
struct Model {
    now: u64,
    relay: Followers,
    relay_lease: Lease,
    relay_listed: BTreeSet<HostId>,
    polls: Vec<RelayPoll>,
    answers: Vec<RelayPoll>,
    /// Times at which the leader last heard of each follower.
    heard: Vec<(Name, u64)>,
    /// Polls of followers that the relay holds: follower and time of the question.
    held: Vec<(usize, u64)>,
    follower_leases: [Lease; 3],
}

fn follower(number: usize) -> Host {
    Host::new(format!("follower-{number}"), "zone")
}

impl Model {
    fn step(&mut self, random: &mut ChaCha8Rng) {
        let choice = random.next_u64();
        let number = (choice >> 8) as usize % 3;
        match choice % 8 {
            0 | 1 => self.now += (choice >> 16) % 200,
            2 => {
                let host = follower(number);
                self.relay.note(self.now, host, 0, Vec::new(), Vec::new());
                let asked_at = self.now.saturating_sub((choice >> 16) % 300);
                self.held.push((number, asked_at));
            }
            3 => {
                let followers = self.relay.list(self.now, &View::default());
                self.polls.push(RelayPoll {
                    asked_at: self.now,
                    listed: ids(&followers),
                });
            }
            4 if !self.polls.is_empty() => {
                let poll = self.polls.swap_remove(number % self.polls.len());
                for id in &poll.listed {
                    self.heard.push((id.name.clone(), self.now));
                }
                self.answers.push(poll);
            }
            5 if !self.answers.is_empty() => {
                let answer = self.answers.swap_remove(number % self.answers.len());
                self.relay_lease.renew(answer.asked_at, DURATION_MS);
                self.relay_listed = answer.listed;
            }
            6 if !self.held.is_empty() => {
                let (number, asked_at) = self.held.swap_remove(number % self.held.len());
                if self.relay_listed.contains(&follower(number).id()) {
                    let remaining = self.relay_lease.until().saturating_sub(self.now);
                    self.follower_leases[number].renew(asked_at, remaining);
                }
            }
            _ => {
                self.polls.truncate(number);
                self.answers.truncate(number);
            }
        }
    }

    /// Every follower's lease has ended by the time at which the leader counts it as ended.
    fn check(&self) {
        for number in 0..3 {
            let lease = &self.follower_leases[number];
            let name = follower(number).name;
            let heard = self.heard.iter().filter(|(host, _)| *host == name);
            let last = heard.map(|(_, at)| *at).max();
            if lease.is_valid(self.now) {
                let last = last.expect("a lease without a poll that listed the host");
                assert!(
                    lease.until() <= last + DURATION_MS,
                    "{lease:?} after {last}"
                );
            }
        }
    }
}

#[test]
fn no_lease_through_a_relay_outlasts_the_leaders_bound() {
    let mut granted = 0;
    for run in 0..400 {
        let mut random = ChaCha8Rng::seed_from_u64(SEED + run);
        let mut model = Model::default();
        for _ in 0..400 {
            model.step(&mut random);
            model.check();
        }
        granted += usize::from(model.follower_leases.iter().any(|lease| lease.until() > 0));
    }
    assert!(granted > 100, "only {granted} runs granted a lease");
}

#[test]
fn a_silent_follower_is_listed_no_longer() {
    let mut relay = Followers::default();
    relay.note(0, follower(0), 4, Vec::new(), Vec::new());

    let soon = relay.list(500, &View::default());
    let late = relay.list(2_000, &View::default());

    assert_eq!(soon.len(), 1);
    assert!(late.is_empty());
}

/// A host that has left the view must not be listed by a relay that knows: the leader would add it
/// again.
#[test]
fn a_follower_that_left_the_view_is_listed_no_longer() {
    let mut relay = Followers::default();
    relay.note(0, follower(0), 4, Vec::new(), Vec::new());

    relay.retain(10, &view(&["follower-0"]), &view(&[]));

    assert!(relay.list(20, &View::default()).is_empty());
}

#[test]
fn a_host_that_is_in_no_view_yet_is_listed_with_its_data() {
    let mut relay = Followers::default();
    relay.note(0, follower(0), 0, Vec::new(), Vec::new());

    let unknown = relay.list(10, &view(&[]));
    let known = relay.list(10, &view(&["follower-0"]));

    assert_eq!(unknown[0].host.as_ref(), Some(&follower(0)));
    assert_eq!(known[0].host, None);
}

#[test]
fn a_release_is_urgent_once_and_reported_with_the_next_list() {
    let mut relay = Followers::default();
    let note = |relay: &mut Followers, now, released| {
        let observations = vec![observation("ledger", released, None)];
        relay.note(now, follower(0), 0, Vec::new(), observations);
    };
    note(&mut relay, 0, None);
    relay.list(0, &View::default());
    assert!(!relay.take_urgent());

    note(&mut relay, 10, Some(42));
    assert!(relay.take_urgent());
    let listed = relay.list(11, &View::default());
    note(&mut relay, 20, Some(42));

    assert!(!relay.take_urgent());
    assert_eq!(listed[0].uses[0].released, Some(42));
}

/// The leader fences a change of primary by what followers report through their relay.
fn process(host: &str) -> HostId {
    HostId {
        name: host.into(),
        incarnation: 1,
    }
}

#[test]
fn a_change_is_fenced_by_releases_that_a_relay_reports() {
    let group = Group {
        lead: Some(Lead {
            member: "a".into(),
            term: 3,
        }),
        change: Some(Change {
            index: 42,
            planned: false,
        }),
        ..Group::default()
    };
    let hosts = [process("follower-0"), process("follower-1")];
    let lease_ends = || hosts.iter().map(|host| (host.clone(), 5_000));
    let released = |host: &HostId, observations: &mut Observations| {
        let used = Use {
            service: "ledger".into(),
            released: Some(42),
            operations: 0,
        };
        observations.record_uses(host, vec![used]);
    };
    let mut observations = Observations::new(1, 0);

    released(&hosts[0], &mut observations);
    let one = observations.fencing(100, "ledger", &group, lease_ends());
    released(&hosts[1], &mut observations);
    let both = observations.fencing(100, "ledger", &group, lease_ends());

    assert!(!one.complete && !one.confirmed);
    assert!(both.complete && both.confirmed);
}

/// What the leader concludes from the merged observations is what it would from each of them.
#[test]
fn merged_observations_lead_to_the_same_conclusion() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..2_000 {
        let mut next = |limit: u64| random.next_u64() % limit;
        let reports: Vec<(u64, Observation)> = (0..1 + next(5))
            .map(|_| {
                let ms = |roll: u64, ms: u64| (roll > 0).then_some(ms);
                let mut report = observation("ledger", None, ms(next(2), next(900)));
                report.served_ms = ms(next(2), next(900));
                report.acknowledged = Position::new(3, next(50));
                (next(2_500), report)
            })
            .collect();
        let now = 10_000;
        let mut direct = Observations::new(1, 0);
        for (number, (age_ms, report)) in reports.iter().enumerate() {
            let host = process(&format!("follower-{number}"));
            direct.record(now - age_ms, &host, vec![report.clone()]);
        }

        let mut relayed = Observations::new(1, 0);
        let merged = merge(reports.iter().map(|(age_ms, report)| (*age_ms, report)));
        relayed.record(now, &process("relay"), merged);

        assert_eq!(
            relayed.failing_ms(now, "ledger", 3),
            direct.failing_ms(now, "ledger", 3),
            "{reports:?}"
        );
        let acknowledged = |observations: &Observations| {
            let nobody = std::iter::empty();
            observations
                .fencing(now, "ledger", &Group::default(), nobody)
                .acknowledged
        };
        assert_eq!(acknowledged(&relayed), acknowledged(&direct));
    }
}

#[test]
fn every_host_has_a_relay_in_its_own_zone_and_they_share_the_hosts() {
    let mut view = View::default();
    for zone in ["one", "two", "three"] {
        for number in 0..2 {
            let mut control = Host::new(format!("control-{zone}-{number}"), zone);
            control.control = Some("10.0.0.1:1".parse().expect("address"));
            view.insert(control);
        }
        for number in 0..40 {
            view.insert(Host::new(format!("entry-{zone}-{number}"), zone));
        }
    }
    let mut used = std::collections::BTreeMap::<Name, usize>::new();

    for host in view.serving() {
        let relay = view.relay_for(host).expect("a relay");
        assert_eq!(relay.zone, host.zone);
        *used.entry(relay.name.clone()).or_default() += 1;
    }

    assert_eq!(used.len(), 6);
    assert!(used.values().all(|hosts| *hosts >= 8), "{used:?}");
}
