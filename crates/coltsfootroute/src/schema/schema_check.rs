//! Semantic checks of a parsed document.

use super::{
    CallEdge, OperationEntry, PathMatch, SchemaDocument, ServiceEntry, TeamEntry,
    call_graph::CallGraph,
};
use crate::{
    name::{OperationName, ServiceName, TeamName},
    team::KeyDigest,
};
use indexmap::{IndexMap, IndexSet};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum number of calls in a chain that starts at a client operation, including the client's own call.
pub const MAX_CHAIN_DEPTH: usize = 32;

/// Path of a field and a description of its fault.
type Finding = (String, String);

/// Collects the semantic faults of one document.
pub(super) struct SchemaCheck<'a> {
    document: &'a SchemaDocument,
    /// Declared operations by service.
    declared: IndexMap<&'a ServiceName, IndexSet<&'a OperationName>>,
    findings: Vec<Finding>,
}

impl<'a> SchemaCheck<'a> {
    /// Returns every semantic fault of `document`.
    pub fn run(document: &'a SchemaDocument) -> Vec<Finding> {
        let mut check = Self { document, declared: declared(document), findings: Vec::new() };
        check.name("deployment", &document.deployment);
        check.services();
        check.teams();
        check.graph();
        check.findings
    }

    fn services(&mut self) {
        let mut names = IndexSet::new();
        for (index, service) in self.document.services.iter().enumerate() {
            let path = format!("services[{index}]");
            if !names.insert(&service.name) {
                self.add_finding(
                    format!("{path}.name"),
                    format!("duplicate service `{}`", truncated(service.name.as_str())),
                );
            }
            self.service(&path, service);
        }
    }

    fn service(&mut self, path: &str, service: &ServiceEntry) {
        self.name(&format!("{path}.name"), service.name.as_str());
        self.at_least_one(format!("{path}.slots"), service.slots.into());
        self.at_least_one(format!("{path}.connections"), service.connections.into());
        self.at_least_one(format!("{path}.retention_s"), service.retention_s);
        let mut names = IndexSet::new();
        for (index, operation) in service.operations.iter().enumerate() {
            let path = format!("{path}.operations[{index}]");
            if !names.insert(&operation.name) {
                let name = truncated(operation.name.as_str());
                let message = format!("duplicate operation `{name}`");
                self.add_finding(format!("{path}.name"), message);
            }
            self.operation(&path, operation);
        }
    }

    fn operation(&mut self, path: &str, operation: &OperationEntry) {
        self.name(&format!("{path}.name"), operation.name.as_str());
        if let Some(most_attempts) = operation.most_attempts {
            self.at_least_one(format!("{path}.most_attempts"), most_attempts.into());
        }
        if let Some(client) = &operation.client {
            // A retry budget of 0 is valid: the request is never retried.
            self.at_least_one(format!("{path}.client.deadline_ms"), client.deadline_ms);
            if let Some(objective_ms) = client.objective_ms {
                self.at_least_one(format!("{path}.client.objective_ms"), objective_ms);
            }
        }
        for (index, path_match) in operation.matches.iter().enumerate() {
            self.path_match(&format!("{path}.matches[{index}]"), operation, path_match);
        }
        for (index, call) in operation.calls.iter().enumerate() {
            self.call(&format!("{path}.calls[{index}]"), call);
        }
    }

    fn teams(&mut self) {
        let (mut names, mut owners) = (IndexSet::new(), IndexMap::new());
        for (index, team) in self.document.teams.iter().enumerate() {
            let path = format!("teams[{index}]");
            self.name(&format!("{path}.name"), team.name.as_str());
            if !names.insert(&team.name) {
                let message = format!("duplicate team `{}`", truncated(team.name.as_str()));
                self.add_finding(format!("{path}.name"), message);
            }
            if let Some(rate) = team.rate {
                self.at_least_one(format!("{path}.rate.per_s"), rate.per_s.into());
            }
            for (position, key) in team.keys.iter().enumerate() {
                self.key(format!("{path}.keys[{position}]"), team, key, &mut owners);
            }
        }
    }

    fn key(
        &mut self,
        path: String,
        team: &'a TeamEntry,
        key: &'a KeyDigest,
        owners: &mut IndexMap<&'a KeyDigest, &'a TeamName>,
    ) {
        if *key == KeyDigest::of_key(b"") {
            self.add_finding(path.clone(), "the digest of an empty key".to_owned());
        }
        if let Some(owner) = owners.insert(key, &team.name) {
            let owner = truncated(owner.as_str());
            self.add_finding(path, format!("duplicate key: `{owner}` holds it as well"));
        }
    }

    fn path_match(&mut self, path: &str, operation: &OperationEntry, path_match: &PathMatch) {
        self.at_least_one(format!("{path}.weight"), path_match.weight.into());
        if path_match.host.is_empty() {
            self.add_finding(
                format!("{path}.host"),
                "empty: expected the host that requests name".into(),
            );
        }
        let prefix = &path_match.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let message = format!("`{}`: expected `/` at both ends", truncated(prefix));
            self.add_finding(format!("{path}.prefix"), message);
        }
        if operation.client.is_none() {
            let message = "expected the field `client` beside it".to_owned();
            self.add_finding(path.to_owned(), message);
        }
    }

    fn call(&mut self, path: &str, call: &CallEdge) {
        self.at_least_one(format!("{path}.fan_out"), call.fan_out.into());
        let Some(operations) = self.declared.get(&call.service) else {
            let message = format!("undeclared service `{}`", truncated(call.service.as_str()));
            return self.add_finding(format!("{path}.service"), message);
        };
        if !operations.contains(&call.operation) {
            let operation = truncated(call.operation.as_str());
            let message = format!("undeclared operation `{operation}` of `{}`", call.service);
            self.add_finding(format!("{path}.operation"), message);
        }
    }

    fn graph(&mut self) {
        let graph = CallGraph::new(&self.document.services);
        let analysis = graph.analyze();
        for cycle in &analysis.cycles {
            let message = format!("cycle of calls: {}", cycle.chain.join(" -> "));
            self.add_finding(cycle.closing_edge.clone(), message);
        }
        for (path, depth) in analysis.client_depths {
            if depth > MAX_CHAIN_DEPTH {
                let message = format!("chain of {depth} calls: expected at most {MAX_CHAIN_DEPTH}");
                self.add_finding(path, message);
            }
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let is_known = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !name.bytes().all(is_known) {
            let message = format!(
                "bad name `{}`: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`",
                truncated(name)
            );
            self.add_finding(path.to_owned(), message);
        }
    }

    fn at_least_one(&mut self, path: String, number: u64) {
        if number == 0 {
            self.add_finding(path, "0: expected at least 1".to_owned());
        }
    }

    fn add_finding(&mut self, path: String, message: String) {
        self.findings.push((path, message));
    }
}

fn declared(document: &SchemaDocument) -> IndexMap<&ServiceName, IndexSet<&OperationName>> {
    let mut declared: IndexMap<_, IndexSet<_>> = IndexMap::new();
    for service in &document.services {
        let names = service.operations.iter().map(|operation| &operation.name);
        declared.entry(&service.name).or_default().extend(names);
    }
    declared
}

/// Truncates and escapes a name, so that a hostile one can't inflate the response.
fn truncated(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).flat_map(char::escape_debug).collect()
}
