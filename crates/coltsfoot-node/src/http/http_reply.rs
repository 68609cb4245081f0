//! Replies of both listeners.

use std::time::Duration;

use bytes::Bytes;
use coltsfoot_wire::peer::{CallReply, ReplyBody, is_final_status, whole_seconds};
use coltsfootroute::{
    constants::{OUTCOME_HEADER, RETRY_AFTER_HEADER},
    id::RequestId,
    outcome::{CallOutcome, RefusalReason},
};
use http::{
    HeaderName, HeaderValue, StatusCode,
    header::{CONNECTION, CONTENT_TYPE},
};
use xitca_web::{body::ResponseBody, http::WebResponse};

use crate::answers::{OpenAnswer, TrackedBody};

/// Media type of bodies that the node writes itself.
pub const JSON: &str = "application/json";
/// Media type of plain text.
pub const TEXT: &str = "text/plain; charset=utf-8";

/// A reply, before it takes the server's form.
#[derive(Clone, Debug)]
pub struct HttpReply {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

#[derive(serde::Serialize)]
struct RefusalBody<'a> {
    reason: &'a str,
    outcome: &'a str,
    request: String,
}

impl HttpReply {
    /// A reply with a body of media type `content_type`.
    pub fn new(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Self {
        let reply = Self { status, headers: Vec::new(), body: body.into() };
        match HeaderValue::from_str(content_type) {
            Ok(value) if !content_type.is_empty() => reply.with_header(CONTENT_TYPE, value),
            _ => reply,
        }
    }

    /// A reply whose body is `value` as JSON.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, JSON, body),
            Err(err) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, TEXT, err.to_string()),
        }
    }

    /// A refusal of a call, in the form callers rely on.
    pub fn refusal(
        request: RequestId,
        reason: RefusalReason,
        outcome: CallOutcome,
        retry_after: Duration,
    ) -> Self {
        let status =
            StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let body = RefusalBody {
            reason: reason.as_str(),
            outcome: outcome.as_str(),
            request: request.to_string(),
        };
        Self::json(status, &body).with_outcome(outcome).with_header(
            HeaderName::from_static(RETRY_AFTER_HEADER),
            HeaderValue::from(whole_seconds(retry_after)),
        )
    }

    /// The reply to a call.
    pub fn from_call(request: RequestId, reply: CallReply) -> Self {
        match reply.body {
            ReplyBody::Answer { status, content_type, body, .. } => {
                match StatusCode::from_u16(status).ok().filter(|_| is_final_status(status)) {
                    Some(status) => {
                        Self::new(status, &content_type, body).with_outcome(reply.outcome)
                    }
                    None => Self::refusal(
                        request,
                        RefusalReason::UpstreamFailed,
                        CallOutcome::Unknown,
                        Duration::ZERO,
                    ),
                }
            }
            ReplyBody::Refusal { reason, retry_after } => {
                Self::refusal(request, reason, reply.outcome, retry_after)
            }
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Adds the outcome.
    pub fn with_outcome(self, outcome: CallOutcome) -> Self {
        let value = HeaderValue::from_static(outcome.as_str());
        self.with_header(HeaderName::from_static(OUTCOME_HEADER), value)
    }

    /// Asks the caller to open its next connection elsewhere.
    pub fn with_close(self) -> Self {
        self.with_header(CONNECTION, HeaderValue::from_static("close"))
    }

    /// Length of the body.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// The server's form of the reply, which is the answer `open`.
    pub fn into_response(self, open: OpenAnswer) -> WebResponse {
        let mut response = WebResponse::new(ResponseBody::boxed(TrackedBody::new(self.body, open)));
        *response.status_mut() = self.status;
        for (name, value) in self.headers {
            response.headers_mut().append(name, value);
        }
        response
    }
}
