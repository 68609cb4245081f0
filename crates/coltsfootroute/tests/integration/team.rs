//! Teams: whose a key is, how important its requests are, its turns in a queue.

use coltsfootroute::{
    importance::Importance,
    name::TeamName,
    schema::{ClientEntry, SchemaDocument, TeamEntry},
    team::{KeyDigest, RequestRanks, TeamTable},
};
use rstest::rstest;

/// A schema with operations of three importances, one of which needs no key, and the teams `teams`.
fn schema(teams: &str) -> SchemaDocument {
    let client = |importance: &str, more: &str| {
        format!("{{importance: {importance}, deadline_ms: 100, retry_budget: 0{more}}}")
    };
    let text = format!(
        "deployment: test\nservices:\n  - {{name: a, slots: 1, connections: 1, operations: [\
         {{name: view, client: {}}}, {{name: check, client: {}}}, {{name: pay, client: {}}}]}}\nteams: [{teams}]\n",
        client("background", ""),
        client("low", ""),
        client("normal", ", keyless: true"),
    );
    SchemaDocument::from_yaml(&text).expect("valid")
}

fn team(name: &str, key: &str, more: &str) -> String {
    format!("{{name: {name}, keys: [\"{}\"]{more}}}", KeyDigest::of_key(key.as_bytes()))
}

fn entry<'a>(schema: &'a SchemaDocument, operation: &str) -> &'a ClientEntry {
    let operations = &schema.services[0].operations;
    let operation = operations.iter().find(|entry| entry.name.as_str() == operation);
    operation.and_then(|operation| operation.client.as_ref()).expect("a client operation")
}

fn entry_of<'a>(schema: &'a SchemaDocument, name: &str) -> &'a TeamEntry {
    schema.teams.iter().find(|team| team.name.as_str() == name).expect("a team")
}

#[test]
fn a_key_identifies_only_the_team_that_holds_it() {
    let schema = schema(&[team("red", "k-red", ""), team("blue", "k-blue", "")].join(", "));
    let table = TeamTable::new(&schema.teams);

    let holder = |key: &[u8]| table.holder(&KeyDigest::of_key(key)).map(|team| team.name.clone());

    assert_eq!(holder(b"k-red"), Some(TeamName::new("red")));
    assert_eq!(holder(b"k-blue"), Some(TeamName::new("blue")));
    assert_eq!(holder(b"k-green"), None);
    assert_eq!(holder(b""), None);
}

#[test]
fn without_importance_of_teams_operations_keep_theirs() {
    let schema = schema(&team("red", "k", ""));
    let ranks = RequestRanks::new(&schema);

    let red = entry_of(&schema, "red");

    assert_eq!(ranks.importance(entry(&schema, "check"), Some(red)), Importance::Low);
    assert_eq!(ranks.importance(entry(&schema, "pay"), None), Importance::Normal);
}

/// Pattern: two teams send the same mix. Whatever the more important one sends goes before all of the other; within
/// each the operations keep their order.
#[test]
fn the_importance_of_a_team_precedes_that_of_the_operation() {
    let teams = [team("red", "k1", ", importance: high"), team("blue", "k2", ", importance: low")];
    let schema = schema(&teams.join(", "));
    let ranks = RequestRanks::new(&schema);

    let of = |operation, team| {
        ranks.importance(entry(&schema, operation), Some(entry_of(&schema, team)))
    };

    let order = [of("view", "blue"), of("check", "blue"), of("view", "red"), of("check", "red")];
    assert!(order.is_sorted_by(|left, right| left < right), "{order:?}");
}

#[rstest]
#[case::in_proportion("red", 29)]
#[case::the_lowest("blue", 1)]
#[case::without_a_rate("green", 1)]
fn turns_in_a_queue_are_proportional_to_the_rate(#[case] name: &str, #[case] turns: u32) {
    let teams = [
        team("red", "k1", ", rate: {per_s: 149, burst: 149}"),
        team("blue", "k2", ", rate: {per_s: 5, burst: 0}"),
        team("green", "k3", ""),
    ];
    let schema = schema(&teams.join(", "));

    let table = TeamTable::new(&schema.teams);

    assert_eq!(table.turns(entry_of(&schema, name)), turns);
}
