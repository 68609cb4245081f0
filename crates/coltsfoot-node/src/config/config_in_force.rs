//! Read-only view of the configuration in force.

use std::sync::{Arc, Mutex};

use coltsfootroute::{
    name::{OperationName, ServiceName},
    outcome::RefusalReason,
    revision::{ConfigState, Revision},
    schema::{OperationEntry, RouteTable, SchemaDocument},
    team::{RequestRanks, TeamTable},
};
use indexmap::IndexMap;

type ReachableServices = IndexMap<ServiceName, IndexMap<OperationName, Arc<[ServiceName]>>>;

/// Immutable configuration in force, read by the other duties. Each new revision is a new instance.
#[derive(Debug)]
pub struct ConfigInForce {
    state: ConfigState,
    document: SchemaDocument,
    routes: RouteTable,
    teams: TeamTable,
    ranks: RequestRanks,
    /// Cache filled when an operation is first called: most nodes receive calls for only a few of all operations.
    reachable: Mutex<ReachableServices>,
}

impl ConfigInForce {
    /// Creates the view of `state`. `seed` is specific to the node and sets where its weighted routes start.
    pub fn new(state: ConfigState, seed: u64) -> Self {
        let document = state.document();
        let routes = RouteTable::new(&document, seed);
        let teams = TeamTable::new(state.teams());
        let ranks = RequestRanks::new(&document);
        Self { state, document, routes, teams, ranks, reachable: Mutex::default() }
    }

    /// Returns the importance of requests by team and operation.
    pub fn ranks(&self) -> &RequestRanks {
        &self.ranks
    }

    /// Returns the teams by their keys.
    pub fn teams(&self) -> &TeamTable {
        &self.teams
    }

    /// Returns the operations by host and path.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the revision; the first is 1.
    pub fn revision(&self) -> u64 {
        self.state.revision().0
    }

    /// Returns the schema.
    pub fn document(&self) -> &SchemaDocument {
        &self.document
    }

    /// Returns the declaration of an operation.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::UnknownOperation`] if the schema declares no such service or operation.
    pub fn operation(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Result<&OperationEntry, RefusalReason> {
        let entry = self.state.service(service).and_then(|service| service.operation(operation));
        entry.ok_or(RefusalReason::UnknownOperation)
    }

    /// Returns how long the records of a service's non-repeatable requests are kept, in seconds; `None` if the schema
    /// declares no such service.
    pub fn retention_s(&self, service: &ServiceName) -> Option<u64> {
        self.state.service(service).map(|entry| entry.retention_s)
    }

    /// Returns the number of services.
    pub fn service_count(&self) -> usize {
        self.document.services.len()
    }

    /// Returns the names of all services.
    pub fn services(&self) -> Vec<ServiceName> {
        self.document.services.iter().map(|service| service.name.clone()).collect()
    }

    /// Returns the services that the operations of `service` call.
    pub fn callees(&self, service: &ServiceName) -> Vec<ServiceName> {
        self.document.called_services(service).into_iter().collect()
    }

    /// Returns the services that a run of the operation can reach through nested calls, including `service` itself.
    pub fn reachable(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Arc<[ServiceName]> {
        // A poisoned lock is safe to use: cache entries are either complete or absent.
        let mut cache = self.reachable.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(services) = cache.get(service).and_then(|entry| entry.get(operation)) {
            return services.clone();
        }
        let services: Arc<[_]> =
            self.document.reachable_services(service, operation).into_iter().collect();
        let entry = cache.entry(service.clone()).or_default();
        entry.insert(operation.clone(), services.clone());
        services
    }

    /// Encodes the changes since `revision` as JSON, for a peer whose revision is lower; empty if nothing has changed.
    ///
    /// # Errors
    ///
    /// [`serde_json::Error`] if serialization fails.
    pub fn encode_since(&self, revision: u64) -> Result<Vec<u8>, serde_json::Error> {
        match self.state.delta_since(Revision(revision)) {
            Some(delta) => serde_json::to_vec(&delta),
            None => Ok(Vec::new()),
        }
    }
}
