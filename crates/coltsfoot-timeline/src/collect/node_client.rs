//! Client of the nodes' `GET /events`.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfootroute::event::EventRecord;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use super::ClientError;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the nodes' `GET /events`; cheap to clone.
#[derive(Clone)]
pub struct NodeClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl NodeClient {
    /// A client without open connections.
    pub fn new() -> Self {
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Self { client }
    }

    /// One page of the node's events from sequence number `sequence` on; empty when there are no more.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the node gives no readable answer in time.
    pub async fn events_since(
        &self,
        node: SocketAddr,
        sequence: u64,
    ) -> Result<Vec<EventRecord>, ClientError> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.fetch(node, sequence));
        let body =
            answer.await.map_err(|_| ClientError::TimedOut(ANSWER_TIMEOUT.as_millis()))??;
        let text = std::str::from_utf8(&body).map_err(|e| ClientError::Body(e.to_string()))?;
        let records: Result<Vec<_>, _> = text.lines().map(EventRecord::from_json).collect();
        Ok(records?)
    }

    async fn fetch(&self, node: SocketAddr, sequence: u64) -> Result<Bytes, ClientError> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(node.to_string())
            .path_and_query(format!("/events?since={sequence}"))
            .build()
            .map_err(unreachable)?;
        let request = Request::get(uri).body(Empty::new()).map_err(unreachable)?;
        let response = self.client.request(request).await.map_err(unreachable)?;
        read_body(response).await
    }
}

impl Default for NodeClient {
    fn default() -> Self {
        Self::new()
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, ClientError> {
    if response.status() != StatusCode::OK {
        return Err(ClientError::Status(response.status().as_u16()));
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let collected = body.collect().await.map_err(|error| ClientError::Body(error.to_string()))?;
    Ok(collected.to_bytes())
}

fn unreachable(error: impl std::error::Error) -> ClientError {
    // The outer error only says that the request failed; its source says why.
    let reason = error.source().map_or_else(|| error.to_string(), ToString::to_string);
    ClientError::Unreachable(reason)
}
