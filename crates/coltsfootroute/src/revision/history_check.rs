//! Verification of a history by its hash chain.

use super::{ChainDigest, HistoryFault, Revision, RevisionRecord};

/// Verifies a whole history, from revision 1 on. Truncation at the end isn't detected: to detect it, compare the last
/// chain digest with that of the configuration in force.
///
/// # Errors
///
/// Returns the first fault found.
pub fn verify_history(records: &[RevisionRecord]) -> Result<(), HistoryFault> {
    verify_segment(Revision::ZERO, ChainDigest::ROOT, records)
}

/// Verifies the part of a history after the record of `revision`, whose chain digest is `chain`.
///
/// # Errors
///
/// Returns the first fault found.
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
