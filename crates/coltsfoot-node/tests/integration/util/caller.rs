//! Caller over plain HTTP that opens a connection for each request and retries none.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use coltsfoot_standin::{
    body_digest::body_digest, call_answer::CallAnswer, http_client::HttpClient,
};
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::timeout;

use super::store_fixture::LONG;

/// Reply that a caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub body: Bytes,
}

impl Reply {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Description of a call to make.
#[derive(Clone, Debug, Default)]
pub struct PlannedCall {
    pub service: String,
    pub operation: String,
    pub body: String,
    pub headers: Vec<(String, String)>,
}

impl PlannedCall {
    /// Makes the call; returns a text with the status, the outcome, and the reason or the origin of the answer.
    pub async fn make(&self, address: SocketAddr) -> String {
        let path = format!("/call/{}/{}", self.service, self.operation);
        match send(address, Method::POST, &path, &self.headers, self.body.clone()).await {
            Ok(reply) => self.describe(&reply),
            Err(failure) => failure.to_owned(),
        }
    }

    /// Makes the key of this call unique among several calls by appending `index`, if it has a key.
    pub fn number_key(&mut self, index: usize) {
        let keys = self.headers.iter_mut().filter(|(name, _)| name == "idempotency-key");
        keys.for_each(|(_, key)| *key = format!("{key}-{index}"));
    }

    fn describe(&self, reply: &Reply) -> String {
        let head = format!("{} {}", reply.status, reply.outcome);
        if let Some(reason) = reply.json()["reason"].as_str() {
            // The text of an upstream's own failure varies between runs, so only its kind is reported.
            return match reason.contains(' ') {
                true => format!("{head} upstream's-failure"),
                false => format!("{head} {reason}"),
            };
        }
        if let Ok(told) = serde_json::from_slice::<EchoedHeaders>(&reply.body) {
            return format!("{head} {}", self.compare(&told));
        }
        match serde_json::from_slice::<CallAnswer>(&reply.body) {
            Ok(answer) if self.owns(&answer) => format!("{head} own-answer"),
            Ok(_) => format!("{head} ANSWER OF ANOTHER CALL"),
            Err(_) => format!("{head} {}", String::from_utf8_lossy(&reply.body)),
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Compares the headers that reached the upstream with those that the caller sent.
    fn compare(&self, told: &EchoedHeaders) -> String {
        let stated = self.header("coltsfoot-deadline-ms").and_then(|text| text.parse().ok());
        let deadline = match (told.deadline_ms, stated.unwrap_or(u64::MAX)) {
            (Some(told), stated) if told <= stated => "deadline-kept",
            _ => "DEADLINE EXTENDED",
        };
        let context = match &told.context {
            Some(told) if self.header("coltsfoot-context") != Some(told) => "context-of-the-node",
            _ => "CONTEXT OF THE CALLER",
        };
        format!("{deadline} {context}")
    }

    fn owns(&self, answer: &CallAnswer) -> bool {
        answer.service == self.service
            && answer.operation == self.operation
            && answer.body_digest == body_digest(self.body.as_bytes())
    }
}

/// Body of [`StubMode::Echo`](super::stub_upstream::StubMode::Echo).
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EchoedHeaders {
    pub deadline_ms: Option<u64>,
    pub context: Option<String>,
}

/// Sends one request; the error is `refused` if no connection was made, `broken` if the connection failed.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(String, String)],
    body: impl Into<Bytes>,
) -> Result<Reply, &'static str> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(name, value);
    }
    let request = builder.body(Full::new(body.into())).expect("a request");
    let exchange = async {
        let response = HttpClient::new(0).request(request).await;
        let response =
            response.map_err(|err| if err.is_connect() { "refused" } else { "broken" })?;
        let (head, body) = response.into_parts();
        let outcome = head.headers.get("coltsfoot-outcome").and_then(|value| value.to_str().ok());
        let outcome = outcome.unwrap_or("no-outcome").to_owned();
        Ok(Reply { status: head.status.as_u16(), outcome, body })
    };
    timeout(LONG, exchange).await.unwrap_or(Err("no answer"))
}

/// Polls `condition` until it holds.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(timeout(LONG, poll).await.is_ok(), "never: {what}");
}
