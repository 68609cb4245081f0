//! Collection from nodes over HTTP.

use coltsfoot_timeline::collect::{EventCollector, NodeCursor};
use coltsfootroute::id::Incarnation;

use crate::util::{FakeNode, event, places};

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

#[test]
fn a_round_reads_all_pages_and_the_next_only_what_is_new() {
    let records: Vec<_> = (0..5).map(|sequence| event(1, sequence, sequence)).collect();
    let fake = FakeNode::new(records.clone());
    let mut collector = EventCollector::new(&[fake.address]);

    let first = block_on(collector.collect_round());
    fake.set_records([records.clone(), vec![event(1, 5, 5)]].concat());
    let second = block_on(collector.collect_round());

    assert_eq!(first.records, records);
    assert_eq!(places(&second.records), [(1, 5)]);
}

#[test]
fn a_node_that_restarted_is_read_from_its_start() {
    let fake = FakeNode::new(vec![event(1, 0, 0), event(1, 1, 1)]);
    let mut collector = EventCollector::new(&[fake.address]);
    block_on(collector.collect_round());
    let mut records: Vec<_> = (0..5).map(|sequence| event(1, sequence, 10 + sequence)).collect();
    records.iter_mut().for_each(|record| record.incarnation = Incarnation(2));
    fake.set_records(records.clone());

    let round = block_on(collector.collect_round());

    assert_eq!(round.records, records);
}

#[test]
fn a_node_that_does_not_answer_is_named_and_the_others_are_read() {
    let fake = FakeNode::new(vec![event(1, 0, 0)]);
    let broken = FakeNode::broken();
    let mut collector = EventCollector::new(&[broken, fake.address]);

    let round = block_on(collector.collect_round());

    assert_eq!(places(&round.records), [(1, 0)]);
    assert_eq!(round.failures.len(), 1);
    assert_eq!(round.failures[0].0, broken);
}

#[test]
fn a_cursor_moves_past_the_page() {
    let mut cursor = NodeCursor::new();

    let is_kept = cursor.advance(&[event(1, 4, 0), event(1, 7, 1)]);

    assert!(is_kept);
    assert_eq!(cursor.next(), 8);
}
