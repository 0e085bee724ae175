//! Errors of the commands and their exit statuses.

use std::path::PathBuf;

use hemlockcrank_core::record::Invalid;
use hemlockcrank_host::settings::SettingsError;
use hemlockctl::ClientError;
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// Exit status when a host failed or was not reached.
const EXIT_FAILED: u8 = 1;
/// Exit status for bad arguments or input.
const EXIT_USAGE: u8 = 2;
/// Exit status when a change was refused.
const EXIT_REFUSED: u8 = 3;
/// Exit status when a change is accepted and not in force everywhere in time.
const EXIT_WAITING: u8 = 4;

/// A command that failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Failure {
    /// Neither the option nor the variable names a host.
    #[error("no host was given")]
    #[diagnostic(
        code(ctl::no_host),
        help("use --host ADDRESS or set HEMLOCKCRANK_HOST")
    )]
    NoHost,
    /// Neither a token file nor the variable provides a token.
    #[error("no operator token was given")]
    #[diagnostic(
        code(ctl::no_token),
        help("use --token-file FILE or set HEMLOCKCRANK_TOKEN")
    )]
    NoToken,
    /// An unknown kind of record.
    #[error("`{text}` is not a kind of record")]
    #[diagnostic(
        code(ctl::kind),
        help("kinds are workspace, key, rate, service, zone and database")
    )]
    Kind {
        /// Argument of the command line.
        text: String,
    },
    /// A field filter without `=`.
    #[error("`{text}` is not of the form NAME=VALUE")]
    #[diagnostic(code(ctl::field), help("for example --field workspace=teclado"))]
    Field {
        /// Argument of the command line.
        text: String,
    },
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}")]
    #[diagnostic(code(ctl::unreadable))]
    Unreadable {
        /// Path from the command line.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A record file is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Record(Box<RecordFailure>),
    /// A settings file is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(Box<SettingsError>),
    /// A host refused or was not reached.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Client(#[from] ClientError),
}

/// A record file that is not valid, with the location of the error.
#[derive(Debug, Error, Diagnostic)]
#[error("the record is not valid: {error}")]
#[diagnostic(
    code(ctl::record),
    help("docs/RECORDS.md lists the fields of both schema versions")
)]
pub(crate) struct RecordFailure {
    pub(crate) error: Invalid,
    #[source_code]
    pub(crate) source_code: NamedSource<String>,
    #[label("here")]
    pub(crate) span: SourceSpan,
}

impl Failure {
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Self::Client(ClientError::NotAccepted { .. }) => EXIT_REFUSED,
            Self::Client(ClientError::Waiting { .. }) => EXIT_WAITING,
            Self::Client(_) => EXIT_FAILED,
            _ => EXIT_USAGE,
        }
    }
}
