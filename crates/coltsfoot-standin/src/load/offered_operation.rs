//! Operations that the load offers.

use coltsfootroute::{
    importance::Importance,
    name::{OperationName, ServiceName},
    schema::SchemaDocument,
};

/// One client operation and how often it is requested.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedOperation {
    /// `service/operation`.
    pub name: String,
    /// Importance that the schema gives it.
    pub importance: Importance,
    /// Whether it may run twice; if not, requests carry an idempotency key.
    pub repeatable: bool,
    /// Deadline sent with each request, milliseconds.
    pub deadline_ms: u64,
    /// Mean requests a second.
    pub rate: f64,
}

impl OfferedOperation {
    /// The operation `name` (`service/operation`) of `schema`, requested `rate` times a second;
    /// `None` where the schema has no such client operation.
    pub fn from_schema(schema: &SchemaDocument, name: &str, rate: f64) -> Option<Self> {
        let (service, operation) = name.split_once('/')?;
        let service = schema.service(&ServiceName::new(service))?;
        let operation = service.operation(&OperationName::new(operation))?;
        let client = operation.client.as_ref()?;
        Some(Self {
            name: name.to_owned(),
            importance: client.importance,
            repeatable: operation.repeatable,
            deadline_ms: client.deadline_ms,
            rate,
        })
    }
}
