//! What a node knows of requests that end the upstreams that run them.

use std::{hash::Hasher, time::Duration};

use indexmap::IndexMap;
use twox_hash::XxHash3_64;

use super::{
    AnswerNote, CaseNote, CaseTerm, CrashId, CrashReport, MAX_SUSPECTS, QuarantineUpdate,
    QuarantineVerdict, RequestFingerprint, SuspectRecord, TrialClaim,
    quarantine_case::QuarantineCase,
};
use crate::time::MonotonicTime;

/// Ends of upstreams at which a request has to be under way until it is held back. Two happen to what was cut off at one
/// upstream and tried again at the next; the users bear three.
const QUARANTINE_CRASHES: usize = 3;
/// How long an end of an upstream speaks against what was under way there. Callers come back within minutes; what comes
/// once an hour costs an upstream an hour.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Ends of upstreams kept: 260 KB with all their suspects. More within [`CRASH_RETENTION`] have another cause.
const MAX_CRASHES: usize = 128;
/// An answer clears a request of the ends before it, and of those up to so long after it: what a working upstream has just
/// run does not end the next. A request that turns bad, by a release or by what is stored, is held back that much later.
const ANSWER_VALIDITY: Duration = Duration::from_secs(30);
/// Answers of suspects kept.
const MAX_ANSWERS: usize = 4_096;
/// How long a case stands, held or let go. After a day its service has been released anew, or the request is gone.
const CASE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Cases kept, the newest: 100 KB. Each has cost somebody three upstreams.
const MAX_CASES: usize = 1_024;
/// When one run of a request that is held back may show that it is innocent. It costs an upstream if it is not, so that
/// there is one in all; callers of one that is have been turned away for a minute.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Pause until the store is asked again for a trial that it could not grant.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(10);
/// When the caller of a request that is held back for long may ask again.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(60);

value_type! {
    /// A case that changed here.
    pub struct QuarantineChange {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// The case now.
        pub term: CaseTerm,
        /// Ends of upstreams that spoke against the request, 0 where another node told of the case.
        pub crashes: u32,
    }
}

/// What a node knows of requests that end the upstreams that run them.
///
/// Guards report each end of an upstream with all that was under way there. What ended it stands in each report that it
/// caused; what ended with it does not, or is answered elsewhere, which clears it. A request at three ends without an answer
/// is held back by every node that hears of it, until an answer, a trial or an operator lets it go, or a day has passed.
///
/// Nodes merge each other's update: reports are told apart by their end, and a case's higher term holds.
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegister {
    /// When each known end was. Invariant: at most [`MAX_CRASHES`], and no end is forgotten before its suspects.
    crashes: IndexMap<CrashId, MonotonicTime>,
    /// What speaks against whom. Invariant: names only ends in `crashes`.
    suspects: IndexMap<RequestFingerprint, SuspectRecord>,
    /// When suspects were answered last.
    answers: IndexMap<RequestFingerprint, MonotonicTime>,
    cases: IndexMap<RequestFingerprint, QuarantineCase>,
    changes: Vec<QuarantineChange>,
}

impl QuarantineRegister {
    /// Whether something may be held back.
    pub fn has_cases(&self) -> bool {
        !self.cases.is_empty()
    }

    /// Whether an answer may clear something.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty() || self.has_cases()
    }

    /// Whether a request may be sent on.
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

    /// The term of a request's case; that of no case if there is none.
    pub fn term(&self, fingerprint: RequestFingerprint) -> CaseTerm {
        self.cases.get(&fingerprint).map_or(CaseTerm::default(), |case| case.term)
    }

    /// Takes note of what became of a claim to make a request's trial.
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

    /// An upstream has answered the request; returns what is to be told if that clears it of something.
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

    /// An operator lets a request go; returns whether it was held back.
    pub fn release(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let term = self.term(fingerprint);
        if !term.is_held() {
            return false;
        }
        self.remove_suspect(fingerprint);
        self.set_case(now, fingerprint, term.next(), 0);
        true
    }

    /// Takes in what another node tells, or this one's guard; returns what of it was new.
    pub fn merge(&mut self, now: MonotonicTime, update: QuarantineUpdate) -> QuarantineUpdate {
        self.prune(now);
        let QuarantineUpdate { mut crashes, mut answers, mut cases } = update;
        answers.retain(|note| self.merge_answer(now, note));
        cases.retain(|note| self.merge_case(now, note));
        crashes.retain(|report| self.merge_crash(now, report));
        QuarantineUpdate { crashes, answers, cases }
    }

    /// Cases that changed since this was last asked.
    pub fn drain_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// The same at two nodes that hold the same cases; 0 without any.
    pub fn digest(&self) -> u64 {
        self.cases
            .iter()
            .map(|(fingerprint, case)| case_hash(*fingerprint, case.term))
            .fold(0, |a, b| a ^ b)
    }

    /// All that is known, for a node that knows less.
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

    /// All cases, those that were let go too.
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

    /// Adds an end to what speaks against a request; returns whether it does, and was not known.
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
        // Clocks of two nodes differ by the time that the update took.
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
