//! Fingerprint of a call, the same where it enters and at each guard.

use coltsfoot_wire::peer::{HeaderLine, RequestHead};
use coltsfootroute::{
    name::{OperationName, ServiceName},
    quarantine::{FingerprintParts, RequestFingerprint},
};
use http::header::{AUTHORIZATION, HOST};

/// What a call asks for.
#[derive(Clone, Copy)]
pub struct CallContent<'a> {
    /// Service called.
    pub service: &'a ServiceName,
    /// Operation called.
    pub operation: &'a OperationName,
    /// Head of a request to pass on; `None` for a call in the product's own form.
    pub head: Option<&'a RequestHead>,
    /// Body.
    pub body: &'a [u8],
}

impl CallContent<'_> {
    /// The fingerprint. A request that is passed on is known by its head, since a route may lead to another service
    /// tomorrow; a call in the product's own form by its service and operation.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let own_target;
        let parts = match self.head {
            Some(head) => FingerprintParts {
                method: head.method.as_bytes(),
                host: find(head, HOST.as_str()),
                target: head.target.as_bytes(),
                credential: find(head, AUTHORIZATION.as_str()),
                body: self.body,
            },
            None => {
                own_target = format!("{}/{}", self.service, self.operation);
                FingerprintParts {
                    method: b"",
                    host: b"",
                    target: own_target.as_bytes(),
                    credential: b"",
                    body: self.body,
                }
            }
        };
        RequestFingerprint::of(&parts)
    }
}

fn find<'a>(head: &'a RequestHead, name: &str) -> &'a [u8] {
    HeaderLine::find(&head.headers, name).unwrap_or_default()
}
