//! The tokens that one host has borrowed for one workspace.

use std::collections::VecDeque;

use super::{Answer, LOAN_MS, Settlement};

/// Time for which tokens are borrowed ahead at the recent rate of use, in milliseconds.
const AHEAD_MS: u64 = 100;
/// Window over which spent tokens are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Shortest and longest pause before the owner is asked again after it had no token several times in a
/// row, in milliseconds.
const PAUSE_MS: (u64, u64) = (20, 640);

/// Outcome of [`Loans::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// A token was spent.
    Admitted,
    /// No token is available: send a request to the owner.
    NoToken,
}

/// Time in which the owner is not asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    until: u64,
    /// Whether the owner answered the last request.
    pub answered: bool,
}

/// A request to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of tokens to borrow.
    pub tokens: u64,
    /// Loans that are spent or returned.
    pub settled: Vec<Settlement>,
    /// Time of the request, to be passed to [`Loans::receive`].
    pub asked_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedLoan {
    id: u64,
    remaining: u64,
    /// Time before which none of its tokens may be spent.
    usable_at: u64,
    expires_at: u64,
}

/// Loans of one host for one workspace.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    loans: VecDeque<BorrowedLoan>,
    settled: Vec<Settlement>,
    request_pending: bool,
    /// Answers without a token, in a row.
    refusals: u32,
    pause: Option<Pause>,
    spent: u64,
    spent_last_window: u64,
    window_start: u64,
}

impl Loans {
    /// Spends one token if one is available.
    pub fn take(&mut self, now: u64) -> Take {
        self.drop_expired(now);
        let usable = self.loans.iter().position(|loan| loan.usable_at <= now);
        let Some(index) = usable else {
            return Take::NoToken;
        };
        let loan = &mut self.loans[index];
        loan.remaining -= 1;
        if loan.remaining == 0 {
            let id = loan.id;
            self.loans.remove(index);
            self.settled.push(Settlement { id, unspent: 0 });
        }
        self.count_spent(now);
        Take::Admitted
    }

    /// Request for `waiting` statements and for expected use; `None` while another request is pending.
    pub fn request(&mut self, now: u64, waiting: u64) -> Option<LoanRequest> {
        if self.request_pending {
            return None;
        }
        self.request_pending = true;
        self.roll_window(now);
        let recent = self.spent.max(self.spent_last_window);
        let ahead = recent * AHEAD_MS / WINDOW_MS;
        Some(LoanRequest {
            tokens: waiting.max(1) + ahead,
            settled: std::mem::take(&mut self.settled),
            asked_at: now,
        })
    }

    /// Applies the owner's answer, received at `now`; `None` means that none came.
    pub fn receive(&mut self, now: u64, asked_at: u64, answer: Option<Answer>) {
        self.request_pending = false;
        let (loan, wait_ms) = match answer {
            Some(Answer::Granted(loan)) => (loan, 0),
            Some(Answer::Reserved { loan, wait_ms }) => (loan, wait_ms),
            Some(Answer::Empty { .. } | Answer::Closed) | None => return,
        };
        self.refusals = 0;
        self.loans.push_back(BorrowedLoan {
            id: loan.id,
            remaining: loan.amount,
            usable_at: now + wait_ms,
            expires_at: asked_at + LOAN_MS,
        });
    }

    /// Notes that the owner had no token, or did not answer. From the second time in a row on, it is not
    /// asked for a while, because the requests of many hosts for a workspace far over its rate would
    /// keep it from answering any of them.
    pub fn back_off(&mut self, now: u64, answered: bool) {
        let (shortest, longest) = PAUSE_MS;
        self.refusals = self.refusals.saturating_add(1);
        if let Some(doublings) = self.refusals.checked_sub(2) {
            let pause_ms = shortest << doublings.min(u64::BITS / 4);
            let until = now + pause_ms.min(longest);
            self.pause = Some(Pause { until, answered });
        }
    }

    /// The pause that lasts at `now`.
    pub fn pause(&self, now: u64) -> Option<Pause> {
        self.pause.filter(|pause| now < pause.until)
    }

    /// Settles all loans before they expire and returns the settlements to send to the owner, with those
    /// not reported yet; `None` when there is nothing to report.
    pub fn return_unspent(&mut self, now: u64) -> Option<Vec<Settlement>> {
        self.drop_expired(now);
        for loan in self.loans.drain(..) {
            self.settled.push(Settlement {
                id: loan.id,
                unspent: loan.remaining,
            });
        }
        if self.settled.is_empty() {
            return None;
        }
        Some(std::mem::take(&mut self.settled))
    }

    /// Whether any borrowed tokens are left, or reserved.
    pub fn has_tokens(&self) -> bool {
        !self.loans.is_empty()
    }

    /// Whether the oldest loan expires by `now + within_ms`.
    pub fn expires_within(&self, now: u64, within_ms: u64) -> bool {
        self.loans
            .front()
            .is_some_and(|loan| loan.expires_at <= now + within_ms)
    }

    fn drop_expired(&mut self, now: u64) {
        while self
            .loans
            .front()
            .is_some_and(|loan| loan.expires_at <= now)
        {
            self.loans.pop_front();
        }
    }

    fn count_spent(&mut self, now: u64) {
        self.roll_window(now);
        self.spent += 1;
    }

    fn roll_window(&mut self, now: u64) {
        if now >= self.window_start + WINDOW_MS {
            let adjacent = now < self.window_start + 2 * WINDOW_MS;
            self.spent_last_window = if adjacent { self.spent } else { 0 };
            self.spent = 0;
            self.window_start = now;
        }
    }
}
