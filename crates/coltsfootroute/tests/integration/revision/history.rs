//! Tests of the hash chain of records, the detection of tampering and the recent history.

use super::world::{World, submission_request};
use coltsfootroute::{
    id::NodeId,
    name::OperatorName,
    revision::{
        ChainDigest, HistoryFault, InForceRecord, RecentHistory, Revision, RevisionRecord,
        verify_history, verify_segment,
    },
};
use rstest::rstest;

fn history(length: u64) -> Vec<RevisionRecord> {
    let mut world = World::default();
    for index in 0..length {
        let name = format!("k{index}");
        world.submit(
            &name,
            submission_request("amina", &name, index, &format!("licences {}", index + 1)),
        );
        world.run(&name);
    }
    world.history()
}

#[rstest]
#[case::operator(|records: &mut Vec<RevisionRecord>| records[1].operator = OperatorName::new("juma"),
    HistoryFault::Altered(Revision(2)))]
#[case::time(|records: &mut Vec<RevisionRecord>| records[2].wall_ms += 1, HistoryFault::Altered(Revision(3)))]
#[case::dropped(|records: &mut Vec<RevisionRecord>| drop(records.remove(1)),
    HistoryFault::Gap { expected: Revision(2), found: Revision(3) })]
#[case::swapped(|records: &mut Vec<RevisionRecord>| records.swap(1, 2),
    HistoryFault::Gap { expected: Revision(2), found: Revision(3) })]
#[case::parent(|records: &mut Vec<RevisionRecord>| records[2].parent = ChainDigest::ROOT,
    HistoryFault::Parent(Revision(3)))]
fn tampering_is_found(#[case] tamper: fn(&mut Vec<RevisionRecord>), #[case] fault: HistoryFault) {
    let mut records = history(4);

    tamper(&mut records);

    assert_eq!(verify_history(&records), Err(fault));
}

#[test]
fn a_segment_is_checked_from_its_anchor() {
    let records = history(40);

    let anchor = &records[9];

    assert_eq!(records.len(), 40, "more than a page");
    assert_eq!(verify_segment(anchor.revision, anchor.chain, &records[10..]), Ok(()));
    assert_eq!(
        verify_segment(anchor.revision, ChainDigest::ROOT, &records[10..]),
        Err(HistoryFault::Parent(Revision(11)))
    );
}

#[test]
fn recent_history_is_bounded_and_records_each_node_once() {
    let records = history(5);
    let mut recent = RecentHistory::new(3);
    let node = NodeId(([127, 0, 0, 1], 1).into());
    let note = |record: &RevisionRecord| InForceRecord {
        revision: record.revision,
        chain: record.chain,
        node,
        wall_ms: 1,
    };

    for record in records.iter().chain(&records) {
        recent.push(record.clone());
    }
    recent.note_in_force(note(&records[0]));
    recent.note_in_force(note(&records[4]));
    recent.note_in_force(note(&records[4]));
    recent.note_in_force(InForceRecord { chain: ChainDigest::ROOT, ..note(&records[3]) });

    let shown: Vec<_> = recent
        .after(Revision::ZERO)
        .map(|history| (history.record.revision.0, history.in_force.len()))
        .collect();
    assert_eq!(shown, [(3, 0), (4, 0), (5, 1)]);
}
