//! Finds the operation that a request reaches by its host and path.

use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;

use super::{OperationEntry, PathMatch, SchemaDocument, ServiceEntry};
use crate::name::{OperationName, ServiceName};

/// An operation of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// The operation.
    pub operation: OperationName,
}

/// One host and prefix, and where its requests go.
#[derive(Debug, Default)]
struct RouteEntry {
    prefix: String,
    /// Weights are at least 1.
    targets: Vec<WeightedTarget>,
    /// Requests so far; its low bits choose the target.
    counter: AtomicU64,
}

#[derive(Debug)]
struct WeightedTarget {
    target: RouteTarget,
    weight: u64,
}

/// Finds the operation that a request reaches by its host and path. Made once for each configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<String, Vec<RouteEntry>>,
}

impl RouteTable {
    /// The routes that `document` declares. Nodes with different seeds begin at different targets, so that
    /// few requests at each of many nodes are shared out as well.
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

    /// Where a request for `host` and `path` goes, `None` if no route begins its path. A port in `host`
    /// is passed over. Each request is to be asked for once: the targets of a route are taken in turn, so
    /// that their shares hold over any run of requests.
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
        // Steps of the golden ratio position each target's turns evenly over the run.
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

/// 2^32 divided by the golden ratio, made odd: multiples of it fall evenly into any division of the range.
const GOLDEN_RATIO_STEP: u32 = 2_654_435_769;
