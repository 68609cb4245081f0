//! Suspension of a host, during which its monotonic clock stops while time goes on for all other hosts.

use std::time::Duration;

use coltsfootroute::{
    membership::HeartbeatWatch,
    table::TokenBucket,
    time::{MonotonicTime, SuspensionDetector},
};

const START: MonotonicTime = MonotonicTime::from_millis(60_000);

#[test]
fn a_suspension_is_noticed_once() {
    let mut detector = SuspensionDetector::default();

    assert_eq!(detector.detect(Duration::from_millis(1)), None);
    assert_eq!(detector.detect(Duration::from_secs(4)), Some(Duration::from_secs(4)));
    assert_eq!(detector.detect(Duration::from_millis(4_001)), None);
    assert_eq!(detector.detect(Duration::from_secs(6)), Some(Duration::from_secs(2)));
}

#[test]
fn an_upstream_is_not_considered_dead_because_its_host_was_suspended() {
    let mut watch = HeartbeatWatch::new(START);
    let waking = START + Duration::from_secs(60);
    assert!(watch.is_silent(waking));

    watch.note_suspension(waking);

    assert!(!watch.is_silent(waking + Duration::from_secs(5)));
    assert!(watch.is_silent(waking + Duration::from_millis(5_001)));
}

#[test]
fn tokens_unused_during_a_suspension_are_not_saved_beyond_the_burst() {
    let mut bucket = TokenBucket::new(2.0, 3.0);
    let waking = START + Duration::from_secs(60);

    let taken = (0..100).filter(|_| bucket.acquire(waking, 0.0, Duration::ZERO).is_some()).count();

    assert_eq!(taken, 3);
}
