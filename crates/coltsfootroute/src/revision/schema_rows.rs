//! Keys and encoding of the configuration's rows in the table service.
//!
//! `schema/head` names the newest revision, `schema/revision/{20 digits}` stores each revision permanently, and
//! `schema/key/{key}` maps the idempotency key of an accepted submission to its revision. All three are written in
//! one transaction.

use super::{ContentDigest, Revision, RevisionRow, RowFault, SubmissionKey};
use crate::table::{RowKey, StoredRow};
use serde::{Serialize, de::DeserializeOwned};

/// Common prefix of the keys of [`RevisionRow`]s.
pub(super) const REVISION_PREFIX: &str = "schema/revision/";

/// Returns the key of the [`HeadRow`](super::HeadRow).
pub(super) fn head_key() -> RowKey {
    RowKey::new("schema/head")
}

/// Returns the key of a [`RevisionRow`]. Keys sort in the order of their revisions.
pub(super) fn revision_key(revision: Revision) -> RowKey {
    RowKey::new(&format!("{REVISION_PREFIX}{:020}", revision.0))
}

/// Returns the key of a [`KeyRow`](super::KeyRow).
pub(super) fn submission_key(key: &SubmissionKey) -> RowKey {
    RowKey::new(&format!("schema/key/{key}"))
}

/// Encodes a row's value for storage.
pub(super) fn encode(row: &impl Serialize) -> String {
    // Serialisation can't fail: rows contain only text and numbers.
    serde_json::to_string(row).expect("rows of text and numbers serialise to JSON")
}

/// Decodes a row's stored value.
pub(super) fn decode<T: DeserializeOwned>(row: &StoredRow) -> Result<T, RowFault> {
    serde_json::from_str(&row.value).map_err(|error| fault(&row.key, error.to_string()))
}

/// Decodes a revision's row and checks its record against its key and document.
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
