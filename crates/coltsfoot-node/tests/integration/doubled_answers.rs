//! Upstreams of the product's own interface that send their answers twice.

use coltsfoot_standin::table::{TableServer, TableSettings};
use indexmap::IndexSet;

use crate::util::{
    solo_node::SoloNode,
    stub_upstream::{StubMode, StubUpstream},
};

const CALLS: usize = 20;

/// Guards against a call that gets the answer to an earlier one, since its upstream sends answers twice and calls have no
/// identity of their client.
#[test]
fn no_call_gets_the_answer_to_another() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let node = SoloNode::start(table.address(), &[], "", "");
    node.configure();
    let upstream = StubUpstream::start(StubMode::Doubled, node.addresses.host);
    let address = upstream.address;
    let body = format!(r#"{{"service":"stock","address":"{address}","slots":4,"connections":4}}"#);
    assert_eq!(node.host_call("PUT", "/upstream", &[], &body).status, 200);

    let answers: Vec<_> = (0..CALLS).map(|_| node.call()).collect();

    // Each call has a context of its own, which the stub writes into the body.
    let good: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
    let different: IndexSet<_> = good.iter().map(|answer| answer.body.as_str()).collect();
    assert!(!good.is_empty());
    assert_eq!(different.len(), good.len(), "{different:?}");
    node.stop();
}
