//! Tests that teams are propagated with the configuration.

use coltsfootroute::{
    name::OperatorName,
    revision::{ConfigState, ContentDigest, Revision, RevisionRecord},
    schema::SchemaDocument,
    team::KeyDigest,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Returns a document with one service of `slots` slots and one team per name, each with one key.
fn document(slots: u64, teams: &[&str]) -> SchemaDocument {
    let team = |name: &&str| {
        let digest = KeyDigest::of_key(format!("key of {name}").as_bytes());
        format!("{{name: {name}, keys: [\"{digest}\"]}}")
    };
    let teams: Vec<_> = teams.iter().map(team).collect();
    let text = format!(
        "deployment: test\nservices: [{{name: a, slots: {slots}, connections: 1, operations: []}}]\nteams: [{}]\n",
        teams.join(", ")
    );
    SchemaDocument::from_yaml(&text).expect("valid")
}

fn apply(state: &mut ConfigState, revision: u64, document: &SchemaDocument) {
    let content = ContentDigest::of_document(document);
    let record =
        RevisionRecord::of_external(Revision(revision), content, OperatorName::new("amina"));
    state.apply_document(&record, document).expect("the newer revision applies");
}

fn state_of(documents: &[SchemaDocument]) -> ConfigState {
    let mut state = ConfigState::with_external_history();
    for (index, document) in documents.iter().enumerate() {
        apply(&mut state, index as u64 + 1, document);
    }
    state
}

#[test]
fn a_delta_brings_teams_that_changed_and_none_that_did_not() {
    let source = state_of(&[
        document(1, &["red"]),
        document(1, &["red", "blue"]),
        document(2, &["red", "blue"]),
    ]);

    let since = |revision| source.delta_since(Revision(revision)).expect("newer").teams;

    assert_eq!(since(1).map(|teams| teams.len()), Some(2));
    assert_eq!(since(2), None);
}

#[test]
fn a_team_that_is_taken_away_is_gone_after_a_delta() {
    let source = state_of(&[document(1, &["red", "blue"]), document(1, &[])]);
    let mut state = state_of(&[document(1, &["red", "blue"])]);

    let delta = source.delta_since(Revision(1)).expect("newer");
    state.apply_delta(&delta).expect("the delta applies");

    assert_eq!(state.teams(), []);
    assert_eq!(state.document(), source.document());
}

#[test]
fn a_delta_whose_teams_were_changed_on_the_way_is_refused() {
    let source = state_of(&[document(1, &["red"]), document(1, &["red", "blue"])]);
    let mut state = state_of(&[document(1, &["red"])]);
    let mut delta = source.delta_since(Revision(1)).expect("newer");
    delta.teams.as_mut().expect("teams").pop();

    assert!(state.apply_delta(&delta).is_err());
    assert_eq!(state.teams().len(), 1);
}

#[test]
fn without_teams_the_digest_of_a_configuration_covers_only_its_services() {
    let document = document(1, &[]);
    let service =
        serde_json::json!(["test", [["a", ContentDigest::of_service(&document.services[0])]]]);

    let digest = ContentDigest::of_document(&document);

    assert_eq!(digest.to_string(), KeyDigest::of_key(service.to_string().as_bytes()).to_string());
}

/// Nodes that skip revisions and catch up from each other in any order have the same teams in the end.
#[test]
fn teams_are_the_same_in_whatever_order_nodes_catch_up() {
    const NAMES: [&str; 4] = ["red", "blue", "green", "amber"];
    for seed in 0..100 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut nodes = vec![ConfigState::with_external_history(); 4];
        for revision in 1..=20 {
            let teams: Vec<_> = NAMES.into_iter().filter(|_| rng.random_bool(0.5)).collect();
            let document = document(rng.random_range(1..3), &teams);
            let first = rng.random_range(0..nodes.len());
            apply(&mut nodes[first], revision, &document);
            for _ in 0..rng.random_range(0..4) {
                let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
                let held = nodes[to].revision();
                let Some(delta) = nodes[from].delta_since(held) else { continue };
                nodes[to].apply_delta(&delta).expect("the delta applies");
                assert_eq!(nodes[to].document(), nodes[from].document(), "seed {seed}");
            }
        }
    }
}
