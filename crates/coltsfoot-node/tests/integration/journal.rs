//! The journal: order, gaps, and one line an event.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use coltsfoot_node::{
    journal::{EventJournal, LOG_TARGET, event_logger},
    settings::LogSettings,
};
use coltsfootroute::{
    event::{EventKind, EventRecord, HybridStamp},
    id::{Incarnation, NodeId},
};
use log::{Level, LevelFilter, Log, Record};
use rstest::rstest;

use crate::util::node_metrics::node_metrics;

/// Output that a test can read.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedOutput {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

fn journal() -> EventJournal {
    EventJournal::new(NodeId("127.0.0.1:4711".parse().unwrap()), Incarnation(1))
}

fn event() -> EventKind {
    EventKind::DrainBegun { in_flight: 1, unsent: 1 }
}

fn sequences(records: &[EventRecord]) -> Vec<u64> {
    records.iter().map(|record| record.sequence).collect()
}

#[test]
fn events_of_all_threads_stand_in_one_order() {
    let journal = journal();
    let reader = journal.reader();
    let senders: Vec<_> = (0..4).map(|_| journal.sender()).collect();
    let handle = journal.spawn(node_metrics()).unwrap();

    std::thread::scope(|scope| {
        for sender in &senders {
            scope.spawn(|| (0..100).for_each(|_| sender.emit(event())));
        }
    });
    handle.stop();

    let records = reader.read_since(0, usize::MAX);
    assert_eq!(sequences(&records), (0..400).collect::<Vec<_>>());
    assert!(records.is_sorted_by(|left, right| left.stamp < right.stamp));
    assert_eq!(reader.dropped(), 0);
}

#[test]
fn what_does_not_fit_the_queue_leaves_a_gap() {
    let journal = journal().with_queue_events(2);
    let (sender, reader) = (journal.sender(), journal.reader());
    // Nothing takes from the queue yet: events 2, 3 and 4 don't fit.
    (0..5).for_each(|_| sender.emit(event()));

    let handle = journal.spawn(node_metrics()).unwrap();
    while reader.read_since(0, 2).len() < 2 {
        std::thread::yield_now();
    }
    sender.emit(event());
    handle.stop();

    assert_eq!(sequences(&reader.read_since(0, 10)), [0, 1, 5]);
    assert_eq!(reader.dropped(), 3);
}

#[test]
fn records_are_read_as_json_lines() {
    let journal = journal().with_ring_records(2);
    let (sender, reader) = (journal.sender(), journal.reader());
    let handle = journal.spawn(node_metrics()).unwrap();
    (0..3).for_each(|_| sender.emit(event()));
    handle.stop();

    let body = reader.json_lines_since(0, 10);

    let records: Vec<_> = body.lines().map(|line| EventRecord::from_json(line).unwrap()).collect();
    assert_eq!(records, reader.read_since(0, 10));
    assert_eq!(sequences(&records), [1, 2]);
}

#[test]
fn events_are_stamped_after_what_was_observed() {
    let journal = journal();
    let (sender, reader) = (journal.sender(), journal.reader());
    let handle = journal.spawn(node_metrics()).unwrap();
    let own = sender.stamp();
    let ahead = HybridStamp::new(own.wall_ms + 2_000, 0);

    sender.observe(ahead).unwrap();
    sender.emit(event());
    handle.stop();

    assert!(reader.read_since(0, 1)[0].stamp > ahead);
}

#[rstest]
#[case(LOG_TARGET, Level::Info, "level=info event=started\n")]
#[case(LOG_TARGET, Level::Debug, "")]
#[case("hyper", Level::Error, "")]
fn the_log_holds_the_nodes_own_lines_up_to_the_level(
    #[case] target: &str,
    #[case] level: Level,
    #[case] expected: &str,
) {
    let output = SharedOutput::default();
    let logger = event_logger(&LogSettings { level: LevelFilter::Info }, output.clone());

    logger.log(
        &Record::builder()
            .target(target)
            .level(level)
            .args(format_args!("level=info event=started"))
            .build(),
    );

    assert_eq!(output.text(), expected);
}
