//! Rows by which newly started nodes find other nodes.

use std::{collections::BTreeSet, net::SocketAddr};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{IntroducedNode, IntroductionRow, IntroductionScan},
    name::ServiceName,
    table::{MemoryTable, RowCondition, RowKey, RowWrite, TableReply, TableRequest},
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

/// Number of rows of [`filled`], which are three pages.
const ROWS: u16 = 1_500;
/// Number of pages after which all rows have been read: the first page, up to three after a random key, and all three
/// from the start.
const ROUNDS: usize = 8;

fn node(index: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], 1_000 + index)))
}

fn nodes(found: Vec<IntroducedNode>) -> Vec<NodeId> {
    found.into_iter().map(|introduced| introduced.node).collect()
}

fn row(service: &str, node: NodeId) -> IntroductionRow {
    IntroductionRow { service: ServiceName::new(service), node, incarnation: Incarnation(1) }
}

fn single_write(write: RowWrite) -> TableRequest {
    TableRequest::Transact(vec![write])
}

fn filled() -> MemoryTable {
    let mut table = MemoryTable::default();
    for index in 0..ROWS {
        let service = if index % 2 == 0 { "anchor" } else { "medicals" };
        assert_eq!(
            table.apply(&single_write(row(service, node(index)).write())),
            TableReply::Committed
        );
    }
    table
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_scan_finds_every_node_from_any_start(#[case] seed: u64) {
    let mut table = filled();
    let mut scan = IntroductionScan::new(&mut Pcg64::seed_from_u64(seed));

    let mut found = BTreeSet::new();
    for _ in 0..ROUNDS {
        let reply = table.apply(&scan.request());
        found.extend(nodes(scan.handle_reply(&reply)));
    }

    assert_eq!(found, (0..ROWS).map(node).collect());
}

#[test]
fn a_scan_of_a_service_finds_its_nodes_and_no_others() {
    let mut table = filled();
    table.apply(&single_write(row("anchorage", node(200)).write()));
    let mut scan = IntroductionScan::of_service(&ServiceName::new("anchor"));

    let mut found = BTreeSet::new();
    for _ in 0..2 {
        let reply = table.apply(&scan.request());
        found.extend(nodes(scan.handle_reply(&reply)));
    }

    assert_eq!(found, (0..ROWS).step_by(2).map(node).collect());
}

#[test]
fn a_removed_row_is_not_found_and_a_foreign_one_is_skipped() {
    let mut table = MemoryTable::default();
    let [stays, leaves] = [node(1), NodeId("[::1]:4711".parse().unwrap())];
    for node in [stays, leaves] {
        table.apply(&single_write(row("anchor", node).write()));
    }
    table.apply(&TableRequest::Transact(vec![RowWrite {
        key: RowKey::new("introduction/anchor/nobody"),
        condition: RowCondition::Any,
        value: Some("1".to_owned()),
    }]));
    let mut scan = IntroductionScan::new(&mut Pcg64::seed_from_u64(1));
    scan.handle_reply(&TableReply::Rows(Vec::new()));
    assert!(scan.is_at_start());

    let both = table.apply(&scan.request());
    table.apply(&single_write(row("anchor", leaves).removal()));
    let one = table.apply(&scan.request());

    assert_eq!(nodes(scan.handle_reply(&both)), [stays, leaves]);
    assert_eq!(nodes(scan.handle_reply(&one)), [stays]);
}

#[test]
fn an_unavailable_store_does_not_advance_the_scan() {
    let mut scan = IntroductionScan::new(&mut Pcg64::seed_from_u64(1));
    let before = scan.request();

    assert_eq!(scan.handle_reply(&TableReply::Unavailable), []);

    assert_eq!(scan.request(), before);
}

/// A new node calls several services from its first request on, and each read of the table service has a cost.
#[test]
fn one_page_yields_some_nodes_of_each_service() {
    let mut table = MemoryTable::default();
    for (index, service) in ["licences", "logbook", "medicals", "renewals"].iter().enumerate() {
        for member in 0..40 {
            table.apply(&single_write(row(service, node(index as u16 * 40 + member)).write()));
        }
    }
    let mut rng = Pcg64::seed_from_u64(4);
    let mut scan = IntroductionScan::new(&mut rng);

    let found = scan.handle_reply(&table.apply(&scan.request()));
    let asked = IntroductionScan::sample_by_service(&mut rng, &found);

    assert_eq!(found.len(), 160);
    let counts: Vec<_> = asked.iter().map(Vec::len).collect();
    assert_eq!(counts, [12, 12, 12, 12]);
    for (service, asked) in (0..).zip(&asked) {
        assert!(
            asked
                .iter()
                .all(|node| (0..40).any(|member| self::node(service * 40 + member) == *node))
        );
    }
}
