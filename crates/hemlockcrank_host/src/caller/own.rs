//! The proxy's own settings of a session, `hemlockcrank.*`.

use std::time::Duration;

use hemlockcrank_core::session::{Token, Watermark};

use super::failure::Failure;

/// Longest request id, in bytes.
const MAX_REQUEST_BYTES: usize = 200;

/// Values of the proxy's own settings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Own {
    /// `hemlockcrank.session` as the caller gave it: its reads need only be this fresh.
    pub(crate) token: Option<Watermark>,
    /// `hemlockcrank.max_age`: reads may be this old.
    pub(crate) max_age: Option<Duration>,
    /// `hemlockcrank.request_id` of the next write.
    pub(crate) request: Option<String>,
    /// What this session has written.
    pub(crate) written: Option<Watermark>,
}

impl Own {
    /// Sets one setting; an empty value clears it.
    pub(crate) fn set(&mut self, name: &str, value: &str) -> Result<(), Failure> {
        let invalid = |why: &dyn std::fmt::Display| Failure::invalid_setting(name, why);
        match name {
            "session" if value.is_empty() => self.token = None,
            "session" => {
                let token: Token = value.parse().map_err(|error| invalid(&error))?;
                self.token = Some(token.0);
            }
            "max_age" if value.is_empty() => self.max_age = None,
            "max_age" => self.max_age = Some(parse_age(value).ok_or_else(|| invalid(&AGE_FORM))?),
            "request_id" if value.is_empty() => self.request = None,
            "request_id" if value.len() > MAX_REQUEST_BYTES => {
                return Err(invalid(&"a request id has 200 bytes at most"));
            }
            "request_id" => self.request = Some(value.to_owned()),
            _ => return Err(invalid(&"no such setting; see docs/CALLERS.md")),
        }
        Ok(())
    }

    /// Reads one setting.
    pub(crate) fn get(&self, name: &str) -> Result<String, Failure> {
        match name {
            "session" => Ok(self.present().map(|t| t.to_string()).unwrap_or_default()),
            "max_age" => Ok(self
                .max_age
                .map(|age| format!("{}ms", age.as_millis()))
                .unwrap_or_default()),
            "request_id" => Ok(self.request.clone().unwrap_or_default()),
            _ => Err(Failure::invalid_setting(
                name,
                "no such setting; see docs/CALLERS.md",
            )),
        }
    }

    /// The token that covers this session: what it was given and what it has written.
    pub(crate) fn present(&self) -> Option<Token> {
        let given = self.token.as_ref();
        let written = self.written.as_ref();
        let same = |a: &Watermark, b: &Watermark| a.database == b.database;
        let best = match (given, written) {
            (Some(a), Some(b)) if same(a, b) && a.position > b.position => Some(a),
            (_, Some(b)) => Some(b),
            (a, None) => a,
        };
        best.cloned().map(Token)
    }
}

/// How an age is written.
const AGE_FORM: &str = "an age is a number with `ms` or `s`, such as 250ms or 10s";

fn parse_age(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.trim().parse().ok().map(Duration::from_millis);
    }
    let number = text.strip_suffix('s').unwrap_or(text);
    number.trim().parse().ok().map(Duration::from_secs)
}
