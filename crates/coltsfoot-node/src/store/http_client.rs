//! Requests to the platform over HTTP, each sent once.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use coltsfootroute::table::{ObjectReply, StoreHealth, TableReply, TableRequest};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use super::StoreSettings;
use crate::metrics::{ControlKind, NodeMetrics, TrafficDirection};

/// Largest reply taken, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Idle connections are closed before a server's usual keep-alive of five seconds ends: a write on a
/// connection that the server closes at that moment would be uncertain for nothing.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

/// HTTP client of the table service and the object store.
pub(super) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    table: SocketAddr,
    objects: SocketAddr,
    metrics: Arc<NodeMetrics>,
}

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HttpReply<T> {
    /// The service's answer.
    Answer(T),
    /// Refused by the service's rate limit; not carried out.
    RateLimited,
    /// Not sent, or refused; not carried out.
    Refused,
    /// No usable answer: it may have been carried out.
    Lost,
}

impl<T> HttpReply<T> {
    pub(super) fn health(&self) -> StoreHealth {
        match self {
            Self::Answer(_) | Self::RateLimited => StoreHealth::Answering,
            Self::Refused | Self::Lost => StoreHealth::Failing,
        }
    }
}

impl HttpClient {
    pub(super) fn new(settings: &StoreSettings, metrics: Arc<NodeMetrics>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // The default repeats a request on a new connection: a write could run twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, table: settings.table, objects: settings.objects, metrics }
    }

    pub(super) async fn table(&self, request: &TableRequest) -> HttpReply<TableReply> {
        let Ok(body) = serde_json::to_vec(request) else {
            return HttpReply::Refused;
        };
        let uri = format!("http://{}/table", self.table);
        match self.send(Method::POST, uri, body.into()).await {
            HttpReply::Answer((StatusCode::OK, body)) => {
                serde_json::from_slice(&body).map_or(HttpReply::Lost, HttpReply::Answer)
            }
            HttpReply::Answer(_) => HttpReply::Lost,
            other => other.without_answer(),
        }
    }

    pub(super) async fn put_object(&self, name: &str, body: Bytes) -> HttpReply<ObjectReply> {
        match self.send(Method::PUT, self.object_uri(name), body).await {
            HttpReply::Answer((StatusCode::OK, _)) => HttpReply::Answer(ObjectReply::Stored),
            HttpReply::Answer(_) => HttpReply::Lost,
            other => other.without_answer(),
        }
    }

    pub(super) async fn get_object(&self, name: &str) -> HttpReply<ObjectReply> {
        match self.send(Method::GET, self.object_uri(name), Bytes::new()).await {
            HttpReply::Answer((StatusCode::OK, body)) => {
                HttpReply::Answer(ObjectReply::Found(body.to_vec()))
            }
            HttpReply::Answer((StatusCode::NOT_FOUND, _)) => {
                HttpReply::Answer(ObjectReply::Missing)
            }
            HttpReply::Answer(_) => HttpReply::Lost,
            other => other.without_answer(),
        }
    }

    fn object_uri(&self, name: &str) -> String {
        format!("http://{}/object/{name}", self.objects)
    }

    async fn send(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
    ) -> HttpReply<(StatusCode, Bytes)> {
        let sent_bytes = body.len();
        let Ok(request) = Request::builder().method(method).uri(uri).body(Full::new(body)) else {
            return HttpReply::Refused;
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return HttpReply::Refused,
            Err(_) => return HttpReply::Lost,
        };
        self.count_bytes(TrafficDirection::Sent, sent_bytes);
        let status = response.status();
        match status {
            StatusCode::TOO_MANY_REQUESTS => return HttpReply::RateLimited,
            StatusCode::SERVICE_UNAVAILABLE => return HttpReply::Refused,
            _ => {}
        }
        match Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                self.count_bytes(TrafficDirection::Received, body.len());
                HttpReply::Answer((status, body))
            }
            Err(_) => HttpReply::Lost,
        }
    }

    /// Bodies only: heads and connections are the HTTP client's own.
    fn count_bytes(&self, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(ControlKind::Store, direction, bytes);
    }
}

impl<T> HttpReply<T> {
    /// The same outcome for another kind of answer; an answer, which callers take out before, is lost.
    fn without_answer<U>(self) -> HttpReply<U> {
        match self {
            Self::RateLimited => HttpReply::RateLimited,
            Self::Refused => HttpReply::Refused,
            Self::Answer(_) | Self::Lost => HttpReply::Lost,
        }
    }
}
