//! How a node that has just started finds the others.

use std::{rc::Rc, time::Duration};

use coltsfootroute::membership::IntroductionScan;
use tokio::time::sleep;

use super::IntroductionStore;
use crate::{dispatch::context::NodeContext, gossip::GossipCommand};

/// Time that peers of the settings have to answer before the table service is asked; jittered.
const PEER_TIME: Duration = Duration::from_secs(1);
/// Pause before the table service is asked where the settings name no peers; jittered, so that nodes that
/// start together find each other's rows.
const FIRST_SCAN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two scans of a node that has found nobody; jittered.
const LONGEST_SCAN_PAUSE: Duration = Duration::from_secs(10);

/// Looks for other nodes in the table service until one has answered.
pub async fn find_others(context: Rc<NodeContext>, store: IntroductionStore, has_peers: bool) {
    let mut scan = IntroductionScan::new(&mut *context.rng.borrow_mut());
    let mut pause = if has_peers { PEER_TIME } else { FIRST_SCAN_PAUSE };
    loop {
        sleep(context.jittered(pause)).await;
        if has_joined(&context).await {
            return;
        }
        let found = store.scan(&mut scan).await;
        context.tell_gossip(GossipCommand::Introduce(found)).await;
        pause = (pause * 2).min(LONGEST_SCAN_PAUSE);
    }
}

async fn has_joined(context: &NodeContext) -> bool {
    // Without the gossip duty the process stops: there is nothing to join.
    context.ask_gossip().await.is_none_or(|status| status.joined)
}
