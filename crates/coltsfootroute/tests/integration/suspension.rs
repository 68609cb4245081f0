//! A host that was suspended: its steady clock stood still, everybody else's time went on.

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
fn an_upstream_is_not_gone_because_its_host_slept() {
    let mut watch = HeartbeatWatch::new(START);
    let waking = START + Duration::from_secs(60);
    assert!(watch.is_silent(waking));

    watch.note_suspension(waking);

    assert!(!watch.is_silent(waking + Duration::from_secs(5)));
    assert!(watch.is_silent(waking + Duration::from_millis(5_001)));
}

#[test]
fn what_a_sleeping_host_did_not_spend_is_not_saved_beyond_its_burst() {
    let mut bucket = TokenBucket::new(2.0, 3.0);
    let waking = START + Duration::from_secs(60);

    let taken = (0..100).filter(|_| bucket.take(waking, 0.0, Duration::ZERO).is_some()).count();

    assert_eq!(taken, 3);
}
