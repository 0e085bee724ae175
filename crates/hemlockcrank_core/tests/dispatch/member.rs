//! A member with four slots behind a dispatcher, in steps of a millisecond.

use std::collections::{BTreeMap, VecDeque};

use hemlockcrank_core::{
    Name,
    dispatch::{Decision, Dispatcher, Offer, Outcome, Refusal, Ticket},
};

pub(crate) const SLOTS: usize = 4;

/// Statements of one workspace and priority at a steady rate.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) workspace: &'static str,
    pub(crate) priority: u32,
    pub(crate) per_second: u64,
    pub(crate) service_ms: u64,
    pub(crate) useful_wait_ms: u64,
    pub(crate) from_to: (u64, u64),
}

/// What became of the statements of one load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    pub(crate) offered: usize,
    pub(crate) served: usize,
    /// Statements that started after their latest useful time.
    pub(crate) late: usize,
    /// Refusals, each with the time that the statement had waited.
    pub(crate) refusals: Vec<(u64, Refusal)>,
}

impl Result {
    /// Served statements, in percent.
    pub(crate) fn percent(&self) -> usize {
        100 * self.served / self.offered.max(1)
    }
}

struct Site {
    dispatcher: Dispatcher,
    /// Load and arrival of the statements that are not done.
    open: BTreeMap<Ticket, (usize, u64)>,
    at_member: VecDeque<(Ticket, u64)>,
    results: Vec<Result>,
}

impl Site {
    fn start(&mut self, now: u64, loads: &[Load], ticket: Ticket, slow: u64) {
        let (index, arrived_at) = self.open[&ticket];
        let load = &loads[index];
        self.results[index].late += usize::from(now > arrived_at + load.useful_wait_ms);
        self.at_member.push_back((ticket, load.service_ms * slow));
    }

    fn take_turns(&mut self, now: u64, loads: &[Load], slow: u64) {
        for turn in self.dispatcher.take_turns(now) {
            match turn.refusal {
                None => self.start(now, loads, turn.ticket, slow),
                Some(refusal) => {
                    let (index, arrived_at) = self.open[&turn.ticket];
                    self.results[index]
                        .refusals
                        .push((now - arrived_at, refusal));
                }
            }
        }
    }

    fn work(&mut self, now: u64) {
        for (_, left_ms) in self.at_member.iter_mut().take(SLOTS) {
            *left_ms -= 1;
        }
        for (ticket, _) in self.at_member.iter().filter(|(_, left_ms)| *left_ms == 0) {
            self.dispatcher.finish(now, *ticket, Outcome::Served);
            self.results[self.open[ticket].0].served += 1;
        }
        self.at_member.retain(|(_, left_ms)| *left_ms > 0);
    }
}

/// Runs loads until a time; `slow` is the factor of the member's service time at a time.
pub(crate) fn run<F>(
    dispatcher: Dispatcher,
    loads: &[Load],
    until: u64,
    slow: F,
) -> (Dispatcher, Vec<Result>)
where
    F: Fn(u64) -> u64,
{
    let mut site = Site {
        dispatcher,
        open: BTreeMap::new(),
        at_member: VecDeque::new(),
        results: vec![Result::default(); loads.len()],
    };
    for now in 0..until {
        site.work(now);
        site.take_turns(now, loads, slow(now));
        for (index, load) in loads.iter().enumerate() {
            let (from, to) = load.from_to;
            let due = |at: u64| at * load.per_second / 1_000;
            let count = match (from..to).contains(&now) {
                true => due(now + 1 - from) - due(now - from),
                false => 0,
            };
            for _ in 0..count {
                let offer = Offer {
                    workspace: Name::from(load.workspace),
                    priority: load.priority,
                    latest: now + load.useful_wait_ms,
                    begun: false,
                };
                site.results[index].offered += 1;
                match site.dispatcher.offer(now, offer) {
                    Decision::Run(ticket) => {
                        site.open.insert(ticket, (index, now));
                        site.start(now, loads, ticket, slow(now));
                    }
                    Decision::Wait(ticket) => {
                        site.open.insert(ticket, (index, now));
                        site.take_turns(now, loads, slow(now));
                    }
                    Decision::Refuse(refusal) => {
                        site.results[index].refusals.push((0, refusal));
                    }
                }
            }
        }
    }
    (site.dispatcher, site.results)
}
