//! Tests of the inputs that a state rejects, of external histories and of the limit on tombstones.

use super::world::document;
use coltsfootroute::{
    name::OperatorName,
    revision::{
        ApplyOutcome, ChainDigest, ConfigState, ContentDigest, DeltaFault, MAX_TOMBSTONES,
        Revision, RevisionDraft, RevisionRecord, SubmissionKey,
    },
};

fn record(revision: u64, parent: ChainDigest, lines: &str) -> RevisionRecord {
    let draft = RevisionDraft {
        content: ContentDigest::of_document(&document(lines)),
        operator: OperatorName::new("amina"),
        wall_ms: revision,
        key: SubmissionKey::new("k"),
        changed: Vec::new(),
    };
    RevisionRecord::new(Revision(revision - 1), parent, draft)
}

/// Returns a state that has put each text in force in turn, as revisions 1, 2, …
fn state_of(texts: &[&str]) -> ConfigState {
    let mut state = ConfigState::new();
    for (index, lines) in texts.iter().enumerate() {
        let parent = state.record().map_or(ChainDigest::ROOT, |record| record.chain);
        let record = record(index as u64 + 1, parent, lines);
        state.apply_document(&record, &document(lines)).expect("the next revision applies");
    }
    state
}

#[test]
fn a_delta_that_was_changed_on_its_way_is_refused_whole() {
    let source = state_of(&["licences 30", "licences 40\nmedicals 1"]);
    let mut state = state_of(&["licences 30"]);
    let mut delta = source.delta_since(Revision(1)).expect("newer");
    delta.changes.pop();

    let applied = state.apply_delta(&delta);

    assert_eq!(applied, Err(DeltaFault::Content(Revision(2))));
    assert_eq!(state.revision(), Revision(1));
    assert_eq!(state.document(), document("licences 30"));
}

#[test]
fn a_record_of_another_history_is_refused() {
    let mut state = state_of(&["licences 30", "licences 40"]);
    let same = record(2, ChainDigest::ROOT, "licences 50");
    let next = record(3, ChainDigest::ROOT, "licences 50");
    let mut altered = next.clone();
    altered.wall_ms += 1;

    let faults = [same, next, altered].map(|record| {
        state.apply_document(&record, &document("licences 50")).expect_err("refused")
    });

    let [second, third] = [Revision(2), Revision(3)];
    let expected =
        [DeltaFault::Diverged(second), DeltaFault::Diverged(third), DeltaFault::Record(third)];
    assert_eq!(faults, expected);
}

#[test]
fn a_document_that_skips_revisions_makes_deltas_whole() {
    let mut state = state_of(&["licences 30"]);
    let lines = "licences 30\nmedicals 1";

    let applied = state.apply_document(&record(5, ChainDigest::ROOT, lines), &document(lines));

    let delta = state.delta_since(Revision(3)).expect("newer");
    assert!(matches!(applied, Ok(ApplyOutcome::Advanced { changed, .. }) if changed.len() == 1));
    assert_eq!((delta.from, delta.changes.len()), (Revision::ZERO, 2));
}

#[test]
fn tombstones_are_bounded() {
    let many: String = (0..=MAX_TOMBSTONES).map(|index| format!("s{index} 1\n")).collect();
    let state = state_of(&[&many, "a 1", "a 2"]);

    let early = state.delta_since(Revision(1)).expect("newer");
    let late = state.delta_since(Revision(2)).expect("newer");

    assert!(early.is_snapshot(), "a tombstone was dropped");
    assert_eq!((late.from, late.changes.len()), (Revision(2), 1));
}

#[test]
fn a_delta_survives_serialisation() {
    let state = state_of(&["licences 30\nmedicals 1", "licences 40"]);
    let delta = state.delta_since(Revision(1)).expect("newer");

    let text = serde_json::to_string(&delta).expect("JSON");

    assert_eq!(
        serde_json::from_str::<coltsfootroute::revision::ConfigDelta>(&text).expect("read"),
        delta
    );
}

#[test]
fn an_outside_history_may_skip_revisions_and_never_goes_back() {
    let outside = |revision: u64, lines: &str| {
        let content = ContentDigest::of_document(&document(lines));
        RevisionRecord::of_external(Revision(revision), content, OperatorName::new("platform"))
    };
    let mut state = ConfigState::with_external_history();

    for (revision, lines) in [(4, "licences 30"), (5, "licences 40"), (9, "licences 50")] {
        let applied = state.apply_document(&outside(revision, lines), &document(lines));
        assert!(matches!(applied, Ok(ApplyOutcome::Advanced { .. })), "{applied:?}");
    }
    let late = state.apply_document(&outside(5, "licences 40"), &document("licences 40"));

    assert_eq!(late, Ok(ApplyOutcome::AlreadyHeld));
    assert_eq!(state.document(), document("licences 50"));
}

#[test]
fn an_outside_history_travels_in_deltas() {
    let outside = |revision: u64, lines: &str| {
        let content = ContentDigest::of_document(&document(lines));
        RevisionRecord::of_external(Revision(revision), content, OperatorName::new("platform"))
    };
    let (mut source, mut state) =
        (ConfigState::with_external_history(), ConfigState::with_external_history());
    let _ = source.apply_document(&outside(4, "licences 30"), &document("licences 30"));
    let _ = state.apply_document(&outside(4, "licences 30"), &document("licences 30"));
    let _ = source.apply_document(&outside(5, "licences 40"), &document("licences 40"));

    let applied = state.apply_delta(&source.delta_since(state.revision()).expect("newer"));

    assert!(matches!(applied, Ok(ApplyOutcome::Advanced { .. })), "{applied:?}");
    assert_eq!(state.document(), document("licences 40"));
}
