//! Requests configuration changes from a peer.

use std::time::Duration;

use coltsfootroute::id::NodeId;
use tokio::time::timeout;

use super::{PeerLinks, peer_links::PeerLink};
use crate::{
    dispatch::context::{CONFIG_REQUEST_BYTES, NodeContext},
    metrics::ControlKind,
};

/// Timeout for connecting to a peer, and for its reply. It can be short because other peers have the same
/// configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests the changes since revision `since` from `peer`; returns `None` if the request fails or times out.
pub async fn pull_config(
    context: &NodeContext,
    links: &PeerLinks,
    peer: NodeId,
    since: u64,
) -> Option<Vec<u8>> {
    let link = timeout(PULL_TIMEOUT, links.get(peer)).await.ok()?.ok()?;
    let delta = timeout(PULL_TIMEOUT, pull_delta(context, &link, since)).await.ok().flatten();
    if delta.is_none() {
        // The connection has ended or the peer does not respond; the next request opens a new connection.
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
