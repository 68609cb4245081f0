//! Asking a peer for changes of the configuration.

use std::time::Duration;

use coltsfootroute::id::NodeId;
use tokio::time::timeout;

use super::PeerLinks;
use crate::{
    dispatch::context::{NodeContext, SINCE_BYTES},
    metrics::ControlKind,
};

/// Longest wait for a peer's configuration. The configuration duty waits meanwhile; a peer that has gone
/// without a word must not hold it up, and others have the same.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks `peer` for what changed since revision `since`; `None` if it does not answer in time.
pub async fn pull_config(
    context: &NodeContext,
    links: &PeerLinks,
    peer: NodeId,
    since: u64,
) -> Option<Vec<u8>> {
    timeout(PULL_TIMEOUT, pull_delta(context, links, peer, since)).await.ok()?
}

async fn pull_delta(
    context: &NodeContext,
    links: &PeerLinks,
    peer: NodeId,
    since: u64,
) -> Option<Vec<u8>> {
    let link = links.get(peer).await.ok()?;
    let mut request = link.client().config_since_request();
    request.get().set_revision(since);
    match request.send().promise.await {
        Ok(response) => {
            let delta = response.get().ok()?.get_delta().ok()?.to_vec();
            context.count_asked(ControlKind::Configuration, SINCE_BYTES, delta.len());
            Some(delta)
        }
        Err(_) => {
            links.failed(peer, &link);
            None
        }
    }
}
