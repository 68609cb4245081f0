//! Check of a history by its chain of digests.

use super::{ChainDigest, HistoryFault, Revision, RevisionRecord};

/// Checks a whole history, from revision 1 on. A tail cut off can't be seen: compare the last chain digest
/// with that of the configuration in force.
///
/// # Errors
///
/// The first fault found.
pub fn verify_history(records: &[RevisionRecord]) -> Result<(), HistoryFault> {
    verify_segment(Revision::ZERO, ChainDigest::ROOT, records)
}

/// Checks the part of a history that follows the record of `revision`, whose chain digest is `chain`.
///
/// # Errors
///
/// The first fault found.
pub fn verify_segment(
    revision: Revision,
    chain: ChainDigest,
    records: &[RevisionRecord],
) -> Result<(), HistoryFault> {
    let (mut expected, mut parent) = (revision.next(), chain);
    for record in records {
        let found = record.revision;
        if found != expected {
            return Err(HistoryFault::Gap { expected, found });
        }
        if record.parent != parent {
            return Err(HistoryFault::Parent(found));
        }
        if !record.is_intact() {
            return Err(HistoryFault::Altered(found));
        }
        (expected, parent) = (found.next(), record.chain);
    }
    Ok(())
}
