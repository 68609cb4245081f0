//! Text, JSON lines and picture.

use coltsfoot_timeline::{
    args::parse_time,
    merge::{EventFilter, MergedTimeline, TimelineEntry},
    output::{SvgPicture, is_gap_line, json_line, text_line},
};
use coltsfootroute::event::{EventRecord, HybridStamp};
use rstest::rstest;

use crate::util::{START_MS, event, node};

fn entries() -> Vec<TimelineEntry> {
    let records = vec![event(1, 0, 0), event(2, 0, 40), event(1, 3, 90)];
    MergedTimeline::new(records).entries(&EventFilter::default())
}

#[test]
fn text_starts_with_the_time() {
    let lines: Vec<String> = entries().iter().map(text_line).collect();

    assert_eq!(
        lines[0],
        "time=2023-11-14T22:13:20.000Z event=drain-begun in_flight=1 unsent=1 node=127.0.0.1:4711 \
         life=1 sequence=0 stamp=1700000000000.0"
    );
    assert_eq!(
        lines[2],
        "time=2023-11-14T22:13:20.090Z event=gap missing=2 first=1 last=2 node=127.0.0.1:4711 life=1"
    );
}

#[test]
fn a_stamp_beyond_the_calendar_is_shown_as_it_is() {
    let mut record = event(1, 0, 0);
    record.stamp = HybridStamp::new(u64::MAX, 1);

    let line = text_line(&TimelineEntry::Event(record));

    assert!(line.starts_with("time=18446744073709551615.1 event="), "{line}");
}

#[test]
fn json_lines_tell_gaps_from_events() {
    let lines: Vec<String> = entries().iter().map(json_line).collect();

    let is_gap: Vec<bool> = lines.iter().map(|line| is_gap_line(line)).collect();

    assert_eq!(is_gap, [false, false, true, false]);
    assert_eq!(EventRecord::from_json(&lines[0]), Ok(event(1, 0, 0)));
}

#[test]
fn the_picture_has_a_row_for_every_node() {
    let entries = entries();
    let hosts = [node(1), node(2), node(3)];

    let picture = SvgPicture::new(&entries, hosts).draw().unwrap();

    let rows = hosts.map(|host| picture.lines().filter(|line| **line == host.to_string()).count());
    assert_eq!(rows, [1, 1, 1], "{picture}");
    assert_eq!(picture.matches("<circle").count(), 3, "one mark an event");
    assert_eq!(picture.matches("#F0C83C").count(), 1, "one box a gap");
}

#[test]
fn an_empty_picture_is_drawn() {
    let picture = SvgPicture::new(&[], []).draw().unwrap();

    assert!(picture.starts_with("<svg"), "{picture}");
}

#[rstest]
#[case("1700000000000", Some(START_MS))]
#[case("2023-11-14T22:13:20Z", Some(START_MS))]
#[case("2023-11-14T22:13:20.007Z", Some(START_MS + 7))]
#[case("yesterday", None)]
fn times_are_milliseconds_or_rfc_3339(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_time(text).ok(), expected);
}
