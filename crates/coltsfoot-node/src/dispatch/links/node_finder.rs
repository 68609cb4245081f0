//! How a node that has just started finds the others.

use std::{rc::Rc, time::Duration};

use coltsfootroute::membership::IntroductionScan;
use tokio::time::{sleep, timeout};

use super::{IntroductionDesk, IntroductionStore};
use crate::{dispatch::context::NodeContext, gossip::GossipCommand};

/// Time that peers of the settings have to answer before the table service is asked; jittered.
const PEER_TIME: Duration = Duration::from_secs(1);
/// Longest wait for the node's own row before the others' are read. Of nodes that start together the last to write
/// reads the rows of all, so that one read a node does; before, each read some five times while nobody had written.
/// Upstreams announce themselves within two seconds.
const OWN_ROW_WAIT: Duration = Duration::from_millis(2_500);
/// Time that the other nodes of a deployment that starts have for their own rows; jittered. Whoever reads before them
/// misses the members of small services, and reads once more for each.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_800);
/// First pause after a scan that has found nobody who answers; jittered. Twice as long after each.
const FIRST_SCAN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two scans of a node that has found nobody; jittered.
const LONGEST_SCAN_PAUSE: Duration = Duration::from_secs(10);

/// What a node that starts knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct FinderStart {
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Whether the whole deployment starts with this node.
    pub first_start: bool,
}

/// Looks for other nodes in the table service until one has answered. A node that others have found meanwhile reads
/// once all the same, unless its settings name peers: it learns members of every service by that.
pub async fn find_others(
    context: Rc<NodeContext>,
    desk: Rc<IntroductionDesk>,
    store: IntroductionStore,
    start: FinderStart,
) {
    if start.has_peers {
        sleep(context.jittered(PEER_TIME)).await;
        if has_joined(&context).await {
            return;
        }
    } else {
        // Past the bound there is no upstream yet, or no store.
        let _ = timeout(OWN_ROW_WAIT, desk.introduced()).await;
    }
    if start.first_start {
        sleep(context.jittered(FIRST_START_WAIT)).await;
    }
    let mut scan = IntroductionScan::new(&mut *context.rng.borrow_mut());
    let mut pause = FIRST_SCAN_PAUSE;
    loop {
        let found = store.scan(&mut scan).await;
        let asked = IntroductionScan::sample_by_service(&mut *context.rng.borrow_mut(), &found);
        let nodes = found.into_iter().map(|introduced| introduced.node).collect();
        context.send_gossip_command(GossipCommand::Introduce(nodes)).await;
        for of_service in asked {
            context.send_gossip_command(GossipCommand::Ask(of_service)).await;
        }
        sleep(context.jittered(pause)).await;
        if has_joined(&context).await {
            return;
        }
        pause = (pause * 2).min(LONGEST_SCAN_PAUSE);
    }
}

async fn has_joined(context: &NodeContext) -> bool {
    // Without the gossip duty the process stops: there is nothing to join.
    context.membership_status().await.is_none_or(|status| status.joined)
}
