//! A schema of any number of services, layered so that chains reach a known depth.

use coltsfootroute::{
    importance::Importance,
    name::{OperationName, ServiceName},
    schema::{CallEdge, ClientEntry, OperationEntry, SchemaDocument, ServiceEntry},
};

use crate::mesh::service_name;

/// Calls of the longest chain, the client's own included.
pub const DEPTH: usize = 28;
/// Operations of each service; two of them are open to clients.
pub const OPERATIONS: usize = 4;
/// Services that each service calls.
pub const CALLEES: usize = 5;
const SLOTS: u32 = 120;
const CONNECTIONS: u32 = 800;
const RETENTION_S: u64 = 86_400;
const DEADLINE_MS: u64 = 1_500;
const RETRY_BUDGET: u32 = 3;

/// `services` services in [`DEPTH`] layers; each calls [`CALLEES`] of the next layer, spread over its
/// operations.
pub fn sample_schema(services: usize) -> SchemaDocument {
    let entries = (0..services).map(|index| service_entry(index, services)).collect();
    SchemaDocument { deployment: "sample".to_owned(), services: entries, teams: Vec::new() }
}

/// The same with `count` services changed.
pub fn changed_schema(document: &SchemaDocument, count: usize) -> SchemaDocument {
    let mut changed = document.clone();
    for service in changed.services.iter_mut().take(count) {
        service.slots += 1;
    }
    changed
}

/// Name of a service's operation.
pub fn operation_name(operation: usize) -> OperationName {
    OperationName::new(&format!("operation-{operation}"))
}

fn service_entry(index: usize, services: usize) -> ServiceEntry {
    let operations = (0..OPERATIONS).map(|operation| entry(index, operation, services)).collect();
    ServiceEntry {
        name: service_name(index),
        slots: SLOTS,
        connections: CONNECTIONS,
        retention_s: RETENTION_S,
        operations,
    }
}

fn entry(index: usize, operation: usize, services: usize) -> OperationEntry {
    let client = (operation < OPERATIONS / 2).then_some(ClientEntry {
        importance: Importance::ALL[operation],
        deadline_ms: DEADLINE_MS,
        retry_budget: RETRY_BUDGET,
        keyless: false,
        objective_ms: None,
    });
    let callees = callees(index, services);
    let own = callees.into_iter().skip(operation).step_by(OPERATIONS);
    let calls = own.map(|service| CallEdge {
        service,
        // The first operation calls on at every depth.
        operation: operation_name(0),
        fan_out: 1,
    });
    let repeatable = operation + 1 < OPERATIONS;
    OperationEntry {
        name: operation_name(operation),
        repeatable,
        most_attempts: None,
        client,
        matches: Vec::new(),
        calls: calls.collect(),
    }
}

fn callees(index: usize, services: usize) -> Vec<ServiceName> {
    let layer_size = services.div_ceil(DEPTH).max(1);
    let next = (index / layer_size + 1) * layer_size;
    let end = (next + layer_size).min(services);
    let size = end.saturating_sub(next);
    (0..CALLEES.min(size)).map(|offset| service_name(next + (index + offset) % size)).collect()
}
