//! How a call to the platform went.

use std::fmt::Display;

use hemlockcrank_core::{Name, metering::Answer, succession::PromotionReply};
use strum::IntoStaticStr;

use crate::event::{Event, Timeline};

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallEnd {
    /// There was no connection in time, or the settings have no address.
    NotConnected,
    /// Nothing was sent, because too little of the lease was left.
    LeaseShort,
    /// The platform answered with a status.
    Answered,
    /// The answer has no status.
    Unreadable,
    /// The connection was reset because the lease ended before the answer.
    LeaseEnded,
    /// No answer within the time limit.
    TimedOut,
    /// The platform closed or reset the connection.
    ClosedByPeer,
    /// The socket failed in another way.
    Failed,
}

/// A call to the platform that has ended. Times are in milliseconds since it was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// What the answer means.
    pub reply: PromotionReply,
    /// How it ended.
    pub end: CallEnd,
    /// HTTP status of the answer.
    pub status: Option<u16>,
    /// When the connection was open.
    pub connected_ms: Option<u64>,
    /// Time left of the lease when it was checked, in milliseconds.
    pub lease_left_ms: Option<u64>,
    /// Whether the connection was set to be reset when the call is given up.
    pub resets: bool,
    /// Longest time that the kernel keeps sent bytes without an acknowledgement, in milliseconds;
    /// `None` if the kernel refused the limit.
    pub unacknowledged_ms: Option<u64>,
    /// When the socket had taken the whole request.
    pub written_ms: Option<u64>,
}

impl CallReport {
    /// A call of which nothing was sent.
    pub fn not_sent(end: CallEnd) -> Self {
        Self {
            reply: PromotionReply::NotSent,
            end,
            status: None,
            connected_ms: None,
            lease_left_ms: None,
            resets: false,
            unacknowledged_ms: None,
            written_ms: None,
        }
    }

    /// Logs the report of a call that ended `ended_ms` after it was requested.
    pub(super) fn log(
        &self,
        timeline: &Timeline,
        (service, member): (&Name, &Name),
        number: u64,
        ended_ms: u64,
    ) {
        let subject: [(&str, &dyn Display); 2] = [("service", service), ("member", member)];
        self.emit(
            timeline,
            Event::PromotionCallEnded,
            &subject,
            number,
            ended_ms,
        );
    }

    /// Logs the report of a call that ended `ended_ms` after it was requested.
    pub(super) fn log_usage(&self, timeline: &Timeline, window: u64, number: u64, ended_ms: u64) {
        let subject: [(&str, &dyn Display); 1] = [("window", &window)];
        self.emit(timeline, Event::UsageCallEnded, &subject, number, ended_ms);
    }

    /// What the answer means for the report of a window's usage.
    pub(super) fn usage_answer(&self) -> Answer {
        match self.reply {
            PromotionReply::Accepted => Answer::Confirmed,
            PromotionReply::NotSent => Answer::NotDone,
            PromotionReply::NotRunning | PromotionReply::Unknown => Answer::Unknown,
        }
    }

    fn emit(
        &self,
        timeline: &Timeline,
        event: Event,
        subject: &[(&str, &dyn Display)],
        number: u64,
        ended_ms: u64,
    ) {
        let end: &str = self.end.into();
        let (connected_ms, lease_left_ms) = (shown(self.connected_ms), shown(self.lease_left_ms));
        let (unacknowledged_ms, written_ms) =
            (shown(self.unacknowledged_ms), shown(self.written_ms));
        let status = shown(self.status);
        let call: [(&str, &dyn Display); 9] = [
            ("call", &number),
            ("connected_ms", &connected_ms),
            ("lease_left_ms", &lease_left_ms),
            ("resets", &self.resets),
            ("unacknowledged_ms", &unacknowledged_ms),
            ("written_ms", &written_ms),
            ("ended_ms", &ended_ms),
            ("end", &end),
            ("status", &status),
        ];
        timeline.emit(event, &[subject, &call].concat());
    }
}

/// Text of a value, or a dash.
fn shown<T>(value: Option<T>) -> String
where
    T: Display,
{
    value.map_or_else(|| "-".into(), |value| value.to_string())
}
