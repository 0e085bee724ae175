//! Model of one owner and two hosts, with messages that may be lost, delayed or delivered after a change
//! of owner.

use hemlockcrank_core::{
    quota::{Answer, Bucket, LOAN_MARGIN_MS, LOAN_MS, LoanRequest, Loans, Take},
    record::Rate,
};

/// Longest wait for a token of a future refill, in milliseconds.
const MAX_WAIT_MS: u64 = 200;

/// A request or an answer that was sent and not delivered.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Request(usize, LoanRequest),
    Answer(usize, u64, Answer),
}

/// One step of the model. The numbers of `Deliver` and `Lose` select a message, those of the other steps
/// a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// Time passes, in milliseconds.
    Advance(u64),
    Take(usize),
    Request(usize),
    Deliver(usize),
    Lose(usize),
    ReturnUnspent(usize),
    /// The owner hands its bucket over to a new owner.
    HandOver,
    /// The owner fails; a new one starts after every loan has expired.
    OwnerLost,
}

#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) now: u64,
    rate: Rate,
    bucket: Bucket,
    loans: [Loans; 2],
    pub(crate) messages: Vec<Message>,
    /// Times at which statements were admitted.
    pub(crate) admitted: Vec<u64>,
    /// Lag of the hosts' clocks behind the owner's, in milliseconds; a fault if it is over the margin.
    clock_lag_ms: u64,
}

impl Fleet {
    pub(crate) fn new(rate: Rate, clock_lag_ms: u64) -> Self {
        Self {
            now: 10_000,
            rate,
            bucket: Bucket::full(rate, 10_000),
            loans: [Loans::default(), Loans::default()],
            messages: Vec::new(),
            admitted: Vec::new(),
            clock_lag_ms,
        }
    }

    /// Runs a step; the error describes a time window with too many statements.
    pub(crate) fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Advance(ms) => self.now += ms,
            Step::Take(host) => {
                if self.loans[host].take(self.now - self.clock_lag_ms) == Take::Admitted {
                    self.admitted.push(self.now);
                    return self.check();
                }
            }
            Step::Request(host) => {
                if let Some(request) = self.loans[host].request(self.now, 1) {
                    self.messages.push(Message::Request(host, request));
                }
            }
            Step::Deliver(choice) => self.deliver(choice),
            Step::Lose(choice) => self.lose(choice),
            Step::ReturnUnspent(host) => {
                if let Some(settled) = self.loans[host].return_unspent(self.now) {
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
        if self.messages.is_empty() {
            return;
        }
        match self.messages.remove(choice % self.messages.len()) {
            Message::Request(host, request) => {
                let answer =
                    self.bucket
                        .lend(self.now, request.tokens, MAX_WAIT_MS, &request.settled);
                self.messages
                    .push(Message::Answer(host, request.asked_at, answer));
            }
            Message::Answer(host, asked_at, answer) => {
                let received_at = self.now - self.clock_lag_ms;
                self.loans[host].receive(received_at, asked_at, Some(answer));
            }
        }
    }

    fn lose(&mut self, choice: usize) {
        if self.messages.is_empty() {
            return;
        }
        let (Message::Request(host, LoanRequest { asked_at, .. })
        | Message::Answer(host, asked_at, _)) = self.messages.remove(choice % self.messages.len());
        self.loans[host].receive(self.now, asked_at, None);
    }

    /// Checks that no time window that ends now has more statements than the burst and the rate allow.
    fn check(&self) -> Result<(), String> {
        let Some(end) = self.admitted.last() else {
            return Ok(());
        };
        for (index, start) in self.admitted.iter().enumerate() {
            let count = (self.admitted.len() - index) as u64;
            let allowed = self.rate.burst * 1_000 + (end - start) * self.rate.per_second;
            if count * 1_000 > allowed {
                return Err(format!("{count} statements within {} ms", end - start));
            }
        }
        Ok(())
    }
}
