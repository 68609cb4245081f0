//! What node and upstream tell each other in headers.

use coltsfoot_wire::peer::{HeaderLine, RequestHead};
use coltsfootroute::{
    constants::{
        CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, TEAM_HEADER,
    },
    outcome::CallOutcome,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::CONTENT_ENCODING};
use twox_hash::XxHash3_128;

/// How an upstream says that it has not run a call.
#[derive(Clone, Debug)]
pub struct NotRunMarker {
    /// Header that says so.
    pub header: HeaderName,
    /// Value that it needs to have; `None`: any.
    pub value: Option<&'static str>,
    /// Status that the answer needs to have; `None`: any.
    pub status: Option<StatusCode>,
}

/// What node and upstream tell each other in headers; absent ones are not used.
#[derive(Clone, Debug)]
pub struct UpstreamDialect {
    /// To the upstream: milliseconds left.
    pub deadline: HeaderName,
    /// To the upstream: the context of its nested calls.
    pub context: Option<HeaderName>,
    /// To the upstream: idempotency key.
    pub key: Option<HeaderName>,
    /// To the upstream: the team whose client request it is.
    pub team: Option<HeaderName>,
    /// To the upstream: the instance that alone may run the call.
    pub expected_instance: Option<HeaderName>,
    /// Answer: the call has not run.
    pub not_run: NotRunMarker,
    /// Answer: repeats the value that the call had under this name; another value is the answer to another
    /// call.
    pub echo: Option<HeaderName>,
    /// Answer: stands on each success that is the upstream's own.
    pub seal: Option<HeaderName>,
}

impl UpstreamDialect {
    /// Whether the upstream refuses calls that are meant for another life of it.
    pub fn checks_instance(&self) -> bool {
        self.expected_instance.is_some()
    }

    /// The product's own headers.
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
            echo: None,
            seal: None,
        }
    }

    /// The context of a request that is passed on, under which its upstream's nested calls are found;
    /// `None` where requests bear no identity.
    pub fn context_of(&self, head: &RequestHead) -> Option<u128> {
        let echo = self.echo.as_ref()?;
        HeaderLine::find(&head.headers, echo.as_str()).map(request_context)
    }

    /// Whether an answer says that the call has not run.
    pub fn says_not_run(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let mark = &self.not_run;
        let is_status = mark.status.is_none_or(|expected| expected == status);
        let value = headers.get(&mark.header);
        is_status && value.is_some_and(|value| mark.value.is_none_or(|expected| value == expected))
    }

    /// The identity that a call and its answer have in common; `None` where calls bear none.
    pub fn identity<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(self.echo.as_ref()?)
    }

    /// Whether a success is the upstream's own and not changed on the way.
    pub fn is_sealed(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let Some(seal) = &self.seal else { return true };
        !status.is_success()
            || headers.contains_key(seal) && !headers.contains_key(CONTENT_ENCODING)
    }
}

/// The context of the request whose identity is `id`.
pub fn request_context(id: &[u8]) -> u128 {
    XxHash3_128::oneshot(id)
}
