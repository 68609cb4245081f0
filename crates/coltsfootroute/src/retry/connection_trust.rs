//! Decision whether a connection to the upstream is used again after an answer.

use std::time::Duration;

use super::AnswerKind;
use crate::time::MonotonicTime;

/// Time for which connections are closed after each answer of a kind that the upstream sends without being asked.
const DOUBT_TIME: Duration = Duration::from_secs(10);
/// Number of connections that may be opened to save the answer of one call: a connection costs an upstream far less than the
/// work of a call.
const CONNECTIONS_PER_LOSS: u32 = 20;
/// Number of answers after which the counts of a kind are halved, so that the latest ones count most.
const COUNTED_ANSWERS: u32 = 400;

/// Decides whether a connection to the upstream is used again after an answer.
///
/// If an upstream sends an answer twice, the second copy comes when the next call on the connection may already have been
/// sent. That call is then given up together with the connection, although its own answer would follow. While copies are
/// frequent, it is better for callers to close the connections that may carry one.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTrust {
    not_run: KindTrust,
    ran: KindTrust,
}

/// Trust in the connections after answers of one kind.
#[derive(Clone, Debug, Default)]
struct KindTrust {
    /// Answers whose connections were kept.
    kept: u32,
    /// Calls that were given up for a copy of such an answer.
    lost: u32,
    /// Until this time no connection is kept.
    doubted_until: MonotonicTime,
}

impl ConnectionTrust {
    /// Records an answer of `kind` to its own call; returns whether its connection may be used again.
    pub fn keeps_connection(&mut self, now: MonotonicTime, kind: AnswerKind) -> bool {
        let trust = self.of_kind(kind);
        if now < trust.doubted_until {
            return false;
        }
        trust.kept += 1;
        if trust.kept >= COUNTED_ANSWERS {
            trust.kept /= 2;
            trust.lost /= 2;
        }
        true
    }

    /// Records that a call was given up, because an answer of `kind` to another call came first.
    pub fn note_lost(&mut self, now: MonotonicTime, kind: AnswerKind) {
        let trust = self.of_kind(kind);
        trust.lost += 1;
        if trust.lost * CONNECTIONS_PER_LOSS > trust.kept {
            *trust = KindTrust { doubted_until: now + DOUBT_TIME, ..KindTrust::default() };
        }
    }

    fn of_kind(&mut self, kind: AnswerKind) -> &mut KindTrust {
        match kind {
            AnswerKind::NotRun => &mut self.not_run,
            AnswerKind::Ran => &mut self.ran,
        }
    }
}
