//! Table rows that keep cases beyond the lifetime of the nodes that know them.

use std::time::Duration;

use super::{CaseNote, CaseTerm, RequestFingerprint};
use crate::table::{RowCondition, RowKey, RowWrite, StoredRow, TableReply, TableRequest};

/// Prefix of the row keys of cases.
const CASE_PREFIX: &str = "quarantine/";
/// Prefix of the row keys of trials.
const TRIAL_PREFIX: &str = "quarantine-trial/";
/// Largest number of cases that a starting node reads: as many rows as a platform's table service returns in one
/// answer.
const PAGE_ROWS: usize = 500;

record_type! {
    /// Row of one case, `quarantine/{fingerprint}`.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct QuarantineRow {
        /// Term that began with the case's last change.
        pub term: CaseTerm,
        /// Time of that change by the writer's wall clock, in milliseconds since the Unix epoch.
        pub changed_ms: u64,
    }
}

impl QuarantineRow {
    /// Creates a request that writes the row. The first change of a case is written only if the row is absent, so that
    /// only the first of several nodes writes it; later changes overwrite the row.
    pub fn write(&self, fingerprint: RequestFingerprint) -> TableRequest {
        let is_first = self.term == CaseTerm::default().next();
        TableRequest::Transact(vec![RowWrite {
            key: RowKey::new(&format!("{CASE_PREFIX}{fingerprint}")),
            condition: if is_first { RowCondition::Absent } else { RowCondition::Any },
            // Numbers always have a JSON form.
            value: serde_json::to_string(self).ok(),
        }])
    }

    /// Creates a request for the rows of all cases.
    pub fn scan() -> TableRequest {
        let (prefix, after) = (CASE_PREFIX.to_owned(), String::new());
        TableRequest::Scan { prefix, after, limit: PAGE_ROWS }
    }

    /// Parses the case in a row, with its age at the wall time `wall_ms`; `None` if the row can't be parsed.
    pub fn read(row: &StoredRow, wall_ms: u64) -> Option<CaseNote> {
        let fingerprint = row.key.as_str().strip_prefix(CASE_PREFIX)?.parse().ok()?;
        let read: Self = serde_json::from_str(&row.value).ok()?;
        let age = Duration::from_millis(wall_ms.saturating_sub(read.changed_ms));
        Some(CaseNote { fingerprint, term: read.term, age })
    }
}

value_type! {
    /// Result of a claim for the trial of a case.
    pub enum TrialClaim {
        /// This node, and no other, may run the trial.
        Granted,
        /// Another node has claimed the trial or may have.
        Used,
        /// The store is unavailable; the claim may be retried.
        Unavailable,
    }
}

impl TrialClaim {
    /// Interprets the store's reply to [`trial_claim`].
    pub fn of(reply: &TableReply) -> Self {
        match reply {
            TableReply::Committed => Self::Granted,
            // A claim that may have taken effect can't be distinguished from another node's.
            TableReply::Conflict(_) | TableReply::Uncertain | TableReply::Rows(_) => Self::Used,
            TableReply::Unavailable => Self::Unavailable,
        }
    }
}

/// Creates a request that claims the only trial of a case, by a conditional write so that a single node runs it.
pub fn trial_claim(fingerprint: RequestFingerprint, term: CaseTerm) -> TableRequest {
    TableRequest::Transact(vec![RowWrite {
        key: RowKey::new(&format!("{TRIAL_PREFIX}{fingerprint}-{}", term.0)),
        condition: RowCondition::Absent,
        value: Some("true".to_owned()),
    }])
}
