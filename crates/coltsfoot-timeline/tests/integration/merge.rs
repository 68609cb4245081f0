//! One order over all nodes, gaps, filters.

use coltsfoot_timeline::merge::{
    EventFilter, EventGap, FollowBuffer, MergedTimeline, TimelineEntry,
};
use coltsfootroute::{
    event::{EventRecord, HybridStamp},
    id::{Incarnation, RequestId},
    name::ServiceName,
};

use crate::util::{START_MS, completed, event, event_of, node, places};

fn all() -> EventFilter {
    EventFilter::default()
}

fn events(entries: &[TimelineEntry]) -> Vec<EventRecord> {
    let event = |entry: &TimelineEntry| match entry {
        TimelineEntry::Event(record) => Some(record.clone()),
        TimelineEntry::Gap(_) => None,
    };
    entries.iter().filter_map(event).collect()
}

fn gaps(entries: &[TimelineEntry]) -> Vec<EventGap> {
    let gap = |entry: &TimelineEntry| match entry {
        TimelineEntry::Event(_) => None,
        TimelineEntry::Gap(gap) => Some(*gap),
    };
    entries.iter().filter_map(gap).collect()
}

#[test]
fn events_are_ordered_by_stamp_then_node_then_sequence() {
    let mut later_count = event(1, 2, 5);
    later_count.stamp.counter = 1;
    let records = vec![event(2, 0, 5), later_count, event(1, 1, 5), event(3, 0, 9), event(1, 0, 5)];

    let timeline = MergedTimeline::new(records);

    assert_eq!(places(timeline.records()), [(1, 0), (1, 1), (2, 0), (1, 2), (3, 0)]);
}

#[test]
fn an_event_collected_twice_stands_once() {
    let timeline = MergedTimeline::new(vec![event(1, 0, 0), event(1, 1, 1), event(1, 0, 0)]);

    assert_eq!(places(timeline.records()), [(1, 0), (1, 1)]);
}

#[test]
fn missing_events_are_shown_before_the_next_one() {
    let timeline = MergedTimeline::new(vec![event(1, 0, 0), event(2, 0, 1), event(1, 3, 2)]);

    let entries = timeline.entries(&all());

    let gap = EventGap {
        node: node(1),
        life: Incarnation(1),
        first: 1,
        last: 2,
        after: Some(HybridStamp::new(START_MS, 0)),
        before: HybridStamp::new(START_MS + 2, 0),
    };
    assert_eq!(gap.count(), 2);
    assert_eq!(entries[2], TimelineEntry::Gap(gap));
    assert_eq!(entries.len(), 4);
}

#[test]
fn a_missing_start_is_a_gap() {
    let timeline = MergedTimeline::new(vec![event(1, 7, 0)]);

    let entries = timeline.entries(&all());

    let gap = gaps(&entries)[0];
    assert_eq!((gap.first, gap.last, gap.after), (0, 6, None));
}

#[test]
fn a_restart_is_no_gap() {
    let mut restarted = event(1, 0, 9);
    restarted.incarnation = Incarnation(2);

    let entries =
        MergedTimeline::new(vec![event(1, 0, 0), event(1, 1, 1), restarted]).entries(&all());

    assert!(gaps(&entries).is_empty());
}

#[test]
fn a_life_is_not_taken_for_the_rest_of_the_one_before() {
    let mut restarted = event(1, 1, 9);
    restarted.incarnation = Incarnation(2);

    let entries = MergedTimeline::new(vec![event(1, 0, 0), restarted]).entries(&all());

    let gap = gaps(&entries)[0];
    assert_eq!((gap.life, gap.first, gap.last), (Incarnation(2), 0, 0));
}

#[test]
fn what_a_filter_leaves_out_is_not_missing() {
    let records = vec![
        event_of(1, 0, 0, completed(1, "logbook")),
        event_of(1, 1, 1, completed(2, "logbook")),
        event_of(1, 2, 2, completed(1, "medicals")),
    ];
    let filter = EventFilter { request: Some(RequestId(1)), ..all() };

    let entries = MergedTimeline::new(records).entries(&filter);

    assert_eq!(places(&events(&entries)), [(1, 0), (1, 2)]);
    assert!(gaps(&entries).is_empty());
}

#[test]
fn filters_hold_together() {
    let records = vec![
        event_of(1, 0, 0, completed(1, "logbook")),
        event_of(1, 1, 10, completed(1, "logbook")),
        event_of(1, 2, 15, completed(1, "medicals")),
        event(1, 3, 16),
        event_of(1, 4, 20, completed(1, "logbook")),
        event_of(2, 0, 10, completed(1, "logbook")),
    ];
    let filter = EventFilter {
        service: Some(ServiceName::new("logbook")),
        hosts: vec![node(1)],
        from_ms: Some(START_MS + 10),
        to_ms: Some(START_MS + 20),
        ..all()
    };

    let entries = MergedTimeline::new(records).entries(&filter);

    assert_eq!(places(&events(&entries)), [(1, 1)]);
}

#[test]
fn a_gap_that_may_hide_an_event_is_shown_under_any_request() {
    let records = vec![event(1, 0, 0), event(1, 2, 20), event(1, 3, 30), event(1, 5, 50)];
    let filter = EventFilter {
        request: Some(RequestId(1)),
        from_ms: Some(START_MS + 10),
        to_ms: Some(START_MS + 15),
        ..all()
    };

    let entries = MergedTimeline::new(records).entries(&filter);

    let first: Vec<u64> = gaps(&entries).iter().map(|gap| gap.first).collect();
    assert_eq!(first, [1]);
}

#[test]
fn following_waits_for_nodes_asked_early() {
    let mut buffer = FollowBuffer::new();

    // Host 1 was asked before its event at 5 ms, host 2 after its own at 6 ms.
    let first = buffer.push_round(vec![event(1, 0, 0), event(2, 0, 6)], &all());
    let second = buffer.push_round(vec![event(1, 1, 5), event(1, 2, 9)], &all());
    let third = buffer.push_round(Vec::new(), &all());

    assert!(first.is_empty());
    assert_eq!(places(&events(&second)), [(1, 0), (1, 1), (2, 0)]);
    assert_eq!(places(&events(&third)), [(1, 2)]);
    assert!(gaps(&second).is_empty() && gaps(&third).is_empty());
}
