//! Errors that the proxy reports to callers.

use hemlockcrank_core::request::Outcome;

use crate::pg::Severity;

/// An error response, with the outcome of the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) severity: Severity,
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
    pub(crate) outcome: Outcome,
}

impl Failure {
    pub(crate) fn new(
        sqlstate: &'static str,
        message: impl Into<String>,
        outcome: Outcome,
    ) -> Self {
        Self {
            severity: Severity::Error,
            sqlstate,
            message: message.into(),
            outcome,
        }
    }

    fn not_run(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self::new(sqlstate, message, Outcome::NotRun)
    }

    /// Raises the severity to fatal, so that the connection is closed too.
    pub(crate) fn into_fatal(mut self) -> Self {
        self.severity = Severity::Fatal;
        self
    }

    /// Text of the detail field: the outcome. Every error response has it.
    pub(crate) fn detail(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "outcome: not run",
            Outcome::Ran => "outcome: ran",
            Outcome::Unknown => "outcome: unknown",
        }
    }

    pub(crate) fn too_many_callers() -> Self {
        Self::not_run("53300", "this host has too many callers")
    }

    pub(crate) fn no_lease() -> Self {
        Self::not_run("57P03", "this host is cut off from the control group")
    }

    pub(crate) fn bad_key() -> Self {
        Self::not_run("28P01", "workspace or key is not valid").into_fatal()
    }

    pub(crate) fn key_withdrawn() -> Self {
        Self::not_run("28000", "the key of this connection was withdrawn").into_fatal()
    }

    pub(crate) fn host_leaving() -> Self {
        Self::not_run("57P01", "this host leaves service; connect again").into_fatal()
    }

    pub(crate) fn over_rate(reason: impl std::fmt::Display) -> Self {
        Self::not_run("53400", reason.to_string())
    }

    pub(crate) fn busy(reason: impl std::fmt::Display) -> Self {
        Self::not_run("53000", reason.to_string())
    }

    pub(crate) fn no_service(service: &str) -> Self {
        let message = format!("service \"{service}\" is not open to this workspace");
        Self::not_run("3D000", message)
    }

    pub(crate) fn no_database(reason: &str) -> Self {
        Self::not_run("57P03", reason)
    }

    pub(crate) fn read_only_route() -> Self {
        Self::not_run("25006", "this route is open to all and only reads")
    }

    pub(crate) fn unsupported(feature: &str) -> Self {
        Self::not_run("0A000", format!("{feature} is not supported by the proxy"))
    }

    pub(crate) fn transaction_lost() -> Self {
        Self::not_run(
            "40000",
            "the connection to the database was lost; the transaction rolled back",
        )
    }

    pub(crate) fn transaction_failed() -> Self {
        Self::not_run("25P02", "the transaction is aborted until its end")
    }

    pub(crate) fn read_lost() -> Self {
        Self::not_run(
            "08006",
            "the connection to the database was lost within the answer",
        )
    }

    pub(crate) fn outcome_unknown() -> Self {
        let message = "the database did not confirm the commit; it may or may not have run";
        Self::new("08007", message, Outcome::Unknown)
    }

    pub(crate) fn already_ran(request: &str) -> Self {
        let message =
            format!("request \"{request}\" has run; its answer is not available any more");
        Self::new("23505", message, Outcome::Ran)
    }

    pub(crate) fn invalid_setting(name: &str, reason: impl std::fmt::Display) -> Self {
        Self::not_run("22023", format!("hemlockcrank.{name}: {reason}"))
    }

    pub(crate) fn protocol_error(reason: impl std::fmt::Display) -> Self {
        Self::not_run("08P01", reason.to_string()).into_fatal()
    }
}
