//! Tests of the register of one node.

use std::time::Duration;

use coltsfootroute::{
    quarantine::{
        AnswerNote, CaseNote, CaseTerm, CrashId, CrashReport, QuarantineRegister, QuarantineUpdate,
        QuarantineVerdict, RequestFingerprint, TrialClaim,
    },
    time::MonotonicTime,
};

const FATAL: RequestFingerprint = RequestFingerprint(0xfa7a1);
const OTHER: RequestFingerprint = RequestFingerprint(0x07e4);
/// Start of the tests; late enough that ages can be subtracted from it.
const START: MonotonicTime = MonotonicTime::from_millis(200_000_000);

fn crash(id: u64, suspects: &[RequestFingerprint]) -> QuarantineUpdate {
    let report =
        CrashReport { crash: CrashId(id), age: Duration::ZERO, suspects: suspects.to_vec() };
    QuarantineUpdate { crashes: vec![report], ..QuarantineUpdate::default() }
}

fn answer(fingerprint: RequestFingerprint) -> QuarantineUpdate {
    let answers = vec![AnswerNote { fingerprint, age: Duration::ZERO }];
    QuarantineUpdate { answers, ..QuarantineUpdate::default() }
}

/// Returns a register in which `FATAL` is quarantined, and the time since which it is.
fn quarantined_register() -> (QuarantineRegister, MonotonicTime) {
    let mut register = QuarantineRegister::default();
    for id in 0..3 {
        register.merge(at(id), crash(id, &[FATAL]));
    }
    (register, at(2))
}

/// Returns the time `seconds` after the start.
fn at(seconds: u64) -> MonotonicTime {
    START + Duration::from_secs(seconds)
}

fn is_quarantined(register: &QuarantineRegister, now: MonotonicTime) -> bool {
    matches!(register.verdict(now, FATAL), QuarantineVerdict::Held(_))
}

#[test]
fn a_request_in_flight_at_three_crashes_is_quarantined() {
    let mut register = QuarantineRegister::default();

    register.merge(at(0), crash(1, &[FATAL, OTHER]));
    register.merge(at(1), crash(2, &[FATAL, OTHER]));
    assert_eq!(register.verdict(at(1), FATAL), QuarantineVerdict::Free);
    register.merge(at(2), crash(3, &[FATAL]));

    assert!(is_quarantined(&register, at(2)));
    assert_eq!(register.verdict(at(2), OTHER), QuarantineVerdict::Free);
    let changes = register.drain_changes();
    assert_eq!((changes.len(), changes[0].fingerprint, changes[0].crashes), (1, FATAL, 3));
}

#[test]
fn a_crash_reported_repeatedly_counts_once() {
    let mut register = QuarantineRegister::default();
    assert!(!register.merge(at(0), crash(1, &[FATAL])).is_empty());
    for second in 1..9 {
        assert!(register.merge(at(second), crash(1, &[FATAL])).is_empty());
    }
    assert_eq!(register.verdict(at(9), FATAL), QuarantineVerdict::Free);
}

#[test]
fn suspects_of_one_crash_may_be_reported_in_parts() {
    let mut register = QuarantineRegister::default();
    for id in 0..3 {
        register.merge(at(id), crash(id, &[OTHER]));
        assert!(!register.merge(at(id), crash(id, &[FATAL])).is_empty());
    }
    assert!(is_quarantined(&register, at(3)));
}

#[test]
fn an_answer_clears_of_crashes_before_it_and_shortly_after() {
    let mut register = QuarantineRegister::default();
    register.merge(at(0), crash(1, &[FATAL]));
    register.merge(at(1), crash(2, &[FATAL]));
    register.merge(at(2), answer(FATAL));
    for id in 3..9 {
        register.merge(at(id), crash(id, &[FATAL]));
    }
    assert_eq!(register.verdict(at(9), FATAL), QuarantineVerdict::Free);
}

#[test]
fn a_request_that_becomes_fatal_is_quarantined_later() {
    let mut register = QuarantineRegister::default();
    register.merge(at(0), crash(1, &[FATAL]));
    register.merge(at(1), answer(FATAL));
    for id in 40..43 {
        register.merge(at(id), crash(id, &[FATAL]));
    }
    assert!(is_quarantined(&register, at(43)));
}

