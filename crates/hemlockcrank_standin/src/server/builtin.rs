//! The status view and the functions that the hosts require of a database, and the activity view.

use super::{Session, one_row};
use crate::{
    engine::{Rows, SqlError},
    member::lock,
};

impl Session {
    /// Result of a query to one of the built-in views or functions; `None` for any other query.
    pub(super) fn builtin(&self, text: &str) -> Result<Option<Rows>, SqlError> {
        let text = text.trim().trim_end_matches(';');
        if text.contains("FROM hemlockcrank_status") {
            return Ok(Some(self.status()));
        }
        if let Some(pid) = text.strip_prefix("SELECT state FROM pg_stat_activity WHERE pid = ") {
            let pid: i32 = pid.parse().unwrap_or(0);
            let is_active = lock(&self.member.active_pids).contains(&pid);
            let state = if is_active { "active" } else { "idle" };
            return Ok(Some(one_row(&[("state", state)])));
        }
        let Some(call) = text.strip_prefix("SELECT hemlockcrank_") else {
            return Ok(None);
        };
        let (name, arguments) = call.split_once('(').unwrap_or((call, ""));
        let arguments: Vec<&str> = arguments
            .trim_end_matches(')')
            .split(',')
            .map(|argument| argument.trim().trim_matches('\''))
            .collect();
        let term: u64 = arguments.first().and_then(|a| a.parse().ok()).unwrap_or(0);
        match name {
            "adopt" => self.member.adopt(term)?,
            "promote" => self.member.promote(term)?,
            "follow" => self.member.follow(term, arguments.get(1).unwrap_or(&""))?,
            other => return Err(SqlError::new("42883", format!("no function {other}"))),
        }
        Ok(Some(self.status()))
    }

    /// The row of `hemlockcrank_status`.
    pub(super) fn status(&self) -> Rows {
        let state = lock(&self.member.state);
        let last = state.last();
        let role: &str = state.role.into();
        one_row(&[
            ("adopted_term", &state.adopted_term.to_string()),
            ("role", role),
            ("last_term", &last.term.to_string()),
            ("last_index", &last.index.to_string()),
            ("source", state.source.as_deref().unwrap_or("")),
        ])
    }
}
