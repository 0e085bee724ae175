//! The borrower's side.

use std::collections::VecDeque;

use super::{Answer, LOAN_MS, Settlement};

/// Part of recent use that is borrowed ahead, in milliseconds of use.
const AHEAD_MS: u64 = 100;
/// Window over which use is counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Outcome of [`Loans::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// A token was spent.
    Admitted,
    /// No token is here: ask the owner.
    NoToken,
}

/// What to ask the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Tokens wanted.
    pub tokens: u64,
    /// Loans that are done.
    pub settled: Vec<Settlement>,
    /// When the question was asked; pass it to [`Loans::receive`].
    pub asked_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: u64,
    left: u64,
    /// Nothing of it may be spent before.
    ready_at: u64,
    ends_at: u64,
}

/// One host's tokens of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    held: VecDeque<Held>,
    done: Vec<Settlement>,
    asking: bool,
    used: u64,
    used_before: u64,
    window_at: u64,
}

impl Loans {
    /// Spends one token if one is here.
    pub fn take(&mut self, now: u64) -> Take {
        self.drop_ended(now);
        let ready = self.held.iter().position(|held| held.ready_at <= now);
        let Some(index) = ready else {
            return Take::NoToken;
        };
        let held = &mut self.held[index];
        held.left -= 1;
        if held.left == 0 {
            let id = held.id;
            self.held.remove(index);
            self.done.push(Settlement { id, unspent: 0 });
        }
        self.count_use(now);
        Take::Admitted
    }

    /// What to ask for `waiting` statements, unless a question is under way.
    pub fn request(&mut self, now: u64, waiting: u64) -> Option<LoanRequest> {
        if self.asking {
            return None;
        }
        self.asking = true;
        self.roll_window(now);
        let recent = self.used.max(self.used_before);
        let ahead = recent * AHEAD_MS / WINDOW_MS;
        Some(LoanRequest {
            tokens: waiting.max(1) + ahead,
            settled: std::mem::take(&mut self.done),
            asked_at: now,
        })
    }

    /// Takes the owner's answer at `now`; `None` stands for no answer.
    pub fn receive(&mut self, now: u64, asked_at: u64, answer: Option<Answer>) {
        self.asking = false;
        let (loan, wait_ms) = match answer {
            Some(Answer::Granted(loan)) => (loan, 0),
            Some(Answer::Reserved { loan, wait_ms }) => (loan, wait_ms),
            Some(Answer::Empty { .. } | Answer::Closed) | None => return,
        };
        self.held.push_back(Held {
            id: loan.id,
            left: loan.amount,
            ready_at: now + wait_ms,
            ends_at: asked_at + LOAN_MS,
        });
    }

    /// Gives back what was not used, where it would otherwise end unused; `None` when nothing is held.
    pub fn return_unspent(&mut self, now: u64) -> Option<Vec<Settlement>> {
        self.drop_ended(now);
        for held in self.held.drain(..) {
            self.done.push(Settlement {
                id: held.id,
                unspent: held.left,
            });
        }
        if self.done.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.done))
    }

    /// Whether any tokens are held.
    pub fn has_tokens(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether some held tokens end before `now + within_ms`.
    pub fn expires_within(&self, now: u64, within_ms: u64) -> bool {
        self.held
            .front()
            .is_some_and(|h| h.ends_at <= now + within_ms)
    }

    fn drop_ended(&mut self, now: u64) {
        while self.held.front().is_some_and(|h| h.ends_at <= now) {
            self.held.pop_front();
        }
    }

    fn count_use(&mut self, now: u64) {
        self.roll_window(now);
        self.used += 1;
    }

    fn roll_window(&mut self, now: u64) {
        if now >= self.window_at + WINDOW_MS {
            let adjacent = now < self.window_at + 2 * WINDOW_MS;
            self.used_before = if adjacent { self.used } else { 0 };
            self.used = 0;
            self.window_at = now;
        }
    }
}
