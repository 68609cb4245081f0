//! Fingerprint of a call, which is the same at the node where it enters and at each guard.

use coltsfoot_wire::peer::{HeaderLine, RequestHead};
use coltsfootroute::{
    name::{OperationName, ServiceName, TeamName},
    quarantine::{FingerprintParts, RequestFingerprint},
};
use http::header::{AUTHORIZATION, HOST};

/// Content of a call, from which its fingerprint is computed.
#[derive(Clone, Copy)]
pub struct CallContent<'a> {
    /// Service called.
    pub service: &'a ServiceName,
    /// Operation called.
    pub operation: &'a OperationName,
    /// Team that sent the client request; its API keys are not forwarded.
    pub team: Option<&'a TeamName>,
    /// Head of a request to forward; `None` for a call in the native format.
    pub head: Option<&'a RequestHead>,
    /// Body.
    pub body: &'a [u8],
}

impl<'a> CallContent<'a> {
    /// Returns the fingerprint of the call.
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of(&self.parts())
    }

    /// Returns the parts that the fingerprint covers. A forwarded request is identified by its head, since its route
    /// may lead to another service later; a call in the native format by its service and operation.
    pub fn parts(&self) -> FingerprintParts<'a> {
        match self.head {
            Some(head) => FingerprintParts {
                method: head.method.as_bytes(),
                host: find(head, HOST.as_str()),
                target: head.target.as_bytes(),
                credential: self.credential(head),
                body: self.body,
            },
            None => FingerprintParts {
                method: b"",
                host: self.service.as_str().as_bytes(),
                target: self.operation.as_str().as_bytes(),
                credential: self.team.map_or(b"", |team| team.as_str().as_bytes()),
                body: self.body,
            },
        }
    }

    fn credential(&self, head: &'a RequestHead) -> &'a [u8] {
        match self.team {
            Some(team) => team.as_str().as_bytes(),
            None => find(head, AUTHORIZATION.as_str()),
        }
    }
}

fn find<'a>(head: &'a RequestHead, name: &str) -> &'a [u8] {
    HeaderLine::find(&head.headers, name).unwrap_or_default()
}
