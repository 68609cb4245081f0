//! Whether connections are kept after answers of an upstream that sends some of them twice.

use std::time::Duration;

use coltsfootroute::{
    retry::{AnswerKind, ConnectionTrust},
    time::MonotonicTime,
};

const START: MonotonicTime = MonotonicTime::from_millis(1);

#[test]
fn connections_are_kept_while_no_answer_comes_unasked() {
    let mut trust = ConnectionTrust::default();

    let kept = (0..1_000).all(|_| trust.keeps_connection(START, AnswerKind::NotRun));

    assert!(kept);
}

#[test]
fn connections_are_closed_for_a_while_after_answers_of_the_kind_that_comes_unasked() {
    let mut trust = ConnectionTrust::default();
    trust.keeps_connection(START, AnswerKind::NotRun);

    trust.note_lost(START, AnswerKind::NotRun);

    let at = |seconds: u64| START + Duration::from_secs(seconds);
    assert!(!trust.keeps_connection(at(9), AnswerKind::NotRun));
    assert!(trust.keeps_connection(at(9), AnswerKind::Ran));
    assert!(trust.keeps_connection(at(11), AnswerKind::NotRun));
}

/// Guards against an upstream that must take a new connection for each of very many answers, since one came twice.
#[test]
fn rare_copies_cost_no_connections() {
    let mut trust = ConnectionTrust::default();

    let kept = (0..1_000).all(|number| {
        if number % 50 == 49 {
            trust.note_lost(START, AnswerKind::NotRun);
        }
        trust.keeps_connection(START, AnswerKind::NotRun)
    });

    assert!(kept);
}

#[test]
fn copies_that_become_frequent_are_noticed_after_many_sound_answers() {
    let mut trust = ConnectionTrust::default();
    for _ in 0..10_000 {
        trust.keeps_connection(START, AnswerKind::Ran);
    }

    let lost = (1..100).find(|_| {
        trust.note_lost(START, AnswerKind::Ran);
        !trust.keeps_connection(START, AnswerKind::Ran)
    });

    // One in twenty of the answers that are remembered, 400 at most.
    assert!(lost.is_some_and(|lost| lost <= 21), "{lost:?}");
}
