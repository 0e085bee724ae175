//! One owner, two hosts, and messages that may be lost, late or overtaken by a new owner.

use hemlockcrank_core::{
    quota::{Answer, Bucket, LOAN_MARGIN_MS, LOAN_MS, LoanRequest, Loans, Take},
    record::Rate,
};

/// Longest wait for a token that has not come in, in milliseconds.
const PATIENCE_MS: u64 = 200;

/// A question or an answer on its way.
#[derive(Clone, Debug)]
pub(crate) enum Mail {
    Ask(usize, LoanRequest),
    Answer(usize, u64, Answer),
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Pass(u64),
    Take(usize),
    Ask(usize),
    Deliver(usize),
    Lose(usize),
    GiveBack(usize),
    /// The owner hands its bucket to a new one.
    HandOver,
    /// The owner is gone; a new one opens after every loan has ended.
    OwnerLost,
}

#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) now: u64,
    rate: Rate,
    bucket: Bucket,
    purses: [Loans; 2],
    pub(crate) mail: Vec<Mail>,
    /// Times at which a statement was admitted.
    pub(crate) admitted: Vec<u64>,
    /// How far the hosts' clocks are behind the owner's; a fault when over the margin.
    behind_ms: u64,
}

impl Fleet {
    pub(crate) fn new(rate: Rate, behind_ms: u64) -> Self {
        Self {
            now: 10_000,
            rate,
            bucket: Bucket::full(rate, 10_000),
            purses: [Loans::default(), Loans::default()],
            mail: Vec::new(),
            admitted: Vec::new(),
            behind_ms,
        }
    }

    /// Takes a step; an error tells of a window with too many statements.
    pub(crate) fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Pass(ms) => self.now += ms,
            Step::Take(host) => {
                if self.purses[host].take(self.now - self.behind_ms) == Take::Admitted {
                    self.admitted.push(self.now);
                    return self.check();
                }
            }
            Step::Ask(host) => {
                if let Some(ask) = self.purses[host].request(self.now, 1) {
                    self.mail.push(Mail::Ask(host, ask));
                }
            }
            Step::Deliver(choice) => self.deliver(choice),
            Step::Lose(choice) => self.lose(choice),
            Step::GiveBack(host) => {
                if let Some(settled) = self.purses[host].return_unspent(self.now) {
                    self.bucket.lend(self.now, 0, 0, &settled);
                }
            }
            Step::HandOver => {
                let handover = self.bucket.hand_over(self.now);
                self.bucket = Bucket::resume(self.rate, self.now, handover);
            }
            Step::OwnerLost => {
                let opens_at = self.now + LOAN_MS + LOAN_MARGIN_MS;
                self.bucket = Bucket::empty(self.rate, self.now, opens_at);
            }
        }
        Ok(())
    }

    fn deliver(&mut self, choice: usize) {
        if self.mail.is_empty() {
            return;
        }
        match self.mail.remove(choice % self.mail.len()) {
            Mail::Ask(host, ask) => {
                let answer = self
                    .bucket
                    .lend(self.now, ask.tokens, PATIENCE_MS, &ask.settled);
                self.mail.push(Mail::Answer(host, ask.asked_at, answer));
            }
            Mail::Answer(host, asked_at, answer) => {
                let heard_at = self.now - self.behind_ms;
                self.purses[host].receive(heard_at, asked_at, Some(answer));
            }
        }
    }

    fn lose(&mut self, choice: usize) {
        if self.mail.is_empty() {
            return;
        }
        let (Mail::Ask(host, LoanRequest { asked_at, .. }) | Mail::Answer(host, asked_at, _)) =
            self.mail.remove(choice % self.mail.len());
        self.purses[host].receive(self.now, asked_at, None);
    }

    /// No window admits more than the burst and the rate over its length.
    fn check(&self) -> Result<(), String> {
        let Some(end) = self.admitted.last() else {
            return Ok(());
        };
        for (index, begin) in self.admitted.iter().enumerate() {
            let count = (self.admitted.len() - index) as u64;
            let allowed = self.rate.burst * 1_000 + (end - begin) * self.rate.per_second;
            if count * 1_000 > allowed {
                return Err(format!("{count} statements within {} ms", end - begin));
            }
        }
        Ok(())
    }
}
