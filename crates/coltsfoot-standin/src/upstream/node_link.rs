//! Announcements to the upstream's own node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::http_client::HttpClient;

use super::{call_handler::to_json, upstream_state::UpstreamState};

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time to the next try where the node did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Bound on one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Tries of announcing the leave.
const LEAVE_TRIES: u32 = 3;

/// Body of `PUT /upstream` and `DELETE /upstream`.
#[derive(serde::Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    slots: u32,
    connections: u32,
}

/// The way from an upstream to its own node.
pub(super) struct NodeLink {
    state: Arc<UpstreamState>,
    client: HttpClient,
    node: SocketAddr,
    address: SocketAddr,
}

impl NodeLink {
    /// A link to `node` for the upstream that listens on `address`.
    pub(super) fn new(
        state: Arc<UpstreamState>,
        client: HttpClient,
        node: SocketAddr,
        address: SocketAddr,
    ) -> Self {
        Self { state, client, node, address }
    }

    /// Announces the upstream again and again; never returns.
    pub(super) async fn announce(&self) {
        loop {
            let heard = self.send(Method::PUT).await;
            sleep(if heard { ANNOUNCE_INTERVAL } else { RETRY_INTERVAL }).await;
        }
    }

    /// Announces the leave; gives up after a few tries, as the node may be gone.
    pub(super) async fn leave(&self) {
        for _ in 0..LEAVE_TRIES {
            if self.send(Method::DELETE).await {
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Whether the node took the message.
    async fn send(&self, method: Method) -> bool {
        let announcement = Announcement {
            service: self.state.settings.service.as_str(),
            address: self.address,
            slots: self.state.slots,
            connections: self.state.service.connections,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/upstream", self.node))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::<Bytes>::new(to_json(&announcement)));
        let Ok(request) = request else { return false };
        let answer = timeout(ANNOUNCE_TIMEOUT, self.client.request(request)).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
    }
}
