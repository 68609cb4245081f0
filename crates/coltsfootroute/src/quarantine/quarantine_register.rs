//! Register of requests that crash the upstreams that run them.

use std::{hash::Hasher, time::Duration};

use indexmap::IndexMap;
use twox_hash::XxHash3_64;

use super::{
    AnswerNote, CaseNote, CaseTerm, CrashId, CrashReport, MAX_SUSPECTS, QuarantineUpdate,
    QuarantineVerdict, RequestFingerprint, SuspectRecord, TrialClaim,
    quarantine_case::QuarantineCase,
};
use crate::time::MonotonicTime;

/// Number of crashes during which a request has to be in flight before it is quarantined. A request that was cut off at
/// one upstream and retried at the next can be in flight at two; the users accept three.
const QUARANTINE_CRASHES: usize = 3;
/// Time for which a crash counts against the requests that were in flight. Callers retry within minutes; a request that
/// comes once an hour costs one upstream an hour.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Largest number of crashes kept: 260 KB with all their suspects. More crashes within [`CRASH_RETENTION`] have another
/// cause.
const MAX_CRASHES: usize = 128;
/// An answer clears a request of all crashes before it and of those within this time after it: a request that an
/// upstream has just answered does not crash the next one. A request that becomes fatal, through a new release of the
/// service or through stored data, is quarantined later by this time.
const ANSWER_VALIDITY: Duration = Duration::from_secs(30);
/// Largest number of suspects whose last answer is kept.
const MAX_ANSWERS: usize = 4_096;
/// Time for which a case is kept, quarantined or released. After a day its service has had a new release, or the
/// request is no longer sent.
const CASE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of cases kept; the oldest are evicted: 100 KB. Each case stands for three crashed upstreams.
const MAX_CASES: usize = 1_024;
/// Time after which a quarantined request may run once, as a trial of whether it is harmless. The trial costs an
/// upstream if the request is fatal, so that there is one trial in all nodes together; callers of a harmless request
/// are refused for a minute.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Delay before a claim for a trial that the store did not answer is retried.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Retry hint for callers of a request whose trial has been used.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(60);

value_type! {
    /// Change of a case in this register.
    pub struct QuarantineChange {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// New term of the case.
        pub term: CaseTerm,
        /// Number of crashes counted against the request; 0 if another node reported the case.
        pub crashes: u32,
    }
}

/// Register of requests that crash the upstreams that run them.
///
/// Guards report each crash of an upstream with all requests that were in flight there. The request that causes crashes
/// appears in each of their reports; a request that was merely in flight does not, or is answered elsewhere, which
/// clears it. A request that was in flight at three crashes without an answer is quarantined by every node that
/// receives the reports, until an answer, a trial or an operator releases it, or a day has passed.
///
/// Nodes merge each other's updates: reports are identified by their crash, and the higher term of a case applies.
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegister {
    /// Time of each known crash. Invariant: at most [`MAX_CRASHES`], and no crash is removed before its suspects.
    crashes: IndexMap<CrashId, MonotonicTime>,
    /// Crashes counted against each suspected request. Invariant: refers only to crashes in `crashes`.
    suspects: IndexMap<RequestFingerprint, SuspectRecord>,
    /// Time of the last answer to each suspected request.
    answers: IndexMap<RequestFingerprint, MonotonicTime>,
    cases: IndexMap<RequestFingerprint, QuarantineCase>,
    changes: Vec<QuarantineChange>,
}

impl QuarantineRegister {
    /// Returns whether any request may be quarantined.
    pub fn has_cases(&self) -> bool {
        !self.cases.is_empty()
    }

