//! Faults injected into the execution of one statement.

/// Where a fault is triggered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The statement was received and has not run.
    BeforeRun,
    /// The statement has run; its answer was not sent.
    AfterRun,
    /// The first message of the answer was sent, the rest was not.
    MidAnswer,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Closes the connection.
    Close,
    /// Never answers again, and keeps the connection open.
    Silence,
    /// Delays the answer by this many milliseconds.
    DelayMs(u64),
}

/// A one-time fault, triggered by the first statement that matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Text that the statement must contain.
    pub needle: String,
    /// Where it is triggered.
    pub point: Point,
    /// What it does.
    pub action: Action,
}
