//! What a guard answers to a call.

use std::{ops::RangeInclusive, time::Duration};

use bytes::Bytes;
use coltsfootroute::{
    event::HybridStamp,
    outcome::{CallOutcome, RefusalReason},
    routing::UpstreamOccupancy,
    upstream_limit::UpstreamNotice,
};

use super::{
    HeaderLine, LevelNote,
    header_line::{read_lines, write_lines},
    upstream_notice::{read_notice, write_notice},
};
use crate::{
    peer_capnp::{Outcome, call_reply},
    wire_error::WireError,
};

/// What a guard answers to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// The upstream's answer, or the refusal.
    pub body: ReplyBody,
    /// Whether this call has run.
    pub outcome: CallOutcome,
    /// Whether the call was sent to an upstream, whatever came of it.
    pub reached_upstream: bool,
    /// Whether the upstream made a nested call that was not served, after all attempts made for it.
    pub failed_below: bool,
    /// Admission levels of the called service and of the services below it.
    pub levels: Vec<LevelNote>,
    /// Time the upstream took, zero if it was not called.
    pub upstream_time: Duration,
    /// What the upstream has stated in its answers; `None` if it is neither limited nor leaving.
    pub notice: Option<UpstreamNotice>,
    /// How full the guard was when it replied; `None` if it was not asked, or has no upstream.
    pub occupancy: Option<UpstreamOccupancy>,
    /// The guard's hybrid clock; zero until the reply leaves its node.
    pub stamp: HybridStamp,
}

/// The upstream's answer, or the refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyBody {
    /// The upstream's complete answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Media type; empty if the upstream stated none.
        content_type: String,
        /// Headers to pass on; empty for an answer in the product's own form.
        headers: Vec<HeaderLine>,
        /// Body.
        body: Bytes,
        /// Whether the answer is the stored one of an earlier run under the same key.
        replayed: bool,
    },
    /// There is no answer.
    Refusal {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back, in whole milliseconds.
        retry_after: Duration,
    },
}

/// Statuses of the final answers of HTTP.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether `status` is one of a final answer of HTTP.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

impl CallReply {
    /// A refusal without levels.
    pub fn refusal(reason: RefusalReason, outcome: CallOutcome, retry_after: Duration) -> Self {
        Self {
            body: ReplyBody::Refusal { reason, retry_after },
            outcome,
            reached_upstream: false,
            failed_below: false,
            levels: Vec::new(),
            upstream_time: Duration::ZERO,
            notice: None,
            occupancy: None,
            stamp: HybridStamp::default(),
        }
    }

    /// The refusal's reason, if it is one.
    pub fn reason(&self) -> Option<RefusalReason> {
        match self.body {
            ReplyBody::Refusal { reason, .. } => Some(reason),
            ReplyBody::Answer { .. } => None,
        }
    }

    /// Writes the reply into `builder`.
    pub fn write(&self, mut builder: call_reply::Builder<'_>) {
        match &self.body {
            ReplyBody::Answer { status, content_type, headers, body, replayed } => {
                let count = u32::try_from(headers.len()).unwrap_or(u32::MAX);
                write_lines(headers, builder.reborrow().init_answer_headers(count));
                let mut answer = builder.reborrow().init_answer();
                answer.set_status(*status);
                answer.set_content_type(content_type.as_str());
                answer.set_body(body);
                answer.set_replayed(*replayed);
            }
            ReplyBody::Refusal { reason, retry_after } => {
                // Nodes of an earlier build do not know the reason.
                let is_limit = *reason == RefusalReason::UpstreamLimit;
                builder.set_is_upstream_limit(is_limit);
                let sent_reason = if is_limit { RefusalReason::Overload } else { *reason };
                let mut refusal = builder.reborrow().init_refusal();
                refusal.set_reason(sent_reason.as_str());
                refusal.set_retry_after_seconds(whole_seconds(*retry_after));
                let millis = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                refusal.set_retry_after_millis(millis);
            }
        }
        builder.set_reached_upstream(self.reached_upstream);
        builder.set_failed_below(self.failed_below);
        builder.set_outcome(match self.outcome {
            CallOutcome::Completed => Outcome::Completed,
            CallOutcome::NotRun => Outcome::NotRun,
            CallOutcome::Unknown => Outcome::Unknown,
        });
        builder
            .set_upstream_micros(u64::try_from(self.upstream_time.as_micros()).unwrap_or(u64::MAX));
        if let Some(occupancy) = self.occupancy {
            builder.set_occupancy_milli(occupancy.thousandths());
        }
        builder.set_stamp_millis(self.stamp.wall_ms);
        builder.set_stamp_counter(self.stamp.counter);
        if let Some(notice) = &self.notice {
            write_notice(notice, builder.reborrow().init_notice());
        }
        let count = u32::try_from(self.levels.len()).unwrap_or(u32::MAX);
        let mut list = builder.init_levels(count);
        for (index, note) in (0..count).zip(&self.levels) {
            note.write(list.reborrow().get(index));
        }
    }

