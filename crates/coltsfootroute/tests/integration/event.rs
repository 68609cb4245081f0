//! Tests of events: the format of log lines for arbitrary values, the order of the logical clock, visible gaps.

use std::net::SocketAddr;

use coltsfootroute::{
    event::{ClockDrift, EventKind, EventRecord, EventRing, HybridClock, HybridStamp},
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    name::{OperationName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;

const START_MS: u64 = 1_700_000_000_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(sequence: u64, kind: EventKind) -> EventRecord {
    let stamp = HybridStamp::new(START_MS, 3);
    EventRecord { stamp, node: NodeId(address(4711)), incarnation: Incarnation(5), sequence, kind }
}

fn refused(service: &str, operation: &str) -> EventKind {
    EventKind::RequestRefused {
        request: RequestId(u128::MAX),
        service: ServiceName::new(service),
        operation: OperationName::new(operation),
        importance: Importance::High,
        reason: RefusalReason::Overload,
        outcome: CallOutcome::NotRun,
        attempts: 1,
        shed_by: None,
        severity: 1_250,
        revision: 7,
        elapsed_us: 90,
    }
}

fn in_force(revision: u64) -> EventKind {
    EventKind::RevisionInForce { revision, previous: None, from: None, waited_ms: 3 }
}

fn store_down(error: &str) -> EventKind {
    EventKind::StoreDown { error: error.to_owned() }
}

/// Splits a line into pairs and unquotes the values; `None` if the line is malformed.
fn pairs(line: &str) -> Option<Vec<(String, String)>> {
    let mut pairs = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, tail) = rest.split_once('=')?;
        let (value, tail) = match tail.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted)?,
            None => bare_value(tail),
        };
        pairs.push((key.to_owned(), value));
        rest = match tail {
            "" => "",
            _ => tail.strip_prefix(' ').filter(|rest| !rest.is_empty())?,
        };
    }
    Some(pairs)
}

fn bare_value(text: &str) -> (String, &str) {
    let end = text.find(' ').unwrap_or(text.len());
    (text[..end].to_owned(), &text[end..])
}

fn quoted_value(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    loop {
        match chars.next()? {
            (end, '"') => return Some((value, &text[end + 1..])),
            (_, '\\') => value.push(escaped(&mut chars)?),
            (_, c) => value.push(c),
        }
    }
}

fn escaped(chars: &mut std::str::CharIndices<'_>) -> Option<char> {
    match chars.next()?.1 {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        '0' => Some('\0'),
        'u' => {
            let digits: String = chars.map(|(_, c)| c).skip(1).take_while(|c| *c != '}').collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        c => Some(c),
    }
}

fn value_of<'a>(pairs: &'a [(String, String)], key: &str) -> Option<&'a str> {
    pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
}

#[test]
fn a_line_names_the_event_first() {
    let line = record(7, refused("logbook", "read")).to_key_values();

    assert_eq!(
        line,
        "event=request-refused request=ffffffffffffffffffffffffffffffff service=logbook \
         operation=read importance=high reason=overload outcome=not-run attempts=1 \
         severity=1250 revision=7 elapsed_us=90 node=127.0.0.1:4711 life=5 sequence=7 \
         stamp=1700000000000.3"
    );
}

#[rstest]
#[case("two words", r#"error="two words""#)]
#[case("", r#"error="""#)]
#[case("\"x", r#"error="\"x""#)]
#[case("a\\n", r#"error="a\\n""#)]
#[case("a=b", r#"error="a=b""#)]
#[case("\" x=\"", r#"error="\" x=\"""#)]
#[case("end\nevent=started", r#"error="end\nevent=started""#)]
#[case("\u{2028}\u{202e}\u{1b}[2J", r#"error="\u{2028}\u{202e}\u{1b}[2J""#)]
fn values_are_quoted_where_needed(#[case] error: &str, #[case] expected: &str) {
    let line = record(0, store_down(error)).to_key_values();

    assert!(line.contains(&format!(" {expected} ")), "{line}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_value_breaks_the_line(service in any::<String>(), operation in any::<String>()) {
        let line = record(1, refused(&service, &operation)).to_key_values();

        let pairs = pairs(&line);

        prop_assert!(!line.contains(char::is_control), "{}", line);
        let pairs = pairs.unwrap_or_default();
        prop_assert_eq!(pairs.len(), 15);
        prop_assert_eq!(value_of(&pairs, "service"), Some(service.as_str()));
        prop_assert_eq!(value_of(&pairs, "operation"), Some(operation.as_str()));
    }

    #[test]
    fn json_lines_are_read_back(service in any::<String>(), request in any::<u128>(), sequence: u64) {
        let mut kind = refused(&service, "read");
        if let EventKind::RequestRefused { request: field, .. } = &mut kind {
            *field = RequestId(request);
        }
        let written = record(sequence, kind);

        let line = written.to_json();

        prop_assert!(!line.contains('\n'));
        prop_assert_eq!(EventRecord::from_json(&line), Ok(written));
    }

    #[test]
    fn stamps_rise_whatever_the_wall_clock_does(steps in proptest::collection::vec(any::<u32>(), 1..50)) {
        let mut clock = HybridClock::new();
        let mut last = clock.last();

        for step in steps {
            let stamp = clock.tick(u64::from(step));
            prop_assert!(stamp > last);
            last = stamp;
        }
    }
}

