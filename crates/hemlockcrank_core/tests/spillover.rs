//! Reads that leave their zone, under load patterns that are named by the tests.

use std::collections::VecDeque;

use hemlockcrank_core::{
    Name,
    balance::{Candidate, Load},
    spillover::{Answer, Reason, Spillover},
};

const GAIN_MS: u64 = 20;
/// Time of a read at a member, in milliseconds.
const SERVICE_MS: u64 = 20;
/// Reads that a member runs at the same time.
const SLOTS: usize = 2;
/// Reads in a hundred seconds that a member can serve.
const CAPACITY: u64 = SLOTS as u64 * 100_000 / SERVICE_MS;
/// Reads that wait at a member before it refuses more.
const MAX_WAITING: usize = 40;
/// Round trip between zones, in milliseconds.
const ROUND_TRIP_MS: u64 = 3;

#[derive(Clone, Copy)]
struct Read {
    from: usize,
    began_at: u64,
}

#[derive(Default)]
struct Member {
    waiting: VecDeque<Read>,
    running: Vec<(u64, Read)>,
    /// Whether the link from other zones is cut.
    cut: bool,
}

/// Zones with one member and one host each.
struct Site {
    now: u64,
    names: Vec<Name>,
    hosts: Vec<Spillover>,
    members: Vec<Member>,
    /// Reads that are due by demand, in parts of 100,000.
    due: Vec<u64>,
    /// Reads sent, by zone of the host and of the member.
    sent: Vec<Vec<u64>>,
    /// Highest share of each host.
    highest: Vec<u32>,
}

impl Site {
    fn new(zones: usize) -> Self {
        let names: Vec<Name> = (0..zones)
            .map(|zone| format!("zone-{zone}").into())
            .collect();
        let host = |name: &Name| Spillover::new(name.clone(), GAIN_MS);
        Self {
            now: 0,
            hosts: names.iter().map(host).collect(),
            members: names.iter().map(|_| Member::default()).collect(),
            due: vec![0; zones],
            sent: vec![vec![0; zones]; zones],
            highest: vec![0; zones],
            names,
        }
    }

    /// Runs for a time with a demand by zone, in percent of what a member can serve.
    fn run(&mut self, ms: u64, demand: &[u64]) {
        self.sent = vec![vec![0; self.names.len()]; self.names.len()];
        self.highest = vec![0; self.names.len()];
        for _ in 0..ms {
            self.now += 1;
            for (zone, percent) in demand.iter().enumerate() {
                self.finish(zone);
                self.due[zone] += percent * CAPACITY / 100;
                while self.due[zone] >= 100_000 {
                    self.due[zone] -= 100_000;
                    self.read(zone);
                }
                self.highest[zone] = self.highest[zone].max(self.hosts[zone].share());
            }
        }
    }

    fn read(&mut self, from: usize) {
        let mut others = self.names.clone();
        others.remove(from);
        let target = self.hosts[from].next_zone(self.now, &others);
        let to = target.map_or(from, |zone| self.position(&zone));
        self.sent[from][to] += 1;
        let began_at = self.now;
        let member = &mut self.members[to];
        if member.cut && from != to {
            return;
        }
        if member.waiting.len() >= MAX_WAITING {
            self.hosts[from].record_failure(self.now, &self.names[to], began_at, 1_000);
            return;
        }
        member.waiting.push_back(Read { from, began_at });
    }

    fn finish(&mut self, zone: usize) {
        let now = self.now;
        let member = &mut self.members[zone];
        let (done, running) = member.running.iter().partition(|(end, _)| *end <= now);
        member.running = running;
        while member.running.len() < SLOTS
            && let Some(read) = member.waiting.pop_front()
        {
            member.running.push((now + SERVICE_MS, read));
        }
        let done: Vec<(u64, Read)> = done;
        for (_, read) in done {
            let way_ms = if read.from == zone { 0 } else { ROUND_TRIP_MS };
            let answer = Answer {
                began_at: read.began_at,
                waited_ms: now - read.began_at - SERVICE_MS,
                ran_ms: SERVICE_MS + way_ms,
            };
            self.hosts[read.from].record_answer(now, &self.names[zone], answer);
        }
    }

    fn position(&self, zone: &Name) -> usize {
        self.names
            .iter()
            .position(|name| name == zone)
            .expect("zone")
    }

    /// Reads of a zone that left it, in percent.
    fn out_percent(&self, zone: usize) -> u64 {
        let all: u64 = self.sent[zone].iter().sum();
        (all - self.sent[zone][zone]) * 100 / all.max(1)
    }
}

/// Guards against reads that wait in a full zone while other zones are idle.
#[test]
fn demand_of_one_zone_above_its_members_while_others_are_idle() {
    let mut site = Site::new(3);

    site.run(10_000, &[150, 20, 20]);
    site.run(20_000, &[150, 20, 20]);

    let out = site.out_percent(0);
    assert!((30..=60).contains(&out), "{out}% left the zone");
    assert!(site.members[0].waiting.len() < MAX_WAITING / 2);
    assert_eq!(site.out_percent(1) + site.out_percent(2), 0);
}

/// Guards against zones that swap their load when one peak follows another.
#[test]
fn peaks_that_alternate_between_zones() {
    let mut site = Site::new(2);
    for (busy, demand) in [(0, [130, 50]), (1, [50, 130])].repeat(4) {
        // The share of the zone that was busy before falls in steps.
        site.run(3_000, &demand);
        site.run(12_000, &demand);

        let out = site.out_percent(busy);
        assert!(out >= 10, "{out}%");
        let back = site.out_percent(1 - busy);
        assert_eq!(
            back, 0,
            "{back}% of the idle zone's reads went to the busy zone"
        );
    }
}

