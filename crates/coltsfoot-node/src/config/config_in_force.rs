//! The configuration in force, as the other duties read it.

use coltsfootroute::{
    name::{OperationName, ServiceName},
    schema::{OperationEntry, SchemaDocument},
};

/// The configuration in force, as the other duties read it. Immutable; a change makes a new one.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct ConfigInForce {
    revision: u64,
    document: SchemaDocument,
}

impl ConfigInForce {
    /// `document` at `revision`.
    pub fn new(revision: u64, document: SchemaDocument) -> Self {
        Self { revision, document }
    }

    /// Revision, 1 for the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The schema.
    pub fn document(&self) -> &SchemaDocument {
        &self.document
    }

    /// An operation as declared.
    pub fn operation(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<&OperationEntry> {
        self.document.service(service)?.operation(operation)
    }

    /// Number of services.
    pub fn service_count(&self) -> usize {
        self.document.services.len()
    }

    /// Names of all services.
    pub fn services(&self) -> Vec<ServiceName> {
        self.document.services.iter().map(|service| service.name.clone()).collect()
    }

    /// Services that the operations of `service` call.
    pub fn callees(&self, service: &ServiceName) -> Vec<ServiceName> {
        self.document.called_by(service).into_iter().collect()
    }

    /// Services that a run of the operation reaches, itself included.
    pub fn reachable(&self, service: &ServiceName, operation: &OperationName) -> Vec<ServiceName> {
        self.document.reachable(service, operation).into_iter().collect()
    }

    /// What changed since `revision`, for a peer that is behind; empty if nothing did.
    ///
    /// # Errors
    ///
    /// Only if serialization fails.
    pub fn encode_since(&self, revision: u64) -> Result<Vec<u8>, serde_json::Error> {
        if revision >= self.revision {
            return Ok(Vec::new());
        }
        serde_json::to_vec(self)
    }
}
