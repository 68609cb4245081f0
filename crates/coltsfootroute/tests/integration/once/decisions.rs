//! Tests of single decisions of at-most-once execution.

use std::time::Duration;

use coltsfootroute::{
    id::{Incarnation, NodeId},
    once::{
        BodyDigest, BusyVerdict, ClaimDetails, ClaimHolder, ClaimId, ClaimRecord, ClaimResult,
        ClaimStep, ClaimTicket, DispatchVerdict, HolderAnswer, HolderView, OnceCall, OnceGuard,
        OnceSettings, WallTime,
    },
    outcome::CallOutcome,
    table::TableReply,
    time::MonotonicTime,
};
use rstest::rstest;

use crate::util::once_world::{DEADLINE, RETENTION, once_key};

const NOW: MonotonicTime = MonotonicTime::from_millis(1);

fn holder() -> ClaimHolder {
    let node = NodeId(([127, 0, 0, 1], 7_000).into());
    ClaimHolder { node, incarnation: Incarnation(1) }
}

fn call(key: &str) -> OnceCall {
    OnceCall {
        key: once_key(key),
        body_digest: BodyDigest::of(b"pay 10"),
        retention: RETENTION,
        deadline: NOW + DEADLINE,
    }
}

fn claimed(guard: &mut OnceGuard) -> ClaimTicket {
    let claim_id = ClaimId(1);
    guard.begin(call("k"), claim_id, WallTime(0));
    match guard.on_reply(claim_id, &TableReply::Committed, NOW) {
        Some(ClaimStep::Done(ClaimResult::Dispatch(ticket))) => ticket,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::in_time(Duration::ZERO, true)]
#[case::just_in_time(DEADLINE - Duration::from_micros(1), true)]
#[case::at_the_deadline(DEADLINE, false)]
#[case::long_after(Duration::from_secs(60), false)]
fn ticket_runs_only_before_its_deadline(#[case] pause: Duration, #[case] runs: bool) {
    let mut guard = OnceGuard::new(holder(), OnceSettings::default());
    let ticket = claimed(&mut guard);

    let verdict = guard.dispatch(ticket, NOW + pause);

    assert_eq!(matches!(verdict, DispatchVerdict::Run(_)), runs);
    let answer = guard.holder_answer(ClaimId(1));
    assert_eq!(answer == HolderAnswer::NeverDispatched, !runs);
}

#[test]
fn old_ticket_expires_before_its_deadline() {
    let max_ticket_age = Duration::from_millis(10);
    let settings = OnceSettings { max_ticket_age, ..OnceSettings::default() };
    let mut guard = OnceGuard::new(holder(), settings);
    let ticket = claimed(&mut guard);

    let verdict = guard.dispatch(ticket, NOW + Duration::from_millis(11));

    assert_eq!(verdict, DispatchVerdict::Expired);
}

#[test]
fn full_guard_refuses_before_the_claim_is_written() {
    let settings = OnceSettings { max_open_claims: 1, ..OnceSettings::default() };
    let mut guard = OnceGuard::new(holder(), settings);
    guard.begin(call("k1"), ClaimId(1), WallTime(0));

    let step = guard.begin(call("k2"), ClaimId(2), WallTime(0));

    let ClaimStep::Done(result) = step else { panic!("{step:?}") };
    assert_eq!(result.outcome(), Some(CallOutcome::NotRun));
    assert!(guard.is_settled(ClaimId(2)));
}

#[rstest]
#[case(
    HolderView::Answered(HolderAnswer::NeverDispatched),
    BusyVerdict::Refuse(CallOutcome::NotRun)
)]
#[case(HolderView::Answered(HolderAnswer::Running), BusyVerdict::Refuse(CallOutcome::Unknown))]
#[case(HolderView::Answered(HolderAnswer::NotMine), BusyVerdict::Retry)]
#[case(HolderView::Ended, BusyVerdict::Refuse(CallOutcome::Unknown))]
#[case(HolderView::Unreachable, BusyVerdict::Refuse(CallOutcome::Unknown))]
fn only_the_holder_reports_that_a_claim_never_ran(
    #[case] view: HolderView,
    #[case] verdict: BusyVerdict,
) {
    assert_eq!(BusyVerdict::of(view), verdict);
}

#[test]
fn records_parse_back_from_their_values() {
    let claim = ClaimDetails {
        claim_id: ClaimId(7),
        holder: holder(),
        body_digest: BodyDigest::of(b"pay 10"),
        at: WallTime(5),
        until: WallTime(6),
    };
    for record in [ClaimRecord::Free, ClaimRecord::Claimed(claim), ClaimRecord::Expired] {
        assert_eq!(ClaimRecord::parse(&record.to_value()), Some(record));
    }
}

#[test]
fn row_key_contains_no_text_of_the_client() {
    let row_key = once_key("../x/%00").row_key();

    let (prefix, digest) = row_key.as_str().rsplit_once('/').expect("segments");
    assert_eq!(prefix, "once/payments/submit-fee");
    assert_eq!(digest.len(), 64);
}
