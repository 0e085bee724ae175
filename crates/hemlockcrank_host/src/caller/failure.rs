//! What a caller is told when a statement fails in the proxy.

use hemlockcrank_core::request::Outcome;

use crate::pg::Severity;

/// One failure, with its outcome.
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

    /// Ends the connection too.
    pub(crate) fn fatal(mut self) -> Self {
        self.severity = Severity::Fatal;
        self
    }

    /// Detail line that every failure carries.
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
        Self::not_run("28P01", "workspace or key is not valid").fatal()
    }

    pub(crate) fn key_withdrawn() -> Self {
        Self::not_run("28000", "the key of this connection was withdrawn").fatal()
    }

    pub(crate) fn leaving() -> Self {
        Self::not_run("57P01", "this host leaves service; connect again").fatal()
    }

    pub(crate) fn over_rate(why: impl std::fmt::Display) -> Self {
        Self::not_run("53400", why.to_string())
    }

    pub(crate) fn busy(why: impl std::fmt::Display) -> Self {
        Self::not_run("53000", why.to_string())
    }

    pub(crate) fn no_service(service: &str) -> Self {
        let message = format!("service \"{service}\" is not open to this workspace");
        Self::not_run("3D000", message)
    }

    pub(crate) fn no_database(why: &str) -> Self {
        Self::not_run("57P03", why)
    }

    pub(crate) fn read_only_route() -> Self {
        Self::not_run("25006", "this route is open to all and only reads")
    }

    pub(crate) fn unsupported(what: &str) -> Self {
        Self::not_run("0A000", format!("{what} is not supported by the proxy"))
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

    pub(crate) fn unknown() -> Self {
        let message = "the database did not confirm the commit; it may or may not have run";
        Self::new("08007", message, Outcome::Unknown)
    }

    pub(crate) fn ran(request: &str) -> Self {
        let message =
            format!("request \"{request}\" has run; its answer is not available any more");
        Self::new("23505", message, Outcome::Ran)
    }

    pub(crate) fn invalid_setting(name: &str, why: impl std::fmt::Display) -> Self {
        Self::not_run("22023", format!("hemlockcrank.{name}: {why}"))
    }

    pub(crate) fn protocol(why: impl std::fmt::Display) -> Self {
        Self::not_run("08P01", why.to_string()).fatal()
    }
}
