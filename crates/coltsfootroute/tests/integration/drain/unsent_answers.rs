//! Answers that a planned stop waits for.

use std::time::Duration;

use coltsfootroute::{drain::UnsentAnswers, time::MonotonicTime};
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(millis)
}

#[test]
fn an_answer_is_waited_for_until_it_is_handed_over() {
    let mut answers = UnsentAnswers::default();
    let (first, second) = (answers.begin(at(5_000)), answers.begin(at(5_000)));

    answers.finish(first);
    let before = answers.waiting(at(10));
    answers.finish(second);

    assert_eq!((before, answers.waiting(at(10))), (1, 0));
}

/// Guards against callers that never read and hold a stop for ever.
#[rstest]
#[case::before(4_999, 1)]
#[case::at_its_time(5_000, 0)]
fn an_answer_is_not_waited_for_once_its_caller_has_given_up(
    #[case] now: u64,
    #[case] expected: usize,
) {
    let mut answers = UnsentAnswers::default();
    let answer = answers.begin(at(9_000));

    answers.set_until(answer, at(5_000));

    assert_eq!(answers.waiting(at(now)), expected);
}

/// Guards against callers that keep sending requests and hold a stop for ever.
#[test]
fn answers_behind_the_seal_are_not_waited_for() {
    let mut answers = UnsentAnswers::default();
    let early = answers.begin(at(5_000));
    answers.seal();
    answers.begin(at(5_000));
    answers.seal();

    let before = answers.waiting(at(10));
    answers.finish(early);

    assert_eq!((before, answers.waiting(at(10))), (1, 0));
}

/// Guards against an answer that counts again after it was handed over.
#[test]
fn a_finished_answer_gets_no_other_time() {
    let mut answers = UnsentAnswers::default();
    let answer = answers.begin(at(5_000));
    answers.finish(answer);

    answers.set_until(answer, at(9_000));

    assert_eq!(answers.waiting(at(10)), 0);
}
