//! Log lines by `tracing`, on standard error.

use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Variable that filters the log.
const FILTER_VARIABLE: &str = "HEMLOCKCRANK_LOG";
/// Filter where the variable gives none.
const DEFAULT_FILTER: &str = "info";

/// Starts logging for the whole process; a second call changes nothing.
pub fn start(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
