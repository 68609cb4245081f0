//! Which services the calls of an operation reach, learnt from the answers.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};

/// A service not reached for so long is forgotten: a new release may call others.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);
/// Operations remembered at most.
const MAX_OPERATIONS: usize = 4_096;

/// Which services the calls of an operation reach at any depth, learnt from the levels that come back with
/// answers; for a configuration that does not declare the call graph.
///
/// Invariant: an operation's own service is always among those it reaches.
#[derive(Clone, Debug, Default)]
pub struct ReachedServices {
    operations: IndexMap<ServiceName, IndexMap<OperationName, OperationEntry>>,
    operation_count: usize,
}

#[derive(Clone, Debug)]
struct OperationEntry {
    /// When each service was reached last.
    last_reached: IndexMap<ServiceName, MonotonicTime>,
    /// The same services, to be shared.
    services: Arc<[ServiceName]>,
}

impl ReachedServices {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// An answer to a call of the operation has brought word from `services`.
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

    /// The services that calls of the operation reach; `None` before the first answer.
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
