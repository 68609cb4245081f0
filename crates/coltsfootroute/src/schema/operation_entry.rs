//! Declaration of an operation.

use super::{CallEdge, ClientEntry, PathMatch};
use crate::name::OperationName;

record_type! {
    /// One operation of a service.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct OperationEntry {
        /// Name, unique within the service.
        #[schemars(with = "String", length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub name: OperationName,
        /// Whether a run may be repeated. A non-repeatable operation needs an idempotency key.
        #[serde(default = "yes")]
        pub repeatable: bool,
        /// Attempts of one call at most, the first included, whoever makes it; absent where the policy of the
        /// nodes alone bounds them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[schemars(range(min = 1))]
        pub most_attempts: Option<u32>,
        /// How clients may call it; absent where only other services do.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub client: Option<ClientEntry>,
        /// Requests that reach the operation by host and path.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub matches: Vec<PathMatch>,
        /// Nested calls that one run makes.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub calls: Vec<CallEdge>,
    }
}

fn yes() -> bool {
    true
}
