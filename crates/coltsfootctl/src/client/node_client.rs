//! HTTP client of one node.

use super::RpcAnswer;
use crate::control_error::ControlError;
use bytes::Bytes;
use http::{Method, Request, request::Builder};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{fmt::Display, net::SocketAddr, time::Duration};

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Sends RPCs to one node. Never repeats a request by itself: only the operator knows whether to.
#[derive(Clone, Debug)]
pub struct NodeClient {
    http: Client<HttpConnector, Full<Bytes>>,
    node: SocketAddr,
    timeout: Duration,
}

impl NodeClient {
    /// A client of the host listener at `node`.
    pub fn new(node: SocketAddr, timeout: Duration) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        let http = builder.retry_canceled_requests(false).build_http();
        Self { http, node, timeout }
    }

    /// `GET path`.
    pub async fn get(&self, path: &str) -> Result<RpcAnswer, ControlError> {
        let request = self.request(Method::GET, path);
        self.send(request, String::new()).await
    }

    /// A request to be given headers and sent.
    pub fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.node))
    }

    /// Sends `request` and reads the whole answer; a refusal is an error.
    pub async fn send(&self, request: Builder, body: String) -> Result<RpcAnswer, ControlError> {
        let request = request.body(Full::from(body)).map_err(|error| self.unreachable(error))?;
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        answer.unwrap_or_else(|_| Err(self.unreachable("timeout")))?.success()
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<RpcAnswer, ControlError> {
        let response = self.http.request(request).await.map_err(|error| self.unreachable(error))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| self.unreachable(error))?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(RpcAnswer { status: parts.status, headers: parts.headers, body })
    }

    fn unreachable(&self, reason: impl Display) -> ControlError {
        ControlError::Unreachable { node: self.node, reason: reason.to_string() }
    }
}
