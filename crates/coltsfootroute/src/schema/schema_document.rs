//! A whole schema.

use super::{ServiceEntry, TeamEntry, call_graph::CallGraph};
use crate::name::{OperationName, ServiceName};
use indexmap::IndexSet;

record_type! {
    /// What an operator submits: every service and team of one deployment.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaDocument {
        /// Name of the deployment.
        #[schemars(length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub deployment: String,
        /// Services, in order of declaration.
        pub services: Vec<ServiceEntry>,
        /// Teams, in order of declaration. Where there are none, clients need no key.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub teams: Vec<TeamEntry>,
    }
}

impl SchemaDocument {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Services that a run of this operation may involve at any depth, its own first, each once; empty if
    /// the operation is undeclared. Walks the whole document: for use when a configuration is put in force,
    /// not for each call.
    pub fn reachable_services(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> IndexSet<ServiceName> {
        CallGraph::new(&self.services)
            .reachable_services((service, operation))
            .into_iter()
            .cloned()
            .collect()
    }

    /// Services that operations of `service` call directly, each once.
    pub fn called_services(&self, service: &ServiceName) -> IndexSet<ServiceName> {
        let operations = self.service(service).into_iter().flat_map(|service| &service.operations);
        operations.flat_map(|operation| &operation.calls).map(|call| call.service.clone()).collect()
    }

    /// The JSON Schema of the format, as indented text.
    ///
    /// # Panics
    ///
    /// Never: the schema is a fixed value.
    pub fn json_schema() -> String {
        let schema = schemars::schema_for!(Self);
        let text = serde_json::to_string_pretty(&schema).expect("a fixed JSON value");
        text + "\n"
    }
}
