//! Reports of crashes that wait to be sent to other nodes.

use std::time::Duration;

use coltsfootroute::{
    quarantine::{CrashId, CrashReport, MAX_SUSPECTS, ReportQueue, RequestFingerprint},
    time::MonotonicTime,
};

/// Crashes in the time that most of them need to be told: forty requests that crash three upstreams each.
const CRASHES: u64 = 120;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000) + Duration::from_secs(seconds)
}

fn report(crash: u64, suspects: usize) -> CrashReport {
    let suspects = (0..suspects).map(|suspect| RequestFingerprint(suspect as u128)).collect();
    CrashReport { suspects, ..CrashReport::new(CrashId(crash), Duration::ZERO) }
}

fn crashes(reports: &[CrashReport]) -> Vec<u64> {
    reports.iter().map(|report| report.crash.0).collect()
}

/// Guards against reports that no other node ever hears of, while many requests crash upstreams.
#[test]
fn small_reports_of_many_crashes_are_sent_at_once() {
    let mut queue = ReportQueue::new();

    for crash in 0..CRASHES {
        queue.push(at(0), report(crash, 8));
    }

    assert_eq!(crashes(&queue.take_due(at(0))), (0..CRASHES).collect::<Vec<_>>());
}

#[test]
fn what_does_not_fit_the_budget_is_sent_later_with_its_age() {
    let mut queue = ReportQueue::new();
    for crash in 0..CRASHES {
        queue.push(at(0), report(crash, MAX_SUSPECTS));
    }

    let mut sent = queue.take_due(at(0));
    let first = sent.len();
    assert!(queue.has_waiting());
    assert_eq!(crashes(&queue.take_due(at(0))), Vec::<u64>::new());
    for second in 1..900 {
        let due = queue.take_due(at(second));
        assert!(due.iter().all(|report| report.age == Duration::from_secs(second)), "{due:?}");
        sent.extend(due);
    }

    assert_eq!(first, 16);
    assert_eq!(crashes(&sent), (0..CRASHES).collect::<Vec<_>>());
    assert!(!queue.has_waiting());
}

#[test]
fn the_bytes_sent_over_time_are_bounded() {
    let mut queue = ReportQueue::new();
    let mut sent = 0;

    for second in 0..100 {
        for crash in 0..50 {
            queue.push(at(second), report(second * 50 + crash, MAX_SUSPECTS));
        }
        sent += queue.take_due(at(second)).len();
    }

    // The burst, and two in ten seconds.
    assert!((34..=37).contains(&sent), "{sent}");
}