#[test]
fn an_answer_releases_a_quarantined_request() {
    let (mut register, since) = quarantined_register();

    register.merge(since, answer(FATAL));

    assert_eq!(register.verdict(since, FATAL), QuarantineVerdict::Free);
    assert_eq!(register.term(FATAL), CaseTerm(2));
}

#[test]
fn an_old_answer_releases_no_request() {
    let (mut register, _) = quarantined_register();
    let answers = vec![AnswerNote { fingerprint: FATAL, age: Duration::from_secs(60) }];

    register.merge(at(3), QuarantineUpdate { answers, ..QuarantineUpdate::default() });

    assert!(is_quarantined(&register, at(3)));
}

#[test]
fn old_crashes_are_dropped() {
    let mut register = QuarantineRegister::default();
    register.merge(at(0), crash(1, &[FATAL]));
    register.merge(at(1), crash(2, &[FATAL]));
    register.merge(at(700), crash(3, &[FATAL]));
    assert_eq!(register.verdict(at(700), FATAL), QuarantineVerdict::Free);
}

#[test]
fn a_case_expires_after_a_day() {
    let (mut register, since) = quarantined_register();
    register.record_trial(since, FATAL, TrialClaim::Used);
    let day = Duration::from_secs(24 * 3_600);

    assert!(is_quarantined(&register, since + day - Duration::from_secs(1)));
    assert_eq!(register.verdict(since + day, FATAL), QuarantineVerdict::Free);
}

#[test]
fn one_trial_is_due_after_a_minute() {
    let (mut register, since) = quarantined_register();
    let minute = since + Duration::from_secs(60);

    assert_eq!(register.verdict(since, FATAL), QuarantineVerdict::Held(Duration::from_secs(60)));
    assert_eq!(register.verdict(minute, FATAL), QuarantineVerdict::TrialDue);
    register.record_trial(minute, FATAL, TrialClaim::Unavailable);
    assert!(is_quarantined(&register, minute));
    let later = minute + Duration::from_secs(10);
    assert_eq!(register.verdict(later, FATAL), QuarantineVerdict::TrialDue);
    register.record_trial(later, FATAL, TrialClaim::Used);

    assert!(is_quarantined(&register, later + Duration::from_secs(3_600)));
}

#[test]
fn after_a_release_three_more_crashes_quarantine_again() {
    let (mut register, since) = quarantined_register();

    assert!(register.release(since, FATAL));
    assert!(!register.release(since, FATAL));
    assert_eq!(register.verdict(since, FATAL), QuarantineVerdict::Free);
    register.merge(at(4), crash(10, &[FATAL]));
    register.merge(at(5), crash(11, &[FATAL]));
    assert_eq!(register.verdict(at(5), FATAL), QuarantineVerdict::Free);
    register.merge(at(6), crash(12, &[FATAL]));

    assert!(is_quarantined(&register, at(6)));
    assert_eq!(register.term(FATAL), CaseTerm(3));
}

#[test]
fn of_two_terms_the_higher_applies() {
    let (mut register, since) = quarantined_register();
    let told = |term| {
        let note =
            CaseNote { fingerprint: FATAL, term: CaseTerm(term), age: Duration::from_secs(1) };
        QuarantineUpdate { cases: vec![note], ..QuarantineUpdate::default() }
    };

    assert!(register.merge(since, told(1)).is_empty());
    assert!(!register.merge(since, told(2)).is_empty());
    assert!(register.merge(since, told(1)).is_empty());

    assert_eq!(register.verdict(since, FATAL), QuarantineVerdict::Free);
}

/// A caller that crashes upstreams on purpose can't make the tables exceed their bounds.
#[test]
fn tables_are_bounded() {
    let mut register = QuarantineRegister::default();
    for id in 0..3_600 {
        let group = id / 3;
        let suspects: Vec<_> =
            (0..20).map(|index| RequestFingerprint(u128::from(group * 1_000 + index))).collect();
        register.merge(at(0), crash(id, &suspects));
    }
    let all = register.all(at(0));
    assert!(all.crashes.len() <= 128, "{}", all.crashes.len());
    assert!(all.cases.len() <= 1_024, "{}", all.cases.len());

    let many: Vec<_> = (0..200).map(RequestFingerprint).collect();
    let mut register = QuarantineRegister::default();
    register.merge(at(0), crash(1, &many));
    assert_eq!(register.all(at(0)).crashes[0].suspects.len(), 128);
}
