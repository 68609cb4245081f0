//! The state of a node as reported to operators.

use std::time::Duration;

use coltsfoot_standin::table::{TableServer, TableSettings};
use serde_json::json;

use crate::util::solo_node::SoloNode;

const POLL_PERIOD: Duration = Duration::from_millis(5);

#[test]
fn members_and_pools_are_shown_by_state() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let watcher = SoloNode::start(table.address(), &[], "", "");
    watcher.configure();
    let host = SoloNode::start(table.address(), &[watcher.addresses.peer], "", "");
    let upstream = host.start_upstream();
    watcher.await_member(host.addresses.peer);

    assert_eq!(watcher.call().status, 200);
    // `joined` becomes true only after another node has answered this one, not when another has contacted it.
    while watcher.status()["membership"]["joined"] != true {
        std::thread::sleep(POLL_PERIOD);
    }
    let status = watcher.status();

    assert_eq!(status["ready"], true);
    assert_eq!(status["overdue"], json!(null));
    let members = json!({ "up": 1, "suspect": 0, "down": 0, "left": 0 });
    assert_eq!(status["services"], json!([{ "service": "stock", "members": members }]));
    let pool = &status["pools"][0];
    assert_eq!((&pool["service"], &pool["upstreams"]), (&json!("stock"), &json!(1)));
    let phases = pool["phases"].as_object().unwrap();
    assert_eq!(phases.values().filter_map(|count| count.as_u64()).sum::<u64>(), 1);
    assert_eq!(pool["chosen_near"], 1);

    upstream.stop();
    host.stop();
    watcher.await_event(|record| (record.kind.name() == "member-left").then_some(()));
    while watcher.status()["services"][0]["members"]["left"] != 1 {
        std::thread::sleep(POLL_PERIOD);
    }
    watcher.stop();
}