    /// Reads a reply. An answer whose status is no final one counts as none, as it does at a guard of this build.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a field is malformed or out of range.
    pub fn read(reader: call_reply::Reader<'_>) -> Result<Self, WireError> {
        let body = match reader.which()? {
            call_reply::Which::Answer(answer) => ReplyBody::Answer {
                status: answer.get_status(),
                content_type: answer.get_content_type()?.to_str()?.to_owned(),
                headers: read_lines(reader.get_answer_headers()?)?,
                body: Bytes::copy_from_slice(answer.get_body()?),
                replayed: answer.get_replayed(),
            },
            call_reply::Which::Refusal(refusal) => ReplyBody::Refusal {
                reason: match reader.get_is_upstream_limit() {
                    true => RefusalReason::UpstreamLimit,
                    false => read_reason(refusal.get_reason()?.to_str()?)?,
                },
                retry_after: match refusal.get_retry_after_millis() {
                    0 => Duration::from_secs(refusal.get_retry_after_seconds().into()),
                    millis => Duration::from_millis(millis.into()),
                },
            },
        };
        let outcome = match reader.get_outcome()? {
            Outcome::Completed => CallOutcome::Completed,
            Outcome::NotRun => CallOutcome::NotRun,
            Outcome::Unknown => CallOutcome::Unknown,
        };
        let levels =
            reader.get_levels()?.iter().map(LevelNote::read).collect::<Result<Vec<_>, _>>()?;
        let upstream_time = Duration::from_micros(reader.get_upstream_micros());
        let stamp = HybridStamp::new(reader.get_stamp_millis(), reader.get_stamp_counter());
        let reached_upstream = reader.get_reached_upstream();
        let failed_below = reader.get_failed_below();
        let notice = match reader.has_notice() {
            true => Some(read_notice(reader.get_notice()?)?),
            false => None,
        };
        let occupancy = UpstreamOccupancy::from_thousandths(reader.get_occupancy_milli());
        let reply = Self {
            body,
            outcome,
            reached_upstream,
            failed_below,
            levels,
            upstream_time,
            notice,
            occupancy,
            stamp,
        };
        Ok(reply.with_final_status())
    }

    /// Replaces an answer whose status is no final one by the loss of the answer.
    fn with_final_status(self) -> Self {
        match self.body {
            ReplyBody::Answer { status, .. } if !is_final_status(status) => Self {
                body: ReplyBody::Refusal {
                    reason: RefusalReason::UpstreamFailed,
                    retry_after: Duration::ZERO,
                },
                outcome: CallOutcome::Unknown,
                ..self
            },
            _ => self,
        }
    }
}

fn read_reason(text: &str) -> Result<RefusalReason, WireError> {
    RefusalReason::ALL
        .into_iter()
        .find(|reason| reason.as_str() == text)
        .ok_or(WireError::OutOfRange { field: "reason" })
}

/// Seconds of `time`, rounded up: a caller that knows whole seconds only must not come back too soon.
pub fn whole_seconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis().div_ceil(1_000)).unwrap_or(u32::MAX)
}
