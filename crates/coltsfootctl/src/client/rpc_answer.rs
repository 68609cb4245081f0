//! An answer to an RPC.

use crate::control_error::ControlError;
use coltsfootroute::{
    revision::{ConflictBody, FailureBody, Revision},
    schema::SchemaErrors,
};
use http::{HeaderMap, StatusCode, header::ETAG};
use serde::de::DeserializeOwned;

/// A whole answer of a node.
#[derive(Debug)]
pub struct RpcAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

impl RpcAnswer {
    /// The answer if it is a success, else the error that it stands for.
    pub fn success(self) -> Result<Self, ControlError> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::CONFLICT => Err(ControlError::Conflict(self.json::<Box<ConflictBody>>()?)),
            StatusCode::UNPROCESSABLE_ENTITY => {
                Err(ControlError::Schema(self.json::<SchemaErrors>()?))
            }
            status => Err(ControlError::Refused { status: status.as_u16(), body: self.failure() }),
        }
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ControlError> {
        serde_json::from_str(&self.body).map_err(|error| self.malformed(&error.to_string()))
    }

    /// The revision in the entity tag.
    pub fn revision(&self) -> Result<Revision, ControlError> {
        let tag = self.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        let revision = tag.and_then(|tag| tag.parse().ok());
        revision.ok_or_else(|| self.malformed("no revision in its entity tag"))
    }

    /// An error for an answer that isn't understood.
    pub fn malformed(&self, reason: &str) -> ControlError {
        let what = format!("the node's answer {}", self.status.as_u16());
        ControlError::Malformed { what, reason: reason.to_owned() }
    }

    /// The body of a failure, as JSON or as plain text.
    fn failure(&self) -> FailureBody {
        serde_json::from_str(&self.body).unwrap_or_else(|_| FailureBody {
            reason: self.body.trim().to_owned(),
            may_take_effect: false,
        })
    }
}
