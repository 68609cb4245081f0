//! A whole schema.

use super::ServiceEntry;
use crate::name::ServiceName;

record_type! {
    /// What an operator submits: every service of one deployment.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaDocument {
        /// Name of the deployment.
        pub deployment: String,
        /// Services, in order of declaration.
        pub services: Vec<ServiceEntry>,
    }
}

impl SchemaDocument {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == *name)
    }
}
