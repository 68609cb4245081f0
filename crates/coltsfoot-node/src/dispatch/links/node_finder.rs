//! How a node that has just started finds the others.

use std::{rc::Rc, time::Duration};

use coltsfootroute::membership::IntroductionScan;
use tokio::time::{sleep, timeout};

use super::{IntroductionService, IntroductionStore};
use crate::{dispatch::context::NodeContext, gossip::GossipCommand};

/// Time that peers of the settings have to answer before the table service is asked; jittered.
const PEER_REPLY_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for the node's own row before the others' are read. Of nodes that start together the last to write
/// reads the rows of all, so that one read a node does; before, each read some five times while nobody had written.
/// Upstreams announce themselves within two seconds.
const MAX_OWN_ROW_WAIT: Duration = Duration::from_millis(2_500);
/// Time that the other nodes of a deployment that starts have for their own rows; jittered. Whoever reads before them
/// misses the members of small services, and reads once more for each.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_800);
/// First pause after a scan that has found nobody who answers; jittered. Twice as long after each.
const FIRST_SCAN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two scans of a node that has found nobody; jittered.
const MAX_SCAN_PAUSE: Duration = Duration::from_secs(10);

/// What a node that starts knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct FinderOptions {
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Whether the whole deployment starts with this node.
    pub first_start: bool,
}

/// Looks for other nodes in the table service until one has answered. A node that others have found meanwhile reads
/// once all the same, unless its settings name peers: it learns members of every service by that.
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
        // Past the bound there is no upstream yet, or no store.
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
        context.tell_gossip(GossipCommand::Introduce(nodes)).await;
        for of_service in sampled {
            context.tell_gossip(GossipCommand::Ask(of_service)).await;
        }
        sleep(context.jittered(pause)).await;
        if has_joined(&context).await {
            return;
        }
        pause = (pause * 2).min(MAX_SCAN_PAUSE);
    }
}

async fn has_joined(context: &NodeContext) -> bool {
    // Without the gossip duty the process stops: there is nothing to join.
    context.ask_gossip().await.is_none_or(|status| status.joined)
}
