//! The configuration in force, as the other duties read it.

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

/// The configuration in force, as the other duties read it. A change makes a new one.
#[derive(Debug)]
pub struct ConfigInForce {
    state: ConfigState,
    document: SchemaDocument,
    routes: RouteTable,
    teams: TeamTable,
    ranks: RequestRanks,
    /// Worked out when an operation is first called: most nodes take in few of all operations.
    reachable: Mutex<ReachableServices>,
}

impl ConfigInForce {
    /// What `state` holds; `seed` is the node's, for the turns of weighted routes.
    pub fn new(state: ConfigState, seed: u64) -> Self {
        let document = state.document();
        let routes = RouteTable::new(&document, seed);
        let teams = TeamTable::new(state.teams());
        let ranks = RequestRanks::new(&document);
        Self { state, document, routes, teams, ranks, reachable: Mutex::default() }
    }

    /// Importance of requests by team and operation.
    pub fn ranks(&self) -> &RequestRanks {
        &self.ranks
    }

    /// Teams by their keys.
    pub fn teams(&self) -> &TeamTable {
        &self.teams
    }

    /// Operations by host and path.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Revision, 1 for the first.
    pub fn revision(&self) -> u64 {
        self.state.revision().0
    }

    /// The schema.
    pub fn document(&self) -> &SchemaDocument {
        &self.document
    }

    /// An operation as declared.
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

    /// How long the records of a service's non-repeatable requests are kept, in seconds.
    pub fn retention_s(&self, service: &ServiceName) -> Option<u64> {
        self.state.service(service).map(|entry| entry.retention_s)
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
        self.document.called_services(service).into_iter().collect()
    }

    /// Services that a run of the operation reaches, itself included.
    pub fn reachable(
        &self,
        service: &ServiceName,
        operation: &OperationName,
    ) -> Arc<[ServiceName]> {
        // A poisoned lock guards a cache whose entries are whole or absent.
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

    /// What changed since `revision`, for a peer that is behind; empty if nothing did.
    ///
    /// # Errors
    ///
    /// Only if serialization fails.
    pub fn encode_since(&self, revision: u64) -> Result<Vec<u8>, serde_json::Error> {
        match self.state.delta_since(Revision(revision)) {
            Some(delta) => serde_json::to_vec(&delta),
            None => Ok(Vec::new()),
        }
    }
}
