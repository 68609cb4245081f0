//! Readable difference between two schemas.

use super::{OperationEntry, SchemaChange, SchemaDocument, ServiceEntry, TeamEntry};
use indexmap::{IndexMap, IndexSet};
use std::fmt;

record_type! {
    /// Changes from one schema to another, as readable text. Ignores the order of declarations.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct SchemaDiff {
        /// Changes: first those to items of the old schema, in its order, then the added items.
        pub changes: Vec<SchemaChange>,
    }
}

impl SchemaDiff {
    /// Returns the changes from `old` to `new`.
    pub fn between(old: &SchemaDocument, new: &SchemaDocument) -> Self {
        let (old, new) = (flatten(old), flatten(new));
        let added = new.keys().filter(|item| !old.contains_key(*item));
        let mut changes = Vec::new();
        let mut added_or_removed = IndexSet::new();
        for item in old.keys().chain(added) {
            let change = SchemaChange::new(item, old.get(item), new.get(item));
            if change.before == change.after || is_within_any(&added_or_removed, item) {
                continue;
            }
            if change.is_added_or_removed() {
                added_or_removed.insert(item.clone());
            }
            changes.push(change);
        }
        Self { changes }
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Returns whether `item` is part of an item in `added_or_removed`, which are added or removed with all their contents.
fn is_within_any(added_or_removed: &IndexSet<String>, item: &str) -> bool {
    std::iter::successors(Some(item), |item| item.rfind(['.', '/', ' ']).map(|end| &(*item)[..end]))
        .skip(1)
        .any(|item| added_or_removed.contains(item))
}

/// Returns every item of a document with its value as text, which is empty for a service, team or operation itself.
fn flatten(document: &SchemaDocument) -> IndexMap<String, String> {
    let mut items = IndexMap::new();
    items.insert("deployment".to_owned(), document.deployment.clone());
    for service in &document.services {
        flatten_service(service, &mut items);
    }
    for team in &document.teams {
        flatten_team(team, &mut items);
    }
    items
}

fn flatten_team(team: &TeamEntry, items: &mut IndexMap<String, String>) {
    let name = format!("team {}", team.name);
    items.insert(name.clone(), String::new());
    if let Some(importance) = team.importance {
        items.insert(format!("{name}.importance"), importance.to_string());
    }
    if let Some(rate) = team.rate {
        let rate = format!("{} a second, {} on top", rate.per_s, rate.burst);
        items.insert(format!("{name}.rate"), rate);
    }
    for key in &team.keys {
        items.insert(format!("{name}.key {}", key.short()), String::new());
    }
}

fn flatten_service(service: &ServiceEntry, items: &mut IndexMap<String, String>) {
    let name = format!("service {}", service.name);
    items.insert(name.clone(), String::new());
    items.insert(format!("{name}.slots"), service.slots.to_string());
    items.insert(format!("{name}.connections"), service.connections.to_string());
    items.insert(format!("{name}.retention_s"), service.retention_s.to_string());
    for operation in &service.operations {
        flatten_operation(&name, operation, items);
    }
}

fn flatten_operation(
    service: &str,
    operation: &OperationEntry,
    items: &mut IndexMap<String, String>,
) {
    let name = format!("{service}/{}", operation.name);
    items.insert(name.clone(), String::new());
    items.insert(format!("{name}.repeatable"), operation.repeatable.to_string());
    if let Some(most_attempts) = operation.most_attempts {
        items.insert(format!("{name}.most_attempts"), most_attempts.to_string());
    }
    if let Some(client) = &operation.client {
        items.insert(format!("{name}.client"), String::new());
        items.insert(format!("{name}.client.importance"), client.importance.to_string());
        items.insert(format!("{name}.client.deadline_ms"), client.deadline_ms.to_string());
        items.insert(format!("{name}.client.retry_budget"), client.retry_budget.to_string());
        if client.keyless {
            items.insert(format!("{name}.client.keyless"), client.keyless.to_string());
        }
        if let Some(objective_ms) = client.objective_ms {
            items.insert(format!("{name}.client.objective_ms"), objective_ms.to_string());
        }
    }
    for call in &operation.calls {
        let mut item = format!("{name} -> {}/{}", call.service, call.operation);
        while items.contains_key(&item) {
            // The same callee may be declared twice: each declaration is listed.
            item.push_str(" again");
        }
        items.insert(item.clone(), String::new());
        items.insert(format!("{item}.fan_out"), call.fan_out.to_string());
    }
}

impl fmt::Display for SchemaDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, change) in self.changes.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            change.fmt(f)?;
        }
        Ok(())
    }
}
