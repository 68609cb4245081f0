//! Rows by which cases outlast the nodes that know of them.

use std::time::Duration;

use super::{CaseNote, CaseTerm, RequestFingerprint};
use crate::table::{RowCondition, RowKey, RowWrite, StoredRow, TableReply, TableRequest};

/// Common start of the keys of cases.
const CASE_PREFIX: &str = "quarantine/";
/// Common start of the keys of trials.
const TRIAL_PREFIX: &str = "quarantine-trial/";
/// Cases read by a node that starts: as many as a platform's table service gives in one answer.
const PAGE_ROWS: usize = 500;

record_type! {
    /// The row of one case, `quarantine/{fingerprint}`.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct QuarantineRow {
        /// The case's last change.
        pub term: CaseTerm,
        /// When it was, by the writer's wall clock, in milliseconds since the Unix epoch.
        pub changed_ms: u64,
    }
}

impl QuarantineRow {
    /// Writes the row. The first change of a case is written once, whoever comes first; a later one over it.
    pub fn write(&self, fingerprint: RequestFingerprint) -> TableRequest {
        let is_first = self.term == CaseTerm::default().next();
        TableRequest::Transact(vec![RowWrite {
            key: RowKey::new(&format!("{CASE_PREFIX}{fingerprint}")),
            condition: if is_first { RowCondition::Absent } else { RowCondition::Any },
            // Numbers always have a JSON form.
            value: serde_json::to_string(self).ok(),
        }])
    }

    /// Asks for the rows of all cases.
    pub fn scan() -> TableRequest {
        let (prefix, after) = (CASE_PREFIX.to_owned(), String::new());
        TableRequest::Scan { prefix, after, limit: PAGE_ROWS }
    }

    /// The case of a row, as of the wall time `wall_ms`; `None` if it can't be read.
    pub fn read(row: &StoredRow, wall_ms: u64) -> Option<CaseNote> {
        let fingerprint = row.key.as_str().strip_prefix(CASE_PREFIX)?.parse().ok()?;
        let read: Self = serde_json::from_str(&row.value).ok()?;
        let age = Duration::from_millis(wall_ms.saturating_sub(read.changed_ms));
        Some(CaseNote { fingerprint, term: read.term, age })
    }
}

value_type! {
    /// Whether this node may make the trial of a case.
    pub enum TrialClaim {
        /// Yes, and no other.
        Granted,
        /// Another has made it, or may have.
        Used,
        /// The store can't say; it may be asked again.
        Unavailable,
    }
}

impl TrialClaim {
    /// What the store's reply to [`trial_claim`] says.
    pub fn of(reply: &TableReply) -> Self {
        match reply {
            TableReply::Committed => Self::Granted,
            // A claim that may stand can't be told from another node's.
            TableReply::Conflict(_) | TableReply::Uncertain | TableReply::Rows(_) => Self::Used,
            TableReply::Unavailable => Self::Unavailable,
        }
    }
}

/// Claims the one trial of a case: a conditional write, so that of all nodes one makes it.
pub fn trial_claim(fingerprint: RequestFingerprint, term: CaseTerm) -> TableRequest {
    TableRequest::Transact(vec![RowWrite {
        key: RowKey::new(&format!("{TRIAL_PREFIX}{fingerprint}-{}", term.0)),
        condition: RowCondition::Absent,
        value: Some("true".to_owned()),
    }])
}
