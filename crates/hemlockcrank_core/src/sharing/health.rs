//! Which executors answer, as one host observes them.

use std::collections::BTreeMap;

use crate::{Name, balance::Load};

/// Shortest and longest time without any answer of an executor, while operations wait for one, after
/// which it is avoided, in milliseconds. An executor that is frozen would otherwise
/// receive operations until the first of them times out.
const SILENCE_MS: (u64, u64) = (250, 1_000);
/// The same time, as a multiple of the executor's latency. An executor that is only busy is not avoided.
const SILENCE_LATENCIES: u64 = 8;
/// Answers and failures of one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Health {
    /// Latency, and for how long the executor is avoided after failures.
    load: Load,
    /// Time of the first operation that was sent since the last answer. Moved on by the time in which
    /// no operation waited.
    asked_at: Option<u64>,
    /// Operations that wait for an answer.
    waiting: usize,
    /// Time at which the last one stopped waiting.
    waited_until: u64,
}

impl Health {
    /// Whether it has not answered for too long, although an operation was sent to it.
    fn is_silent(&self, now: u64) -> bool {
        let (shortest, longest) = SILENCE_MS;
        let silence_ms = self.load.latency_ms() * SILENCE_LATENCIES;
        let silence_ms = silence_ms.clamp(shortest, longest);
        let until = match self.waiting {
            0 => self.waited_until,
            _ => now,
        };
        self.asked_at.is_some_and(|at| until >= at + silence_ms)
    }
}

/// Answers and failures of all executors that this host has sent operations to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Executors {
    healths: BTreeMap<Name, Health>,
}

impl Executors {
    /// The first of `order` that is not avoided; `None` if the operation is to be run directly.
    pub fn choose<'a, I>(&self, now: u64, order: I, tried: &[Name]) -> Option<Name>
    where
        I: IntoIterator<Item = &'a Name>,
    {
        let is_avoided = |name: &Name| {
            let health = self.healths.get(name);
            health.is_some_and(|health| health.load.is_paused(now))
        };
        let mut order = order.into_iter();
        let chosen = order.find(|name| !tried.contains(name) && !is_avoided(name));
        chosen.cloned()
    }

    /// Avoids the executors of `order` that have been silent for too long; returns their names.
    pub fn avoid_silent<'a, I>(&mut self, now: u64, order: I) -> Vec<Name>
    where
        I: IntoIterator<Item = &'a Name>,
    {
        let is_silent = |name: &&Name| {
            let health = self.healths.get(*name);
            health.is_some_and(|health| health.is_silent(now))
        };
        let silent: Vec<Name> = order.into_iter().filter(is_silent).cloned().collect();
        for executor in &silent {
            self.record_failure(now, executor);
        }
        silent
    }

    /// Records that an operation is sent.
    pub fn record_sent(&mut self, now: u64, executor: &Name) {
        let health = self.healths.entry(executor.clone()).or_default();
        let at = health.asked_at.get_or_insert(now);
        if health.waiting == 0 {
            *at += now.saturating_sub(health.waited_until.max(*at));
        }
        health.waiting += 1;
    }

    /// Records that an operation no longer waits, with or without an answer.
    pub fn record_end(&mut self, now: u64, executor: &Name) {
        let health = self.healths.entry(executor.clone()).or_default();
        health.waiting = health.waiting.saturating_sub(1);
        health.waited_until = now;
    }

    /// Records that the executor answered after `took_ms`, with any answer.
    pub fn record_answer(&mut self, executor: &Name, took_ms: u64) {
        let health = self.healths.entry(executor.clone()).or_default();
        health.asked_at = None;
        health.load.record_success(took_ms);
    }

    /// Records that the executor could not be reached or did not answer. Returns whether it was not
    /// avoided before.
    pub fn record_failure(&mut self, now: u64, executor: &Name) -> bool {
        let health = self.healths.entry(executor.clone()).or_default();
        health.asked_at = None;
        if health.load.is_paused(now) {
            return false;
        }
        health.load.record_failure(now);
        true
    }

    /// Whether the executor is avoided, or has not answered anything for too long, although operations
    /// were sent to it. A read is then run directly as well. One that is only busy must not cause
    /// connections that are used once.
    pub fn is_silent(&self, now: u64, executor: &str) -> bool {
        let health = self.healths.get(executor);
        health.is_some_and(|health| health.load.is_paused(now) || health.is_silent(now))
    }
}
