//! Limits that upstreams name in their answers.

use coltsfootroute::{
    id::NodeId,
    membership::{InstanceIncarnation, InstanceName},
    time::MonotonicTime,
    upstream_limit::{KnownNotices, LimitChange, LimitTracker, RequestRate, UpstreamNotice},
};
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn rate(per_second: f64) -> Option<RequestRate> {
    Some(RequestRate::from_per_second(per_second))
}

/// A tracker that knows a limit of 10 requests per second from an answer at 1 s.
fn limited() -> LimitTracker {
    let mut tracker = LimitTracker::new();
    tracker.record_answer(at(1_000), at(900), rate(10.0));
    tracker
}

#[rstest]
#[case::whole("20", 20_000)]
#[case::decimal("18.7", 18_700)]
#[case::zero("0", 0)]
#[case::spaces(" 3.5 ", 3_500)]
#[case::huge("1e300", 1_000_000_000_000)]
fn a_decimal_number_is_a_rate(#[case] text: &str, #[case] milli: u64) {
    assert_eq!(RequestRate::parse(text), Some(RequestRate(milli)));
}

#[rstest]
#[case::negative("-1")]
#[case::negative_zero("-0")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::overflowing("1e999")]
#[case::text("few")]
#[case::empty("")]
#[case::two("1 2")]
fn anything_else_is_none(#[case] text: &str) {
    assert_eq!(RequestRate::parse(text), None);
}

#[test]
fn the_first_naming_applies_at_once_and_repeating_it_changes_nothing() {
    let mut tracker = LimitTracker::new();

    let first = tracker.record_answer(at(1_000), at(900), rate(18.7));
    let second = tracker.record_answer(at(1_100), at(1_050), rate(18.7));

    assert_eq!(first, Some(LimitChange::Named(RequestRate(18_700))));
    assert_eq!(second, None);
    assert_eq!(tracker.limit(), rate(18.7));
}

#[test]
fn an_answer_to_a_later_request_raises_or_lifts_the_limit() {
    let mut tracker = limited();

    let raised = tracker.record_answer(at(1_200), at(1_100), rate(40.0));
    let lifted = tracker.record_answer(at(1_400), at(1_300), None);

    assert_eq!(raised, Some(LimitChange::Named(RequestRate(40_000))));
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert_eq!(tracker.limit(), None);
}

#[rstest]
#[case::silent(None)]
#[case::higher(rate(40.0))]
fn an_answer_that_crossed_does_not_raise_or_lift_the_limit(#[case] named: Option<RequestRate>) {
    let mut tracker = limited();

    let change = tracker.record_answer(at(1_200), at(950), named);

    assert_eq!(change, None);
    assert_eq!(tracker.limit(), rate(10.0));
}

#[test]
fn an_answer_that_crossed_lowers_the_limit() {
    let mut tracker = limited();

    let change = tracker.record_answer(at(1_200), at(950), rate(2.0));

    assert_eq!(change, Some(LimitChange::Named(RequestRate(2_000))));
}

#[test]
fn a_limit_that_a_caller_knows_applies_until_the_first_answer() {
    let mut tracker = LimitTracker::new();

    let adopted = tracker.adopt(at(100), RequestRate(10_000));
    let higher = tracker.adopt(at(110), RequestRate(20_000));
    let lower = tracker.adopt(at(120), RequestRate(5_000));
    let lifted = tracker.record_answer(at(300), at(200), None);
    let again = tracker.adopt(at(310), RequestRate(5_000));

    assert_eq!(adopted, Some(LimitChange::Named(RequestRate(10_000))));
    assert_eq!(higher, None);
    assert_eq!(lower, Some(LimitChange::Named(RequestRate(5_000))));
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert_eq!(again, None);
}

fn notice(limit: Option<RequestRate>, is_leaving: bool) -> UpstreamNotice {
    let incarnation = InstanceIncarnation::new(InstanceName::new("i-1"));
    UpstreamNotice { incarnation, limit, is_leaving }
}

#[test]
fn a_caller_knows_a_notice_until_it_is_withdrawn_or_old() {
    let node = NodeId(([127, 0, 0, 1], 1).into());
    let mut known = KnownNotices::new();

    let is_new = known.observe(at(0), node, notice(rate(5.0), false));
    let is_repeated = known.observe(at(50_000), node, notice(rate(5.0), false));
    let kept = known.of(at(100_000), node).cloned();
    let forgotten = known.of(at(111_000), node).cloned();
    let is_withdrawn = known.observe(at(100_000), node, notice(None, false));

    assert!(is_new && !is_repeated && is_withdrawn);
    assert_eq!(kept, Some(notice(rate(5.0), false)));
    assert_eq!(forgotten, None);
    assert_eq!(known.of(at(100_000), node), None);
}
