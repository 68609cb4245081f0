//! A node that has started, and what its upstream sends meanwhile.

use std::time::Duration;

use coltsfootroute::{membership::ResumeWindow, time::MonotonicTime};

const START: MonotonicTime = MonotonicTime::ZERO;

#[test]
fn no_heartbeat_counts_while_it_may_be_older_than_a_leave() {
    let window = ResumeWindow::new(START);

    // Sent just before the leave, on the way for as long as one may be.
    assert!(window.is_open(START));
    assert!(window.is_open(START + Duration::from_millis(4_999)));
}

#[test]
fn without_the_store_an_upstream_counts_again_after_five_seconds() {
    let window = ResumeWindow::new(START);

    assert!(!window.is_open(START + Duration::from_millis(5_001)));
}

#[test]
fn reading_the_earlier_leaves_closes_the_window() {
    let mut window = ResumeWindow::new(START);

    window.note_leaves_read();

    assert!(!window.is_open(START));
}
