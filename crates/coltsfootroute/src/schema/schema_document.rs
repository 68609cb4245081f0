//! Whole schema of a deployment.

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
    /// Returns the service called `name`; `None` if it is undeclared.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the services that a run of the operation may involve at any depth, its own first, each once; empty if
    /// the operation is undeclared. Traverses the whole document, so call it when a configuration is put in force, not
    /// for each request.
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

    /// Returns the services that operations of `service` call directly, each once.
    pub fn called_services(&self, service: &ServiceName) -> IndexSet<ServiceName> {
        let operations = self.service(service).into_iter().flat_map(|service| &service.operations);
        operations.flat_map(|operation| &operation.calls).map(|call| call.service.clone()).collect()
    }

    /// Returns the JSON Schema of the format, as indented text.
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
