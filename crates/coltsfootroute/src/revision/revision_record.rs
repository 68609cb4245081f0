//! Record of an accepted revision.

use super::{ChainDigest, ContentDigest, Revision, RevisionDraft, SubmissionKey};
use crate::name::{OperatorName, ServiceName};

record_type! {
    /// Who changed the configuration, when and to what. Never changed once written.
    ///
    /// Invariant of an intact record: `chain` is the SHA-256 of the compact JSON array of the other fields,
    /// in the order declared here.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct RevisionRecord {
        /// The revision.
        pub revision: Revision,
        /// Chain digest of the record before; [`ChainDigest::ROOT`] for revision 1.
        pub parent: ChainDigest,
        /// Digest of the whole configuration at this revision.
        pub content: ContentDigest,
        /// Who submitted it.
        pub operator: OperatorName,
        /// Wall clock of the node that took the submission, in milliseconds since the Unix epoch. Says
        /// nothing about order.
        pub wall_ms: u64,
        /// Idempotency key of the submission.
        pub key: SubmissionKey,
        /// Services added, changed or removed, in order of their names.
        pub changed: Vec<ServiceName>,
        /// Digest of this record and so of all before it.
        pub chain: ChainDigest,
    }
}

impl RevisionRecord {
    /// The record that follows the one at `revision` whose chain digest is `parent`.
    pub fn new(revision: Revision, parent: ChainDigest, draft: RevisionDraft) -> Self {
        let RevisionDraft { content, operator, wall_ms, key, changed } = draft;
        let (revision, chain) = (revision.next(), ChainDigest::ROOT);
        let mut record = Self { revision, parent, content, operator, wall_ms, key, changed, chain };
        record.chain = record.computed_chain();
        record
    }

    /// The record of a revision whose history another system keeps. It names no parent, so that every
    /// node makes the same record of the same revision.
    pub fn of_external(revision: Revision, content: ContentDigest, operator: OperatorName) -> Self {
        let (parent, chain) = (ChainDigest::ROOT, ChainDigest::ROOT);
        let key = SubmissionKey::new(&format!("outside-{}", revision.0));
        let (wall_ms, changed) = (0, Vec::new());
        let mut record = Self { revision, parent, content, operator, wall_ms, key, changed, chain };
        record.chain = record.computed_chain();
        record
    }

    /// Whether the chain digest is that of the other fields.
    pub fn is_intact(&self) -> bool {
        self.chain == self.computed_chain()
    }

    fn computed_chain(&self) -> ChainDigest {
        let Self { revision, parent, content, operator, wall_ms, key, changed, chain: _ } = self;
        let fields = (revision, parent, content, operator, wall_ms, key, changed);
        // Text and numbers always have a JSON form.
        ChainDigest::of_bytes(&serde_json::to_vec(&fields).expect("a record with a JSON form"))
    }
}
