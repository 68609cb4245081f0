//! Services reached by the calls of each operation, as observed from responses.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};

/// Time after which a service that is no longer reached is removed, since a new release may call other services.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);
/// Largest number of operations that are stored.
const MAX_OPERATIONS: usize = 4_096;

/// Services that the calls of an operation reach at any depth, observed from the shed levels in responses; used
/// where the configuration does not declare the call graph.
///
/// Invariant: the services reached by an operation always include its own service.
#[derive(Clone, Debug, Default)]
pub struct ReachedServices {
    operations: IndexMap<ServiceName, IndexMap<OperationName, OperationEntry>>,
    operation_count: usize,
}

#[derive(Clone, Debug)]
struct OperationEntry {
    /// Time at which each service was last reached.
    last_reached: IndexMap<ServiceName, MonotonicTime>,
    /// The same services as a shared slice.
    services: Arc<[ServiceName]>,
}

impl ReachedServices {
    /// Creates an empty set of operations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a response to a call of the operation carried the levels of `services`.
    pub fn observe<'a>(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
        services: impl Iterator<Item = &'a ServiceName>,
    ) {
        let Some(entry) = self.entry(now, service, operation) else { return };
        let before = entry.last_reached.len();
        for reached in services {
            match entry.last_reached.get_mut(reached) {
                Some(last_reached) => *last_reached = now,
                None => {
                    entry.last_reached.insert(reached.clone(), now);
                }
            }
        }
        entry.last_reached.insert(service.clone(), now);
        entry.last_reached.retain(|_, last_reached| now.since(*last_reached) < SERVICE_RETENTION);
        if entry.last_reached.len() != before || entry.services.len() != before {
            entry.services = entry.last_reached.keys().cloned().collect();
        }
    }

    /// Returns the services that calls of the operation reach; `None` before the first response.
    pub fn of(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<Arc<[ServiceName]>> {
        let entry = self.operations.get(service)?.get(operation)?;
        Some(entry.services.clone())
    }

    fn entry(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Option<&mut OperationEntry> {
        let is_known =
            self.operations.get(service).is_some_and(|entries| entries.contains_key(operation));
        if !is_known {
            if self.operation_count >= MAX_OPERATIONS {
                return None;
            }
            self.operation_count += 1;
            let entry = OperationEntry {
                last_reached: IndexMap::from([(service.clone(), now)]),
                services: Arc::from([service.clone()]),
            };
            let entries = self.operations.entry(service.clone()).or_default();
            entries.insert(operation.clone(), entry);
        }
        self.operations.get_mut(service)?.get_mut(operation)
    }
}
