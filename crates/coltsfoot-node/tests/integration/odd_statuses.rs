//! Upstreams of the product's own interface whose answers have a status line that is no final answer of HTTP.

use coltsfoot_standin::table::{TableServer, TableSettings};
use rstest::rstest;

use crate::util::{
    solo_node::SoloNode,
    stub_upstream::{StubMode, StubUpstream},
};

/// Guards against an answer that is none in HTTP and reaches a caller.
#[rstest]
#[case("000")]
#[case("101")]
#[case("103")]
#[case("199")]
#[case("600")]
#[case("999")]
#[case("2000")]
fn a_status_that_is_no_final_one_reaches_no_caller(#[case] status: &'static str) {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let node = SoloNode::start(table.address(), &[], "", "");
    node.configure();
    let upstream = StubUpstream::start(StubMode::Status(status), node.addresses.host);
    let address = upstream.address;
    let body = format!(r#"{{"service":"stock","address":"{address}","slots":4,"connections":4}}"#);
    assert_eq!(node.host_call("PUT", "/upstream", &[], &body).status, 200);

    let answer = node.call();

    // The product's own interface says with 503 that there is no answer, and in the body what became of the call.
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.body.contains(r#""outcome":"unknown""#), "{}", answer.body);
    node.stop();
}
