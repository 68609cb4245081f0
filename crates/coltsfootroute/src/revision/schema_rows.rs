//! Rows of the configuration in the table service.
//!
//! `schema/head` names the newest revision, `schema/revision/{20 digits}` holds each revision for good, and
//! `schema/key/{key}` leads from the idempotency key of an accepted submission to its revision. All three
//! are written in one transaction.

use super::{ContentDigest, Revision, RevisionRow, RowFault, SubmissionKey};
use crate::table::{RowKey, StoredRow};
use serde::{Serialize, de::DeserializeOwned};

/// Common start of the keys of [`RevisionRow`]s.
pub(super) const REVISION_PREFIX: &str = "schema/revision/";

/// Key of the [`HeadRow`](super::HeadRow).
pub(super) fn head_key() -> RowKey {
    RowKey::new("schema/head")
}

/// Key of a [`RevisionRow`]; keys sort like revisions.
pub(super) fn revision_key(revision: Revision) -> RowKey {
    RowKey::new(&format!("{REVISION_PREFIX}{:020}", revision.0))
}

/// Key of a [`KeyRow`](super::KeyRow).
pub(super) fn submission_key(key: &SubmissionKey) -> RowKey {
    RowKey::new(&format!("schema/key/{key}"))
}

/// A row's value as stored.
pub(super) fn encode(row: &impl Serialize) -> String {
    // Rows hold text and numbers only, which always have a JSON form.
    serde_json::to_string(row).expect("a row with a JSON form")
}

/// A row's value from what is stored.
pub(super) fn decode<T: DeserializeOwned>(row: &StoredRow) -> Result<T, RowFault> {
    serde_json::from_str(&row.value).map_err(|error| fault(&row.key, error.to_string()))
}

/// A revision's row, with the record checked against the document.
pub(super) fn decode_revision(row: &StoredRow) -> Result<RevisionRow, RowFault> {
    let revision: RevisionRow = decode(row)?;
    let is_under_own_key = revision_key(revision.record.revision) == row.key;
    let matches_content = ContentDigest::of_document(&revision.document) == revision.record.content;
    if is_under_own_key && matches_content && revision.record.is_intact() {
        Ok(revision)
    } else {
        Err(fault(&row.key, "record and document don't fit together".to_owned()))
    }
}

pub(super) fn fault(key: &RowKey, message: String) -> RowFault {
    RowFault { key: key.clone(), message }
}
