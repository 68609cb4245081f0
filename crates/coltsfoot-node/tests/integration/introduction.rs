//! Tests of how new nodes find the others: through the table service, or through the peers in their settings.

use std::time::Duration;

use coltsfoot_standin::table::{FaultCommand, FaultMode, TableHandle, TableServer, TableSettings};
use coltsfootroute::table::{StoredRow, TableReply, TableRequest};

use crate::util::{http_call::http_call, solo_node::SoloNode};

const PAUSE: Duration = Duration::from_millis(5);

fn table() -> TableHandle {
    TableServer::start(&TableSettings::default()).unwrap()
}

/// Reads the rows by which new nodes find the others.
fn rows(table: &TableHandle) -> Vec<StoredRow> {
    let request =
        TableRequest::Scan { prefix: "introduction/".to_owned(), after: String::new(), limit: 100 };
    let body = serde_json::to_string(&request).unwrap();
    let answer = http_call(table.address(), "POST", "/table", &[], &body);
    match serde_json::from_str(&answer.body).unwrap() {
        TableReply::Rows(rows) => rows,
        other => panic!("{other:?}"),
    }
}

#[test]
fn nodes_whose_settings_name_no_peers_find_one_another() {
    let table = table();
    let nodes: Vec<_> = (0..2).map(|_| SoloNode::start(table.address(), &[], "", "")).collect();

    let upstreams: Vec<_> = nodes.iter().map(SoloNode::start_upstream).collect();

    nodes[0].await_member(nodes[1].addresses.peer);
    nodes[1].await_member(nodes[0].addresses.peer);
    while rows(&table).len() < 2 {
        std::thread::sleep(PAUSE);
    }
    let mut keys: Vec<_> = rows(&table).into_iter().map(|row| String::from(row.key)).collect();
    keys.sort();
    let peers = nodes.iter().map(|node| node.addresses.peer);
    let mut expected: Vec<_> = peers.map(|peer| format!("introduction/stock/{peer}")).collect();
    expected.sort();
    assert_eq!(keys, expected);
    for (node, upstream) in nodes.into_iter().zip(upstreams) {
        upstream.stop();
        node.stop();
    }
    assert_eq!(rows(&table), []);
}

#[test]
fn a_row_is_written_once_however_often_the_upstream_announces_itself() {
    let table = table();
    let node = SoloNode::start(table.address(), &[], "", "");
    let body = r#"{"service":"stock","address":"127.0.0.1:9","slots":1,"connections":1}"#;

    for _ in 0..3 {
        node.host_call("PUT", "/upstream", &[], body);
    }

    while rows(&table).is_empty() {
        std::thread::sleep(PAUSE);
    }
    assert_eq!(rows(&table)[0].version.0, 1);
    node.stop();
}

#[test]
fn a_newcomer_joins_through_its_peers_while_the_store_is_down() {
    let table = table();
    table.fault(&FaultCommand::new(FaultMode::Down));
    let first = SoloNode::start(table.address(), &[], "", "");
    let newcomer = SoloNode::start(table.address(), &[first.addresses.peer], "", "");

    let upstreams = [&first, &newcomer].map(SoloNode::start_upstream);

    first.await_member(newcomer.addresses.peer);
    newcomer.await_member(first.addresses.peer);
    let _ = upstreams.map(|upstream| upstream.stop());
    first.stop();
    newcomer.stop();
}

#[test]
fn a_peer_that_never_answers_does_not_hold_up_the_configuration() {
    let table = table();
    // The kernel accepts connections, but nothing reads from them.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let peer = silent.local_addr().expect("bound");
    let node = SoloNode::start(table.address(), &[peer], "", "");

    node.configure();

    assert_eq!(node.host_call("GET", "/schema", &[], "").status, 200);
    node.stop();
}
