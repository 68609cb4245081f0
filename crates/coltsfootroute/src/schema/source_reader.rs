//! Reader that builds a schema from a YAML tree and collects every structural fault.

use super::{
    CallEdge, ClientEntry, OperationEntry, PathMatch, RateLimit, SchemaDocument, ServiceEntry,
    TeamEntry,
    source_fields::SourceFields,
    source_node::{SourceNode, SourceValue},
    source_report::SourceReport,
};
use crate::{
    importance::Importance,
    name::{OperationName, ServiceName, TeamName},
    team::KeyDigest,
};

/// Reads a document in spite of structural faults. Each missing or invalid value is reported and replaced by a
/// placeholder, so that the rest can still be checked.
#[derive(Default)]
pub(super) struct SourceReader {
    /// Faults and locations found.
    pub report: SourceReport,
}

impl SourceReader {
    /// Reads a whole document.
    pub fn document(&mut self, node: &SourceNode) -> SchemaDocument {
        let known = ["deployment", "services", "teams"];
        let mut fields = SourceFields::new(&mut self.report, node, "", &known);
        let deployment = fields.text("deployment");
        let services = fields.list("services", true);
        let teams = fields.list("teams", false);
        let services = self.read_list(services, Self::service);
        SchemaDocument { deployment, services, teams: self.read_list(teams, Self::team) }
    }

    fn team(&mut self, node: &SourceNode, path: &str) -> TeamEntry {
        let known = ["name", "keys", "importance", "rate"];
        let mut fields = SourceFields::new(&mut self.report, node, path, &known);
        let name = TeamName::from(fields.text("name"));
        let importance = fields.optional("importance").is_some();
        let importance = importance.then(|| fields.parsed::<Importance>("importance")).flatten();
        let keys = fields.list("keys", true);
        let rate = fields.optional("rate");
        let keys = self.read_list(keys, Self::key).into_iter().flatten().collect();
        let rate = rate.map(|(path, node)| self.rate(node, &path));
        TeamEntry { name, keys, importance, rate }
    }

    /// Reads the digest of a key. A value that isn't a digest may be the key itself, so the fault doesn't repeat it.
    fn key(&mut self, node: &SourceNode, path: &str) -> Option<KeyDigest> {
        self.report.locations.insert(path.to_owned(), (node.line, node.column));
        let fault = match &node.value {
            SourceValue::Text(text) => match text.parse() {
                Ok(digest) => return Some(digest),
                Err(fault) => format!("{fault}"),
            },
            other => format!("expected text, found {}", other.kind()),
        };
        self.report.add_error(node, path.to_owned(), fault);
        None
    }

    fn rate(&mut self, node: &SourceNode, path: &str) -> RateLimit {
        let mut fields = SourceFields::new(&mut self.report, node, path, &["per_s", "burst"]);
        RateLimit { per_s: fields.count("per_s", None), burst: fields.count("burst", Some(0)) }
    }

    fn service(&mut self, node: &SourceNode, path: &str) -> ServiceEntry {
        let known = ["name", "slots", "connections", "retention_s", "operations"];
        let mut fields = SourceFields::new(&mut self.report, node, path, &known);
        let name = ServiceName::from(fields.text("name"));
        let slots = fields.count("slots", None);
        let connections = fields.count("connections", None);
        let retention_s =
            fields.number("retention_s", Some(super::service_entry::DEFAULT_RETENTION_S));
        let operations = fields.list("operations", true);
        let operations = self.read_list(operations, Self::operation);
        ServiceEntry { name, slots, connections, retention_s, operations }
    }

    fn operation(&mut self, node: &SourceNode, path: &str) -> OperationEntry {
        let known = ["name", "repeatable", "most_attempts", "client", "matches", "calls"];
        let mut fields = SourceFields::new(&mut self.report, node, path, &known);
        let name = OperationName::from(fields.text("name"));
        let repeatable = fields.flag("repeatable", true);
        let most_attempts = fields.optional_count("most_attempts");
        let client = fields.optional("client");
        let matches = fields.list("matches", false);
        let calls = fields.list("calls", false);
        let client = client.map(|(path, node)| self.client(node, &path));
        let matches = self.read_list(matches, Self::path_match);
        let calls = self.read_list(calls, Self::call);
        OperationEntry { name, repeatable, most_attempts, client, matches, calls }
    }

    fn path_match(&mut self, node: &SourceNode, path: &str) -> PathMatch {
        let mut fields =
            SourceFields::new(&mut self.report, node, path, &["host", "prefix", "weight"]);
        let host = fields.text("host");
        let prefix = fields.text("prefix");
        let weight = fields.count("weight", Some(1));
        PathMatch { host, prefix, weight }
    }

    fn client(&mut self, node: &SourceNode, path: &str) -> ClientEntry {
        let known = ["importance", "deadline_ms", "retry_budget", "keyless", "objective_ms"];
        let mut fields = SourceFields::new(&mut self.report, node, path, &known);
        let importance = fields.parsed::<Importance>("importance").unwrap_or_default();
        let deadline_ms = fields.number("deadline_ms", None);
        let retry_budget = fields.count("retry_budget", None);
        let keyless = fields.flag("keyless", false);
        let objective_ms = fields.optional_number("objective_ms");
        ClientEntry { importance, deadline_ms, retry_budget, keyless, objective_ms }
    }

    fn call(&mut self, node: &SourceNode, path: &str) -> CallEdge {
        let mut fields =
            SourceFields::new(&mut self.report, node, path, &["service", "operation", "fan_out"]);
        let service = ServiceName::from(fields.text("service"));
        let operation = OperationName::from(fields.text("operation"));
        let fan_out = fields.count("fan_out", Some(1));
        CallEdge { service, operation, fan_out }
    }

    fn read_list<T>(
        &mut self,
        list: Option<(String, &[SourceNode])>,
        read: fn(&mut Self, &SourceNode, &str) -> T,
    ) -> Vec<T> {
        let Some((path, items)) = list else {
            return Vec::new();
        };
        let numbered = items.iter().enumerate();
        numbered.map(|(index, item)| read(self, item, &format!("{path}[{index}]"))).collect()
    }
}
