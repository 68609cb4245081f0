//! Discovery of other nodes by a node that has just started.

use std::{rc::Rc, time::Duration};

use coltsfootroute::membership::IntroductionScan;
use tokio::time::{sleep, timeout};

use super::{IntroductionService, IntroductionStore};
use crate::{dispatch::context::NodeContext, gossip::GossipCommand};

/// Time that the peers named in the settings have to answer before the table service is queried; jittered.
const PEER_REPLY_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for the node's own row before the other nodes' rows are read. Among nodes that start together, the last
/// one to write reads the rows of all, so one read per node is enough; without the wait each node read about five times
/// before any row was written. Upstreams announce themselves within two seconds.
const MAX_OWN_ROW_WAIT: Duration = Duration::from_millis(2_500);
/// Time that the other nodes have to write their own rows when the whole deployment starts; jittered. A node that reads
/// earlier misses the members of small services, and needs one more read for each such service.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_800);
/// Pause after the first scan that found no node that answers; jittered, and doubled after each further scan.
const FIRST_SCAN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two scans of a node that has found no other node; jittered.
const MAX_SCAN_PAUSE: Duration = Duration::from_secs(10);

/// Settings that determine how a starting node finds other nodes.
#[derive(Clone, Copy, Debug)]
pub struct FinderOptions {
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Whether the whole deployment starts together with this node.
    pub first_start: bool,
}

/// Looks for other nodes in the table service until one has answered. A node that other nodes have already found still
/// reads once, unless its settings name peers, to find members of every service.
pub async fn discover_nodes(
    context: Rc<NodeContext>,
    introduction: Rc<IntroductionService>,
    store: IntroductionStore,
    options: FinderOptions,
) {
    if options.has_peers {
        sleep(context.jittered(PEER_REPLY_WAIT)).await;
        if has_joined(&context).await {
            return;
        }
    } else {
        // A timeout means that there is no upstream yet, or that the store is unavailable.
        let _ = timeout(MAX_OWN_ROW_WAIT, introduction.await_introduced()).await;
    }
    if options.first_start {
        sleep(context.jittered(FIRST_START_WAIT)).await;
    }
    let mut scan = IntroductionScan::new(&mut *context.rng.borrow_mut());
    let mut pause = FIRST_SCAN_PAUSE;
    loop {
        let found = store.scan(&mut scan).await;
        let sampled = IntroductionScan::sample_by_service(&mut *context.rng.borrow_mut(), &found);
        let nodes = found.into_iter().map(|introduced| introduced.node).collect();
        context.send_gossip_command(GossipCommand::Introduce(nodes)).await;
        for of_service in sampled {
            context.send_gossip_command(GossipCommand::Ping(of_service)).await;
        }
        sleep(context.jittered(pause)).await;
        if has_joined(&context).await {
            return;
        }
        pause = (pause * 2).min(MAX_SCAN_PAUSE);
    }
}

async fn has_joined(context: &NodeContext) -> bool {
    // If the gossip duty has ended, the process is stopping and there is nothing to join.
    context.membership_status().await.is_none_or(|status| status.joined)
}
