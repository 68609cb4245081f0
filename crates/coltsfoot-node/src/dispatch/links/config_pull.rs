//! Asking a peer for changes of the configuration.

use std::time::Duration;

use coltsfootroute::id::NodeId;
use tokio::time::timeout;

use super::{PeerLinks, peer_links::PeerLink};
use crate::{
    dispatch::context::{CONFIG_REQUEST_BYTES, NodeContext},
    metrics::ControlKind,
};

/// Longest wait for a peer's configuration: others have the same.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks `peer` for what changed since revision `since`; `None` if it does not answer in time.
pub async fn pull_config(
    context: &NodeContext,
    links: &PeerLinks,
    peer: NodeId,
    since: u64,
) -> Option<Vec<u8>> {
    let link = timeout(PULL_TIMEOUT, links.get(peer)).await.ok()?.ok()?;
    let delta = timeout(PULL_TIMEOUT, pull_delta(context, &link, since)).await.ok().flatten();
    if delta.is_none() {
        // It has ended, or gone silent: the next question opens another.
        links.failed(peer, &link);
    }
    delta
}

async fn pull_delta(context: &NodeContext, link: &PeerLink, since: u64) -> Option<Vec<u8>> {
    let mut request = link.client().config_since_request();
    request.get().set_revision(since);
    let response = request.send().promise.await.ok()?;
    let delta = response.get().ok()?.get_delta().ok()?.to_vec();
    context.count_sent_request(ControlKind::Configuration, CONFIG_REQUEST_BYTES, delta.len());
    Some(delta)
}
