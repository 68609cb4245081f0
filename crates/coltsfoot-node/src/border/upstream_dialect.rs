//! Headers exchanged between node and upstream.

use coltsfoot_wire::peer::{HeaderLine, RequestHead};
use coltsfootroute::{
    constants::{
        CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, LIMIT_HEADER, OUTCOME_HEADER,
        TEAM_HEADER,
    },
    outcome::CallOutcome,
    upstream_limit::RequestRate,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::CONTENT_ENCODING};
use twox_hash::XxHash3_128;

use super::{StatedLimit, UpstreamStatement};

/// Marker in an answer of an upstream that has not run the call.
#[derive(Clone, Debug)]
pub struct NotRunMarker {
    /// Header that marks the answer.
    pub header: HeaderName,
    /// Required value of the header; `None` for any.
    pub value: Option<&'static str>,
    /// Required status of the answer; `None` for any.
    pub status: Option<StatusCode>,
}

/// Header whose value in the call is repeated in its answer; an answer with another value belongs to another call.
#[derive(Clone, Debug)]
pub enum AnswerEcho {
    /// Each answer repeats the header, which holds the identity of the client's request.
    Required(HeaderName),
    /// An answer may repeat the header, which holds an identity of this call alone. One without it is taken for the answer
    /// to the last call on its connection.
    Optional(HeaderName),
}

impl AnswerEcho {
    fn header(&self) -> &HeaderName {
        match self {
            Self::Required(name) | Self::Optional(name) => name,
        }
    }
}

/// Names of the headers exchanged between node and upstream; a header that is `None` is not used.
#[derive(Clone, Debug)]
pub struct UpstreamDialect {
    /// Request header with the remaining time, in milliseconds.
    pub deadline: HeaderName,
    /// Request header with the context for nested calls of the upstream.
    pub context: Option<HeaderName>,
    /// Request header with the idempotency key.
    pub key: Option<HeaderName>,
    /// Request header with the team that sent the client request.
    pub team: Option<HeaderName>,
    /// Request header with the only instance that may run the call.
    pub expected_instance: Option<HeaderName>,
    /// Marker of an answer to a call that has not run.
    pub not_run: NotRunMarker,
    /// Header whose value in the call is repeated in its answer.
    pub echo: AnswerEcho,
    /// Response header on each successful answer that the upstream itself has sent.
    pub seal: Option<HeaderName>,
    /// Response header with the requests per second that the upstream accepts from all callers together.
    pub limit: Option<HeaderName>,
    /// Response header with the value [`LEAVING_VALUE`] on each answer of an upstream that is leaving.
    pub leaving: Option<HeaderName>,
}

/// Value of the header by which an upstream says that it is leaving.
const LEAVING_VALUE: &str = "1";

impl UpstreamDialect {
    /// Returns whether the upstream refuses calls meant for another instance of it.
    pub fn checks_instance(&self) -> bool {
        self.expected_instance.is_some()
    }

    /// Creates a dialect with the native headers.
    pub fn own() -> Self {
        Self {
            deadline: HeaderName::from_static(DEADLINE_HEADER),
            context: Some(HeaderName::from_static(CONTEXT_HEADER)),
            key: Some(HeaderName::from_static(IDEMPOTENCY_KEY_HEADER)),
            team: Some(HeaderName::from_static(TEAM_HEADER)),
            expected_instance: None,
            not_run: NotRunMarker {
                header: HeaderName::from_static(OUTCOME_HEADER),
                value: Some(CallOutcome::NotRun.as_str()),
                status: Some(StatusCode::SERVICE_UNAVAILABLE),
            },
            echo: AnswerEcho::Optional(HeaderName::from_static(CONTEXT_HEADER)),
            seal: None,
            limit: Some(HeaderName::from_static(LIMIT_HEADER)),
            leaving: None,
        }
    }

    /// Returns the context of a forwarded request, by which the nested calls of its upstream are matched to it; `None`
    /// if the request has no identity.
    pub fn context_of(&self, head: &RequestHead) -> Option<u128> {
        let AnswerEcho::Required(echo) = &self.echo else { return None };
        HeaderLine::find(&head.headers, echo.as_str()).map(request_context)
    }

    /// Returns whether an answer reports that the call has not run.
    pub fn says_not_run(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let mark = &self.not_run;
        let is_status = mark.status.is_none_or(|expected| expected == status);
        let value = headers.get(&mark.header);
        is_status && value.is_some_and(|value| mark.value.is_none_or(|expected| value == expected))
    }

    /// Returns the identity that a call and its answer share; `None` if the headers have none.
    pub fn identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(self.echo.header())
    }

    /// Returns whether an answer with `headers` may belong to the call with `identity`.
    pub fn is_answer_to(&self, identity: Option<&HeaderValue>, headers: &HeaderMap) -> bool {
        let answered = self.identity(headers);
        match &self.echo {
            AnswerEcho::Required(_) => answered == identity,
            AnswerEcho::Optional(_) => answered.is_none() || answered == identity,
        }
    }

    /// Returns what the upstream states about itself in the head of an answer.
    pub fn statement(&self, headers: &HeaderMap) -> UpstreamStatement {
        let leaving = self.leaving.as_ref().and_then(|name| headers.get(name));
        UpstreamStatement {
            limit: self.stated_limit(headers),
            is_leaving: leaving.is_some_and(|value| value == LEAVING_VALUE),
        }
    }

    /// Returns the limit in the head of an answer: the lowest, if the header occurs several times.
    fn stated_limit(&self, headers: &HeaderMap) -> StatedLimit {
        let Some(name) = &self.limit else { return StatedLimit::Absent };
        let values = headers.get_all(name).iter().map(HeaderValue::as_bytes);
        let texts: Vec<_> = values.map(String::from_utf8_lossy).collect();
        let rates = texts.iter().filter_map(|text| RequestRate::parse(text));
        match (rates.min(), texts.first()) {
            (Some(rate), _) => StatedLimit::Rate(rate),
            (None, Some(text)) => StatedLimit::Unreadable(text.clone().into_owned()),
            (None, None) => StatedLimit::Absent,
        }
    }

    /// Returns whether a successful answer was sent by the upstream itself and not changed on the way. Other answers
    /// and dialects without a seal pass.
    pub fn is_sealed(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let Some(seal) = &self.seal else { return true };
        !status.is_success()
            || headers.contains_key(seal) && !headers.contains_key(CONTENT_ENCODING)
    }
}

/// Returns the context of the request whose identity is `id`.
pub fn request_context(id: &[u8]) -> u128 {
    XxHash3_128::oneshot(id)
}
