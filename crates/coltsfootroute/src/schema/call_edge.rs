//! Edge of the call graph.

use crate::name::{OperationName, ServiceName};

record_type! {
    /// One nested call that an operation makes.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct CallEdge {
        /// Service called.
        #[schemars(with = "String", length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub service: ServiceName,
        /// Operation called.
        #[schemars(with = "String", length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub operation: OperationName,
        /// Calls of this edge that one run makes; at least 1.
        #[serde(default = "one")]
        #[schemars(range(min = 1))]
        pub fan_out: u32,
    }
}

fn one() -> u32 {
    1
}
