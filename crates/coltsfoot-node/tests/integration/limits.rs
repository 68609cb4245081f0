//! Limits of the settings are in force.

use std::{net::TcpListener, thread, time::Duration};

use coltsfoot_standin::table::{TableHandle, TableServer, TableSettings};
use coltsfootroute::event::EventKind;
use rstest::rstest;

use crate::util::{
    http_call::http_call,
    solo_node::{SoloNode, await_event, call},
};

fn table() -> TableHandle {
    TableServer::start(&TableSettings::default()).unwrap()
}

fn announce(node: &SoloNode, upstream: &TcpListener) {
    let address = upstream.local_addr().unwrap();
    let body = format!(r#"{{"service":"stock","address":"{address}","slots":4,"connections":4}}"#);
    assert_eq!(node.host_call("PUT", "/upstream", &[], &body).status, 200);
}

#[rstest]
#[case(500, 200)]
#[case(1_100, 431)]
fn a_head_beyond_its_limit_is_refused(#[case] header_bytes: usize, #[case] status: u16) {
    let table = table();
    let node = SoloNode::start(table.address(), &[], ", header_bytes: 1024", "");

    let value = "x".repeat(header_bytes);
    let answer = node.host_call("GET", "/status", &[("x-long", &value)], "");

    assert_eq!(answer.status, status);
    node.stop();
}

#[rstest]
#[case(", queue: 3", 3)]
#[case("", 32)]
fn no_more_calls_wait_than_the_limit_says(#[case] limit: &str, #[case] expected: u64) {
    let table = table();
    let node = SoloNode::start(table.address(), &[], limit, "");
    announce(&node, &TcpListener::bind("127.0.0.1:0").unwrap());

    assert_eq!(node.status()["upstream"]["queue"], expected);
    node.stop();
}

#[test]
fn a_stop_that_takes_long_is_reported_and_waits_on() {
    let table = table();
    let node = SoloNode::start(table.address(), &[], ", drain_max_s: 1", "");
    node.configure();
    let upstream = TcpListener::bind("127.0.0.1:0").unwrap();
    announce(&node, &upstream);
    let (client, host) = (node.addresses.client, node.addresses.host);
    let caller = thread::spawn(move || call(client));
    // The connection is kept open and never answered.
    let (connection, _) = upstream.accept().unwrap();

    let stopping = thread::spawn(move || node.stop());
    let (in_flight, waited_ms) = await_event(host, |record| match record.kind {
        EventKind::DrainOverdue { in_flight, waited_ms, .. } => Some((in_flight, waited_ms)),
        _ => None,
    });

    assert!(in_flight >= 1);
    assert!(waited_ms >= 1_000);
    assert!(!stopping.is_finished());
    let status = http_call(host, "GET", "/status", &[], "").body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["phase"], "leaving");
    assert_eq!(status["overdue"]["in_flight"], in_flight);
    drop((connection, upstream));
    // The upstream may have worked on it, and the node said so instead of cutting the caller off.
    let body = caller.join().unwrap().body;
    assert!(body.contains(r#""outcome":"unknown""#), "{body}");
    stopping.join().unwrap();
}

#[test]
fn the_share_of_the_stores_rates_is_kept() {
    let table = table();
    let store = ", writes_per_s: 1, reads_per_s: 100000, nodes: 1000";
    let node = SoloNode::start(table.address(), &[], "", store);
    node.configure();
    let configured = table.counts().writes;
    let upstream = node.start_upstream();
    // The node's row takes the one write that its share allows for a quarter of an hour.
    while table.counts().writes == configured {
        thread::sleep(Duration::from_millis(5));
    }

    let key = [("idempotency-key", "first")];
    let answer = http_call(node.addresses.client, "POST", "/call/stock/take", &key, "{}");

    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("store-unavailable"), "{}", answer.body);
    assert_eq!(table.counts().writes, configured + 1);
    upstream.stop();
    node.stop();
}
