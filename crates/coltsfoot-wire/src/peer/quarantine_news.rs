//! News of ended upstreams on the wire.

use std::time::Duration;

use coltsfootroute::quarantine::{
    AnswerNote, CaseNote, CaseTerm, CrashId, CrashReport, QuarantineUpdate, RequestFingerprint,
};

use crate::{
    peer_capnp::{crash_report, fingerprint, quarantine_news},
    wire_error::WireError,
};

/// Writes news of ended upstreams.
pub fn write_quarantine_news(news: &QuarantineUpdate, mut builder: quarantine_news::Builder<'_>) {
    let mut crashes = builder.reborrow().init_crashes(length(&news.crashes));
    for (index, report) in (0..).zip(&news.crashes) {
        write_crash(report, crashes.reborrow().get(index));
    }
    let mut answers = builder.reborrow().init_answers(length(&news.answers));
    for (index, note) in (0..).zip(&news.answers) {
        let mut answer = answers.reborrow().get(index);
        answer.set_age_millis(millis(note.age));
        write_fingerprint(note.fingerprint, answer.init_fingerprint());
    }
    let mut cases = builder.init_cases(length(&news.cases));
    for (index, note) in (0..).zip(&news.cases) {
        let mut case = cases.reborrow().get(index);
        case.set_term(note.term.0);
        case.set_age_millis(millis(note.age));
        write_fingerprint(note.fingerprint, case.init_fingerprint());
    }
}

/// Reads news of ended upstreams.
///
/// # Errors
///
/// [`WireError`] if a list is malformed.
pub fn read_quarantine_news(
    reader: quarantine_news::Reader<'_>,
) -> Result<QuarantineUpdate, WireError> {
    let mut news = QuarantineUpdate::default();
    for report in reader.get_crashes()? {
        news.crashes.push(read_crash(report)?);
    }
    for note in reader.get_answers()? {
        news.answers.push(AnswerNote {
            fingerprint: read_fingerprint(note.get_fingerprint()?),
            age: Duration::from_millis(note.get_age_millis()),
        });
    }
    for note in reader.get_cases()? {
        news.cases.push(CaseNote {
            fingerprint: read_fingerprint(note.get_fingerprint()?),
            term: CaseTerm(note.get_term()),
            age: Duration::from_millis(note.get_age_millis()),
        });
    }
    Ok(news)
}

fn write_crash(report: &CrashReport, mut builder: crash_report::Builder<'_>) {
    builder.set_crash(report.crash.0);
    builder.set_age_millis(millis(report.age));
    let mut suspects = builder.init_suspects(length(&report.suspects));
    for (index, suspect) in (0..).zip(&report.suspects) {
        write_fingerprint(*suspect, suspects.reborrow().get(index));
    }
}

fn read_crash(reader: crash_report::Reader<'_>) -> Result<CrashReport, WireError> {
    Ok(CrashReport {
        crash: CrashId(reader.get_crash()),
        age: Duration::from_millis(reader.get_age_millis()),
        suspects: reader.get_suspects()?.iter().map(read_fingerprint).collect(),
    })
}

fn write_fingerprint(fingerprint: RequestFingerprint, mut builder: fingerprint::Builder<'_>) {
    builder.set_high((fingerprint.0 >> u64::BITS) as u64);
    builder.set_low(fingerprint.0 as u64);
}

fn read_fingerprint(reader: fingerprint::Reader<'_>) -> RequestFingerprint {
    RequestFingerprint(u128::from(reader.get_high()) << u64::BITS | u128::from(reader.get_low()))
}

fn length<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