    /// Returns whether an answer may clear or release any request.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty() || self.has_cases()
    }

    /// Returns whether a request may be forwarded.
    pub fn verdict(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> QuarantineVerdict {
        let case = self.cases.get(&fingerprint).filter(|case| case.term.is_held());
        let Some(case) = case.filter(|case| now.since(case.since) < CASE_RETENTION) else {
            return QuarantineVerdict::Free;
        };
        match case.trial_at {
            Some(at) if at <= now => QuarantineVerdict::TrialDue,
            Some(at) => QuarantineVerdict::Held(at.since(now)),
            None => QuarantineVerdict::Held(HELD_RETRY_AFTER),
        }
    }

    /// Returns the term of a request's case; the default term if there is no case.
    pub fn term(&self, fingerprint: RequestFingerprint) -> CaseTerm {
        self.cases.get(&fingerprint).map_or(CaseTerm::default(), |case| case.term)
    }

    /// Records the result of a claim for the trial of a request.
    pub fn record_trial(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        claim: TrialClaim,
    ) {
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.trial_at = (claim == TrialClaim::Unavailable).then_some(now + CLAIM_RETRY_DELAY);
        }
    }

    /// Records that an upstream has answered the request. Returns the note to send to other nodes if the answer clears
    /// the request of a crash or releases it.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Option<AnswerNote> {
        let is_relevant =
            self.suspects.contains_key(&fingerprint) || self.term(fingerprint).is_held();
        let note = AnswerNote { fingerprint, age: Duration::ZERO };
        (is_relevant && self.merge_answer(now, &note)).then_some(note)
    }

    /// Releases a request on behalf of an operator. Returns whether it was quarantined.
    pub fn release(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let term = self.term(fingerprint);
        if !term.is_held() {
            return false;
        }
        self.remove_suspect(fingerprint);
        self.set_case(now, fingerprint, term.next(), 0);
        true
    }

    /// Merges an update of another node or of this node's guard. Returns the part that was new.
    pub fn merge(&mut self, now: MonotonicTime, update: QuarantineUpdate) -> QuarantineUpdate {
        self.prune(now);
        let QuarantineUpdate { mut crashes, mut answers, mut cases } = update;
        answers.retain(|note| self.merge_answer(now, note));
        cases.retain(|note| self.merge_case(now, note));
        crashes.retain(|report| self.merge_crash(now, report));
        QuarantineUpdate { crashes, answers, cases }
    }

    /// Removes and returns the changes of cases since the last call.
    pub fn drain_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns a digest of all cases, which is equal at two nodes with the same cases; 0 without cases.
    pub fn digest(&self) -> u64 {
        self.cases
            .iter()
            .map(|(fingerprint, case)| case_hash(*fingerprint, case.term))
            .fold(0, |a, b| a ^ b)
    }

    /// Returns an update with everything in the register, for a node that lacks some of it.
    pub fn all(&self, now: MonotonicTime) -> QuarantineUpdate {
        let mut crashes: IndexMap<_, _> = self
            .crashes
            .iter()
            .map(|(crash, at)| (*crash, CrashReport::new(*crash, now.since(*at))))
            .collect();
        for (fingerprint, record) in &self.suspects {
            for crash in &record.crashes {
                let report = crashes.get_mut(crash).filter(|it| it.suspects.len() < MAX_SUSPECTS);
                if let Some(report) = report {
                    report.suspects.push(*fingerprint);
                }
            }
        }
        let answers = self
            .answers
            .iter()
            .map(|(fingerprint, at)| AnswerNote { fingerprint: *fingerprint, age: now.since(*at) });
        QuarantineUpdate {
            crashes: crashes.into_values().filter(|it| !it.suspects.is_empty()).collect(),
            answers: answers.collect(),
            cases: self.cases(now),
        }
    }

    /// Returns all cases, including those of released requests.
    pub fn cases(&self, now: MonotonicTime) -> Vec<CaseNote> {
        let cases = self.cases.iter().map(|(fingerprint, case)| CaseNote {
            fingerprint: *fingerprint,
            term: case.term,
            age: now.since(case.since),
        });
        cases.collect()
    }

    fn merge_crash(&mut self, now: MonotonicTime, report: &CrashReport) -> bool {
        let at = now - report.age;
        if report.age >= CRASH_RETENTION {
            return false;
        }
        if !self.crashes.contains_key(&report.crash) {
            if self.crashes.len() >= MAX_CRASHES {
                self.remove_oldest_crash();
            }
            self.crashes.insert(report.crash, at);
        }
        let mut is_new = false;
        for fingerprint in report.suspects.iter().take(MAX_SUSPECTS) {
            is_new |= self.suspect(now, *fingerprint, report.crash, at);
        }
        is_new
    }

    /// Counts a crash against a request. Returns whether it counts and was not known before.
    fn suspect(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        crash: CrashId,
        at: MonotonicTime,
    ) -> bool {
        let answered = self.answers.get(&fingerprint);
        if answered.is_some_and(|answered| at <= *answered + ANSWER_VALIDITY) {
            return false;
        }
        let record = self.suspects.entry(fingerprint).or_default();
        let before = record.crashes.len();
        let crashes = record.add(crash);
        if crashes == before {
            return false;
        }
        let term = self.term(fingerprint);
        if crashes >= QUARANTINE_CRASHES && !term.is_held() {
            self.set_case(
                now,
                fingerprint,
                term.next(),
                u32::try_from(crashes).unwrap_or(u32::MAX),
            );
        }
        true
    }

    fn merge_answer(&mut self, now: MonotonicTime, note: &AnswerNote) -> bool {
        let at = now - note.age;
        if note.age >= CRASH_RETENTION {
            return false;
        }
        let known = self.answers.get(&note.fingerprint).copied();
        // The times that two nodes compute for one answer differ by the delay of the update.
        if known.is_some_and(|known| at <= known + Duration::from_secs(1)) {
            return false;
        }
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.shift_remove_index(0);
        }
        self.answers.insert(note.fingerprint, at);
        self.remove_suspect(note.fingerprint);
        let term = self.term(note.fingerprint);
        let held_since = self.cases.get(&note.fingerprint).map(|case| case.since);
        if term.is_held() && held_since.is_some_and(|since| since <= at + ANSWER_VALIDITY) {
            self.set_case(now, note.fingerprint, term.next(), 0);
        }
        true
    }

    fn merge_case(&mut self, now: MonotonicTime, note: &CaseNote) -> bool {
        if note.age >= CASE_RETENTION || note.term <= self.term(note.fingerprint) {
            return false;
        }
        if !note.term.is_held() {
            self.remove_suspect(note.fingerprint);
        }
        self.set_case(now - note.age, note.fingerprint, note.term, 0);
        true
    }

    fn set_case(
        &mut self,
        since: MonotonicTime,
        fingerprint: RequestFingerprint,
        term: CaseTerm,
        crashes: u32,
    ) {
        if !self.cases.contains_key(&fingerprint) && self.cases.len() >= MAX_CASES {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.since);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cases.swap_remove(&oldest);
            }
        }
        let case = QuarantineCase { term, since, trial_at: Some(since + TRIAL_DELAY) };
        self.cases.insert(fingerprint, case);
        self.changes.push(QuarantineChange { fingerprint, term, crashes });
    }

    fn prune(&mut self, now: MonotonicTime) {
        self.cases.retain(|_, case| now.since(case.since) < CASE_RETENTION);
        self.answers.retain(|_, at| now.since(*at) < CRASH_RETENTION);
        let oldest = self.crashes.values().min().copied();
        if oldest.is_some_and(|oldest| now.since(oldest) >= CRASH_RETENTION) {
            self.crashes.retain(|_, at| now.since(*at) < CRASH_RETENTION);
            self.remove_expired_suspects();
        }
    }

    fn remove_oldest_crash(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, at)| **at).map(|(crash, _)| *crash);
        if let Some(oldest) = oldest {
            self.crashes.swap_remove(&oldest);
            self.remove_expired_suspects();
        }
    }

    fn remove_expired_suspects(&mut self) {
        let crashes = &self.crashes;
        self.suspects.retain(|_, record| {
            record.crashes.retain(|crash| crashes.contains_key(crash));
            !record.crashes.is_empty()
        });
    }

    fn remove_suspect(&mut self, fingerprint: RequestFingerprint) {
        self.suspects.swap_remove(&fingerprint);
    }
}

fn case_hash(fingerprint: RequestFingerprint, term: CaseTerm) -> u64 {
    let mut hash = XxHash3_64::new();
    hash.write(&fingerprint.0.to_le_bytes());
    hash.write(&term.0.to_le_bytes());
    hash.finish()
}