/// Guards against traffic between zones that gains nothing because no zone has room.
#[test]
fn all_zones_full() {
    let mut site = Site::new(3);

    site.run(10_000, &[130, 130, 130]);
    site.run(20_000, &[130, 130, 130]);

    for zone in 0..3 {
        assert!(site.out_percent(zone) <= 5, "{}%", site.out_percent(zone));
    }
}

/// Guards against reads that are lost in a zone that does not answer.
#[test]
fn the_other_zone_cut_off() {
    let mut site = Site::new(2);
    site.run(10_000, &[150, 20]);
    assert!(site.hosts[0].share() > 0);

    site.members[1].cut = true;
    site.run(2_000, &[150, 20]);
    let lost_at_once = site.sent[0][1];
    site.run(20_000, &[150, 20]);

    assert!(lost_at_once <= 40, "{lost_at_once} reads were lost");
    assert!(site.out_percent(0) <= 2, "{}%", site.out_percent(0));

    site.members[1].cut = false;
    site.run(20_000, &[150, 20]);
    assert!(site.out_percent(0) >= 20, "{}%", site.out_percent(0));
}

/// Guards against reads that are sent to a zone whose members were taken out of service.
#[test]
fn the_other_zone_out_of_service() {
    let mut site = Site::new(2);
    site.run(10_000, &[150, 20]);
    assert!(site.hosts[0].share() > 0);

    let next = site.hosts[0].next_zone(site.now, &[]);

    assert_eq!((next, site.hosts[0].share()), (None, 0));
    let report = site.hosts[0].take_report(site.now + 5_000);
    assert_eq!(
        report.map(|report| report.reason),
        Some(Reason::OutOfService)
    );
}

/// Guards against a large share that is sent on the strength of figures that are no longer true.
#[test]
fn old_figures() {
    let mut host = Spillover::new("a".into(), GAIN_MS);
    let others = ["b".into()];
    let read = |host: &mut Spillover, now, zone: &str, ran_ms| {
        let answer = Answer {
            began_at: now,
            waited_ms: 0,
            ran_ms,
        };
        host.record_answer(now, zone, answer);
        host.next_zone(now, &others);
    };
    read(&mut host, 0, "a", 10);
    for now in (0..10_000).step_by(50) {
        read(&mut host, now, "a", 200);
        read(&mut host, now, "b", 20);
    }
    assert!(host.share() >= 50, "{}%", host.share());

    for now in (10_000..13_500).step_by(50) {
        read(&mut host, now, "a", 200);
        host.abandon("b");
    }

    assert_eq!(host.share(), 5);
}

/// Guards against reads that leave for a wait that ends by itself.
#[test]
fn a_short_burst_that_the_zones_own_queue_absorbs() {
    let mut site = Site::new(2);
    site.run(5_000, &[60, 20]);

    site.run(200, &[200, 20]);
    assert!(site.members[0].waiting.len() >= 5);
    let out = site.sent[0][1];
    site.run(5_000, &[60, 20]);

    assert_eq!((out, site.sent[0][1]), (0, 0));
}

/// Guards against reads that stay away after the zone's own members have room again, and against a
/// return at once that fills them.
#[test]
fn return_to_the_zone_after_the_peak() {
    let mut site = Site::new(2);
    site.run(20_000, &[150, 20]);
    let share = site.hosts[0].share();
    assert!(share >= 20, "{share}%");

    site.run(400, &[60, 20]);
    let soon = site.hosts[0].share();
    site.run(5_000, &[60, 20]);

    assert!(soon > 0, "all reads returned at once");
    assert_eq!(site.hosts[0].share(), 0);
    site.run(5_000, &[60, 20]);
    assert_eq!(site.out_percent(0), 0);
}

/// Guards against a share that rises before the effect of the last step can be seen.
#[test]
fn no_step_before_the_answers_to_the_last_one() {
    let mut host = Spillover::new("a".into(), GAIN_MS);
    let others = ["b".into()];
    let answer = |began_at, ran_ms| Answer {
        began_at,
        waited_ms: 0,
        ran_ms,
    };
    host.record_answer(0, "a", answer(0, 10));
    let mut highest = 0;
    for now in (0..10_000).step_by(10) {
        host.record_answer(now, "a", answer(now, 200));
        // Answers from the other zone belong to reads that began before any share changed.
        host.record_answer(now, "b", answer(0, 20));
        host.next_zone(now, &others);
        highest = highest.max(host.share());
    }
    assert_eq!(highest, 10);
}

/// Guards against reads that take the primary's slots from writes, and against reads that a share of 0
/// holds in a zone where no replica can serve them.
#[test]
fn the_zone_has_only_a_busy_primary() {
    let mut host = Spillover::new("a".into(), GAIN_MS);
    let zones: [Name; 2] = ["a".into(), "b".into()];
    let zones: Vec<&Name> = zones.iter().collect();
    let member = |same_zone, running: u64| {
        let mut load = Load::default();
        (0..running).for_each(|_| load.begin());
        Candidate {
            load,
            same_zone,
            connected: true,
            primary: same_zone,
        }
    };

    let busy = host.choose(0, &[member(true, 1), member(false, 50)], &zones, false);
    let idle = host.choose(0, &[member(true, 0), member(false, 50)], &zones, false);
    let alone = host.choose(0, &[member(true, 1)], &zones[..1], false);

    assert_eq!((busy, idle, alone), (Some(1), Some(0), Some(0)));
}
