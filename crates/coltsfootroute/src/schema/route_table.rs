//! Lookup of the operation for a request by its host and path.

use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;

use super::{OperationEntry, PathMatch, SchemaDocument, ServiceEntry};
use crate::name::{OperationName, ServiceName};

/// Operation of a service to which a route leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the operation.
    pub operation: OperationName,
}

/// Route of one host and path prefix, with the targets of its requests.
#[derive(Debug, Default)]
struct RouteEntry {
    prefix: String,
    /// Targets, each with a weight of at least 1.
    targets: Vec<WeightedTarget>,
    /// Number of requests, offset by the seed; its low 32 bits select the target.
    counter: AtomicU64,
}

#[derive(Debug)]
struct WeightedTarget {
    target: RouteTarget,
    weight: u64,
}

/// Maps the host and path of a request to an operation. Built once for each configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<String, Vec<RouteEntry>>,
}

impl RouteTable {
    /// Builds the table of the routes that `document` declares. Nodes with different seeds start at different targets,
    /// so that the shares also hold when each of many nodes receives only a few requests.
    pub fn new(document: &SchemaDocument, seed: u64) -> Self {
        let mut table = Self::default();
        for service in &document.services {
            for operation in &service.operations {
                for path_match in &operation.matches {
                    table.add(service, operation, path_match, seed);
                }
            }
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    fn add(
        &mut self,
        service: &ServiceEntry,
        operation: &OperationEntry,
        path_match: &PathMatch,
        seed: u64,
    ) {
        let host = path_match.host.to_ascii_lowercase();
        let routes = self.hosts.entry(host).or_default();
        let target =
            RouteTarget { service: service.name.clone(), operation: operation.name.clone() };
        let weighted = WeightedTarget { target, weight: u64::from(path_match.weight.max(1)) };
        match routes.iter_mut().find(|route| route.prefix == path_match.prefix) {
            Some(route) => route.targets.push(weighted),
            None => routes.push(RouteEntry {
                prefix: path_match.prefix.clone(),
                targets: vec![weighted],
                counter: AtomicU64::new(seed),
            }),
        }
    }

    /// Returns the target of a request for `host` and `path`; `None` if no route's prefix matches. Ignores a port in
    /// `host`. Call this once per request: each call advances the rotation over the route's targets, which keeps their
    /// shares over any sequence of requests.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteTarget> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))?.next_target()
    }
}

impl RouteEntry {
    fn next_target(&self) -> Option<&RouteTarget> {
        let total: u64 = self.targets.iter().map(|weighted| weighted.weight).sum();
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        // Multiples of the golden ratio distribute each target's requests evenly over the sequence.
        let position = (count as u32).wrapping_mul(GOLDEN_RATIO_STEP);
        let mut offset = (u64::from(position) * total) >> u32::BITS;
        for weighted in &self.targets {
            if offset < weighted.weight {
                return Some(&weighted.target);
            }
            offset -= weighted.weight;
        }
        None
    }
}

/// 2^32 divided by the golden ratio, rounded to an odd number: its multiples are distributed evenly over any partition
/// of the range.
const GOLDEN_RATIO_STEP: u32 = 2_654_435_769;
