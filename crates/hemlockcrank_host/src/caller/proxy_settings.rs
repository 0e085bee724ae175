//! The proxy's own session settings, `hemlockcrank.*`.

use std::time::Duration;

use hemlockcrank_core::session::{Token, Watermark};

use super::failure::Failure;

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 200;

/// Values of the proxy's own settings, and the session's last write.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxySettings {
    /// `hemlockcrank.session` as set by the caller: the session's reads need only be this fresh.
    pub(crate) token: Option<Watermark>,
    /// `hemlockcrank.max_age`: maximum age of the data that reads return.
    pub(crate) max_age: Option<Duration>,
    /// `hemlockcrank.request_id` of the next write.
    pub(crate) request_id: Option<String>,
    /// Last write of this session.
    pub(crate) last_write: Option<Watermark>,
}

impl ProxySettings {
    /// Sets one setting; an empty value clears it.
    pub(crate) fn set(&mut self, name: &str, value: &str) -> Result<(), Failure> {
        let invalid = |reason: &dyn std::fmt::Display| Failure::invalid_setting(name, reason);
        match name {
            "session" if value.is_empty() => self.token = None,
            "session" => {
                let token: Token = value.parse().map_err(|error| invalid(&error))?;
                self.token = Some(token.0);
            }
            "max_age" if value.is_empty() => self.max_age = None,
            "max_age" => self.max_age = Some(parse_age(value).ok_or_else(|| invalid(&AGE_FORMAT))?),
            "request_id" if value.is_empty() => self.request_id = None,
            "request_id" if value.len() > MAX_REQUEST_ID_BYTES => {
                return Err(invalid(&"a request id has 200 bytes at most"));
            }
            "request_id" => self.request_id = Some(value.to_owned()),
            _ => return Err(invalid(&"no such setting; see docs/CALLERS.md")),
        }
        Ok(())
    }

    /// Returns the value of one setting as text; empty if it is not set.
    pub(crate) fn get(&self, name: &str) -> Result<String, Failure> {
        match name {
            "session" => Ok(self
                .session_token()
                .map(|token| token.to_string())
                .unwrap_or_default()),
            "max_age" => Ok(self
                .max_age
                .map(|age| format!("{}ms", age.as_millis()))
                .unwrap_or_default()),
            "request_id" => Ok(self.request_id.clone().unwrap_or_default()),
            _ => Err(Failure::invalid_setting(
                name,
                "no such setting; see docs/CALLERS.md",
            )),
        }
    }

    /// The token that a later read needs to see this session's state: the later of the token that
    /// the caller set and the last write. If they are of different databases, the last write.
    pub(crate) fn session_token(&self) -> Option<Token> {
        let token = self.token.as_ref();
        let last_write = self.last_write.as_ref();
        let same_database = |a: &Watermark, b: &Watermark| a.database == b.database;
        let latest = match (token, last_write) {
            (Some(a), Some(b)) if same_database(a, b) && a.position > b.position => Some(a),
            (_, Some(b)) => Some(b),
            (a, None) => a,
        };
        latest.cloned().map(Token)
    }
}

/// Error text for an age that cannot be parsed.
const AGE_FORMAT: &str = "an age is a number with `ms` or `s`, such as 250ms or 10s";

/// Parses a number with `ms` or `s`; a number without a unit is in seconds.
fn parse_age(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Duration::from_millis);
    }
    let number = text.strip_suffix('s').unwrap_or(text);
    number.trim().parse().ok().map(Duration::from_secs)
}
