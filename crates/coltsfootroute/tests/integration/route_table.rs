//! Requests are mapped to operations by host and path, and split routes keep their shares.

use coltsfootroute::{
    name::OperationName,
    schema::{RouteTable, SchemaDocument},
};
use rstest::rstest;

const SCHEMA: &str = "
deployment: test
services:
  - name: stock
    slots: 4
    connections: 16
    operations:
      - name: shop
        client: {importance: normal, deadline_ms: 5000, retry_budget: 1}
        matches: [{host: shop.example, prefix: /}]
      - name: parts
        client: {importance: normal, deadline_ms: 5000, retry_budget: 1}
        matches: [{host: shop.example, prefix: /parts/}, {host: other.example, prefix: /parts/, weight: 9}]
  - name: archive
    slots: 4
    connections: 16
    operations:
      - name: old-parts
        client: {importance: normal, deadline_ms: 5000, retry_budget: 1}
        matches: [{host: other.example, prefix: /parts/, weight: 1}]
";

fn table(seed: u64) -> RouteTable {
    RouteTable::new(&SchemaDocument::from_yaml(SCHEMA).expect("schema"), seed)
}

fn operation(table: &RouteTable, host: &str, path: &str) -> Option<OperationName> {
    table.find(host, path).map(|target| target.operation.clone())
}

#[rstest]
#[case::longest_prefix("shop.example", "/parts/7", Some("parts"))]
#[case::shorter_prefix("shop.example", "/part", Some("shop"))]
#[case::prefix_without_its_slash("shop.example", "/parts", Some("shop"))]
#[case::host_in_capitals_with_a_port("SHOP.example:8080", "/parts/7", Some("parts"))]
#[case::unknown_host("nowhere.example", "/parts/7", None)]
#[case::no_prefix_begins_the_path("other.example", "/7", None)]
fn a_request_finds_its_operation(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let found = operation(&table(0), host, path);

    assert_eq!(found.as_ref().map(OperationName::as_str), expected);
}

#[rstest]
#[case(0)]
#[case(7)]
#[case(u64::MAX)]
fn a_split_route_keeps_its_shares_over_any_run_of_requests(#[case] seed: u64) {
    let table = table(seed);
    let archived: Vec<bool> = (0..5_000)
        .map(|_| {
            operation(&table, "other.example", "/parts/7") == Some(OperationName::new("old-parts"))
        })
        .collect();

    for run in archived.windows(300) {
        let share = run.iter().filter(|archived| **archived).count();
        assert!((27..=33).contains(&share), "{share} of 300, 30 are expected");
    }
}

#[rstest]
#[case::no_slash_at_the_end("{host: a.example, prefix: /a}", "expected `/` at both ends")]
#[case::no_host("{host: \"\", prefix: /a/}", "expected the host that requests name")]
#[case::no_weight("{host: a.example, prefix: /a/, weight: 0}", "expected at least 1")]
fn a_faulty_match_is_named(#[case] faulty: &str, #[case] message: &str) {
    let text = SCHEMA.replace("{host: shop.example, prefix: /}", faulty);

    let errors = SchemaDocument::from_yaml(&text).unwrap_err().to_string();

    assert!(errors.contains("services[0].operations[0].matches[0]"), "{errors}");
    assert!(errors.contains(message), "{errors}");
}
