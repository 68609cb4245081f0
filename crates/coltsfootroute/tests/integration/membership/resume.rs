//! Heartbeats that arrive while a node has just started.

use std::time::Duration;

use coltsfootroute::{membership::ResumeWindow, time::MonotonicTime};

const START: MonotonicTime = MonotonicTime::ZERO;

#[test]
fn the_window_is_open_while_a_heartbeat_may_be_older_than_a_leave() {
    let window = ResumeWindow::new(START);

    // Such a heartbeat was sent just before the leave and took the longest time that it may.
    assert!(window.is_open(START));
    assert!(window.is_open(START + Duration::from_millis(4_999)));
}

#[test]
fn without_the_store_the_window_closes_after_five_seconds() {
    let window = ResumeWindow::new(START);

    assert!(!window.is_open(START + Duration::from_millis(5_001)));
}

#[test]
fn reading_the_earlier_leaves_closes_the_window() {
    let mut window = ResumeWindow::new(START);

    window.note_leaves_read();

    assert!(!window.is_open(START));
}
