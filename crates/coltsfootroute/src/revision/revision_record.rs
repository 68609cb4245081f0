//! Record of an accepted revision.

use super::{ChainDigest, ContentDigest, Revision, RevisionDraft, SubmissionKey};
use crate::name::{OperatorName, ServiceName};

record_type! {
    /// Record of who changed the configuration, when, and to what content. Immutable once written.
    ///
    /// Invariant of an intact record: `chain` is the SHA-256 of the compact JSON array of the other fields,
    /// in order of declaration.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RevisionRecord {
        /// Number of the revision.
        pub revision: Revision,
        /// Chain digest of the preceding record; [`ChainDigest::ROOT`] for revision 1.
        pub parent: ChainDigest,
        /// Digest of the whole configuration at this revision.
        pub content: ContentDigest,
        /// Operator who submitted the revision.
        pub operator: OperatorName,
        /// Wall-clock time at the node that received the submission, in milliseconds since the Unix epoch. Doesn't
        /// determine the order of revisions.
        pub wall_ms: u64,
        /// Idempotency key of the submission.
        pub key: SubmissionKey,
        /// Services added, changed or removed, sorted by name.
        pub changed: Vec<ServiceName>,
        /// Digest of this record and, through `parent`, of all records before it.
        pub chain: ChainDigest,
    }
}

impl RevisionRecord {
    /// Creates the record that follows the one of `revision`, whose chain digest is `parent`.
    pub fn new(revision: Revision, parent: ChainDigest, draft: RevisionDraft) -> Self {
        let RevisionDraft { content, operator, wall_ms, key, changed } = draft;
        let (revision, chain) = (revision.next(), ChainDigest::ROOT);
        let mut record = Self { revision, parent, content, operator, wall_ms, key, changed, chain };
        record.chain = record.computed_chain();
        record
    }

    /// Creates the record of a revision whose history is kept by another system. The record names no parent, so every
    /// node creates the same record for the same revision.
    pub fn of_external(revision: Revision, content: ContentDigest, operator: OperatorName) -> Self {
        let (parent, chain) = (ChainDigest::ROOT, ChainDigest::ROOT);
        let key = SubmissionKey::new(&format!("outside-{}", revision.0));
        let (wall_ms, changed) = (0, Vec::new());
        let mut record = Self { revision, parent, content, operator, wall_ms, key, changed, chain };
        record.chain = record.computed_chain();
        record
    }

    /// Returns whether the chain digest matches the other fields.
    pub fn is_intact(&self) -> bool {
        self.chain == self.computed_chain()
    }

    fn computed_chain(&self) -> ChainDigest {
        let Self { revision, parent, content, operator, wall_ms, key, changed, chain: _ } = self;
        let fields = (revision, parent, content, operator, wall_ms, key, changed);
        // Serialisation can't fail: the fields contain only text and numbers.
        ChainDigest::of_bytes(
            &serde_json::to_vec(&fields).expect("records of text and numbers serialise to JSON"),
        )
    }
}
