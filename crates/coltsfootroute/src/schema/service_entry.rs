//! Declaration of a service.

use super::OperationEntry;
use crate::name::{OperationName, ServiceName};

record_type! {
    /// One service of the call graph: the unit in which configuration spreads.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceEntry {
        /// Name, unique within the schema.
        #[schemars(with = "String", length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub name: ServiceName,
        /// Concurrent calls that one upstream can work on; at least 1.
        #[schemars(range(min = 1))]
        pub slots: u32,
        /// Connections that one upstream takes; at least 1.
        #[schemars(range(min = 1))]
        pub connections: u32,
        /// How long the record of a non-repeatable request is kept, in seconds.
        #[serde(default = "default_retention")]
        #[schemars(range(min = 1))]
        pub retention_s: u64,
        /// Operations, in order of declaration.
        pub operations: Vec<OperationEntry>,
    }
}

/// Default retention in seconds, one day: clients that repeat a request do so within minutes, and auditors ask the
/// next morning.
pub(super) const DEFAULT_RETENTION_S: u64 = 86_400;

fn default_retention() -> u64 {
    DEFAULT_RETENTION_S
}

impl ServiceEntry {
    /// Returns the operation called `name`; `None` if it is undeclared.
    pub fn operation(&self, name: &OperationName) -> Option<&OperationEntry> {
        self.operations.iter().find(|operation| operation.name == *name)
    }
}