#[test]
fn other_fields_are_read_back() {
    let kinds = [
        EventKind::MemberUp { member: NodeId(address(1)), incarnation: Incarnation(9) },
        in_force(2),
        EventKind::UpstreamLeft { service: ServiceName::new("a"), upstream: address(2) },
    ];

    for kind in kinds {
        let written = record(1, kind);
        assert_eq!(EventRecord::from_json(&written.to_json()), Ok(written));
    }
}

#[rstest]
#[case("")]
#[case("{}")]
#[case(
    r#"{"stamp":{"wall_ms":1,"counter":0},"node":"127.0.0.1:1","life":1,"sequence":0,"event":"surprise"}"#
)]
fn lines_that_hold_no_record_are_refused(#[case] line: &str) {
    assert!(EventRecord::from_json(line).is_err());
}

#[test]
fn an_absent_value_is_left_out() {
    let line = record(0, in_force(1)).to_key_values();

    assert!(line.starts_with("event=revision-in-force revision=1 waited_ms=3 node="), "{line}");
}

#[test]
fn names_of_kinds_are_distinct() {
    let names: indexmap::IndexSet<_> = EventKind::NAMES.iter().collect();

    assert_eq!(names.len(), EventKind::NAMES.len());
}

#[test]
fn an_effect_is_stamped_after_its_cause_on_a_slower_host() {
    let mut sender = HybridClock::new();
    let mut receiver = HybridClock::new();
    let cause = sender.tick(START_MS + 2_000);

    receiver.observe(cause, START_MS).unwrap();
    let effect = receiver.tick(START_MS);

    assert!(effect > cause);
}

#[test]
fn a_backward_step_keeps_the_order_and_then_catches_up() {
    let mut clock = HybridClock::new();
    let before = clock.tick(START_MS);

    let stepped = clock.tick(START_MS - 60_000);
    let caught_up = clock.tick(START_MS + 1);

    assert_eq!(stepped, HybridStamp::new(START_MS, before.counter + 1));
    assert_eq!(caught_up, HybridStamp::new(START_MS + 1, 0));
}

#[test]
fn a_stamp_beyond_the_drift_limit_is_rejected() {
    let mut clock = HybridClock::new().with_max_ahead_ms(100);
    let far = HybridStamp::new(START_MS + 101, 0);

    let refusal = clock.observe(far, START_MS);

    assert_eq!(refusal, Err(ClockDrift { stamp: far, ahead_ms: 101 }));
    assert_eq!(clock.tick(START_MS), HybridStamp::new(START_MS, 0));
}

#[test]
fn a_full_counter_carries_into_the_wall_time() {
    let mut clock = HybridClock::new();
    clock.observe(HybridStamp::new(START_MS, u32::MAX), START_MS).unwrap();

    assert_eq!(clock.tick(START_MS), HybridStamp::new(START_MS + 1, 0));
}

#[test]
fn a_stamp_is_read_back() {
    let stamp = HybridStamp::new(START_MS, 4);

    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    assert!("12".parse::<HybridStamp>().is_err());
}

#[test]
fn a_full_ring_shows_the_gap() {
    let mut ring = EventRing::new(3);
    for sequence in 0..5 {
        ring.push(record(sequence, store_down("x")));
    }

    let sequences = |since, limit| -> Vec<u64> {
        ring.read_since(since, limit).iter().map(|record| record.sequence).collect()
    };

    assert_eq!(sequences(0, 10), [2, 3, 4]);
    assert_eq!(sequences(3, 1), [3]);
    assert!(sequences(5, 10).is_empty());
    assert_eq!(sequences(6, 10), [2, 3, 4], "a number from an earlier incarnation");
    assert_eq!(ring.evicted(), 2);
}
