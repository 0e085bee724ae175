//! Settings of reports of usage.

use hemlockcrank_core::metering::Windows;
use serde::{Deserialize, Serialize};

/// Reports of usage to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Length of a window, in seconds.
    pub window_s: u64,
    /// Time after the end of a window in which its report is due, in seconds.
    pub delay_s: u64,
}

impl Usage {
    /// The same for decisions.
    pub fn windows(self) -> Windows {
        Windows {
            length_ms: self.window_s.saturating_mul(1_000),
            delay_ms: self.delay_s.saturating_mul(1_000),
        }
    }
}
