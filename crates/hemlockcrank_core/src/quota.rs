//! Fleet-wide rate limits: one owner per workspace lends a few tokens at a time to the hosts.
//!
//! The owner keeps a [`Bucket`]; each host keeps its [`Loans`], one set per workspace. A loan expires
//! earlier for the borrower than for the owner, and a loan that expires unsettled counts as spent. The
//! owner asserts
//!
//! ```text
//! available + outstanding <= burst
//! ```
//!
//! after every step. Only refilling adds tokens, so in any time window the hosts together admit at most
//! `burst + rate * window`.
//!
//! A new owner continues from the previous owner's [`Handover`]. Without one it starts empty, after the
//! previous owner's authority and all its loans are certain to have expired.

mod bucket;
mod loans;
mod portion;

pub use bucket::{Answer, Bucket, Handover, Loan, Settlement};
pub use loans::{LoanRequest, Loans, Pause, Take};
pub use portion::{
    Allocation, PORTION_MS, Portion, PortionGrant, PortionRequest, TOTAL_PARTS, has_many_hosts,
    lendable, max_held, max_held_over_rate, uses_portions,
};

/// Lifetime of a loan for the borrower, counted from when it sent the request, in milliseconds.
pub const LOAN_MS: u64 = 400;
/// Extra lifetime of a loan for the owner, which covers clock drift, in milliseconds.
pub const LOAN_MARGIN_MS: u64 = 100;
