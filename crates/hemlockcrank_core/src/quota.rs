//! Fleet-wide rates: one owner per workspace lends small amounts to the hosts.
//!
//! The owner keeps a [`Bucket`]; each host keeps a [`Loans`] per workspace. A loan ends sooner for the
//! borrower than for the owner, and a loan that ends unsettled counts as spent. The owner asserts
//!
//! ```text
//! available + outstanding <= burst
//! ```
//!
//! after every step; refilling is the only thing that adds, so over any window the hosts together admit
//! at most `burst + rate * window`.
//!
//! A new owner starts from the old one's [`Handover`], or empty once the old owner's authority and all
//! its loans have surely ended.

mod bucket;
mod loans;
mod portion;

pub use bucket::{Answer, Bucket, Handover, Loan, Settlement};
pub use loans::{LoanRequest, Loans, Take};
pub use portion::{
    Allocation, PORTION_MS, Portion, PortionGrant, PortionRequest, TOTAL_PARTS, lendable, max_held,
    uses_portions,
};

/// Life of a loan for the borrower, counted from when it asked, in milliseconds.
pub const LOAN_MS: u64 = 400;
/// Addition for the owner, which covers clock drift, in milliseconds.
pub const LOAN_MARGIN_MS: u64 = 100;
