//! Failures at chosen points of one statement.

/// Where a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The statement arrived and has not run.
    BeforeRun,
    /// The statement has run; its answer has not left.
    AfterRun,
    /// The first message of the answer has left, the rest has not.
    MidAnswer,
}

/// What happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The connection closes.
    Close,
    /// The connection goes silent for good, without closing.
    Silence,
    /// The answer waits this many milliseconds.
    DelayMs(u64),
}

/// One fault, used up by the first statement that matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Text that the statement must contain.
    pub needle: String,
    /// Where it strikes.
    pub point: Point,
    /// What happens.
    pub action: Action,
}
