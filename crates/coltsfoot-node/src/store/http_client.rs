//! HTTP client of the platform's services, which sends each request once.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use coltsfootroute::table::{ObjectReply, TableReply, TableRequest};
use http::{Method, StatusCode};

use super::{HttpSender, StorePort, StoreReply, StoreSettings};
use crate::metrics::NodeMetrics;

/// HTTP client of the table service and the object store.
pub struct HttpClient {
    sender: HttpSender,
    table: SocketAddr,
    objects: SocketAddr,
}

impl HttpClient {
    /// Creates a client of the services at the addresses in `settings`.
    pub fn new(settings: &StoreSettings, metrics: Arc<NodeMetrics>) -> Self {
        let sender = HttpSender::new(settings.connect_timeout, metrics);
        Self { sender, table: settings.table, objects: settings.objects }
    }

    fn object_uri(&self, name: &str) -> String {
        format!("http://{}/object/{name}", self.objects)
    }
}

impl StorePort for HttpClient {
    async fn table(&self, request: &TableRequest) -> StoreReply<TableReply> {
        let Ok(body) = serde_json::to_vec(request) else {
            return StoreReply::Refused;
        };
        let uri = format!("http://{}/table", self.table);
        match self.sender.send(Method::POST, uri, body.into()).await {
            StoreReply::Answer((StatusCode::OK, body)) => {
                serde_json::from_slice(&body).map_or(StoreReply::Lost, StoreReply::Answer)
            }
            StoreReply::Answer(_) => StoreReply::Lost,
            other => other.without_answer(),
        }
    }

    async fn put_object(&self, name: &str, body: Bytes) -> StoreReply<ObjectReply> {
        match self.sender.send(Method::PUT, self.object_uri(name), body).await {
            StoreReply::Answer((StatusCode::OK, _)) => StoreReply::Answer(ObjectReply::Stored),
            StoreReply::Answer(_) => StoreReply::Lost,
            other => other.without_answer(),
        }
    }

    async fn get_object(&self, name: &str) -> StoreReply<ObjectReply> {
        match self.sender.send(Method::GET, self.object_uri(name), Bytes::new()).await {
            StoreReply::Answer((StatusCode::OK, body)) => {
                StoreReply::Answer(ObjectReply::Found(body.to_vec()))
            }
            StoreReply::Answer((StatusCode::NOT_FOUND, _)) => {
                StoreReply::Answer(ObjectReply::Missing)
            }
            StoreReply::Answer(_) => StoreReply::Lost,
            other => other.without_answer(),
        }
    }
}
