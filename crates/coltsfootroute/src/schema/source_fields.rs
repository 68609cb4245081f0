//! Reader of the fields of one YAML mapping.

use super::{
    source_node::{SourceNode, SourceValue},
    source_report::SourceReport,
};
use indexmap::IndexMap;
use std::{fmt::Display, str::FromStr};

/// Reads the fields of one mapping and reports unknown, duplicate, missing and mistyped ones.
pub(super) struct SourceFields<'a, 'r> {
    report: &'r mut SourceReport,
    node: &'a SourceNode,
    path: String,
    fields: IndexMap<&'a str, &'a SourceNode>,
    /// Whether the node is a mapping. If not, missing fields aren't reported in addition.
    is_map: bool,
}

impl<'a, 'r> SourceFields<'a, 'r> {
    /// Creates a reader of `node`, whose path is `path`, and reports keys that aren't in `known`.
    pub fn new(
        report: &'r mut SourceReport,
        node: &'a SourceNode,
        path: &str,
        known: &[&str],
    ) -> Self {
        report.locations.insert(path.to_owned(), (node.line, node.column));
        let mut fields =
            Self { report, node, path: path.to_owned(), fields: IndexMap::new(), is_map: true };
        match &node.value {
            SourceValue::Map(entries) => fields.open(entries, known),
            other => {
                fields.is_map = false;
                let message = format!("expected a mapping, found {}", other.kind());
                fields.add_error(node, path.to_owned(), message);
            }
        }
        fields
    }

    fn open(&mut self, entries: &'a [(SourceNode, SourceNode)], known: &[&str]) {
        for (key, value) in entries {
            let SourceValue::Text(name) = &key.value else {
                let message = format!("expected a field name, found {}", key.value.kind());
                self.add_error(key, self.path.clone(), message);
                continue;
            };
            let path = self.field_path(name);
            if !known.contains(&name.as_str()) {
                let message = format!("unknown field: expected one of {}", known.join(", "));
                self.add_error(key, path, message);
            } else if self.fields.insert(name, value).is_some() {
                self.add_error(key, path, "duplicate field".to_owned());
            } else {
                self.report.locations.insert(path, (value.line, value.column));
            }
        }
    }

    /// Reads required text; returns an empty string after reporting a fault.
    pub fn text(&mut self, name: &str) -> String {
        match self.required(name).map(|node| (node, &node.value)) {
            Some((_, SourceValue::Text(text))) => text.clone(),
            Some((node, other)) => {
                self.add_type_error(node, name, "text", other);
                String::new()
            }
            None => String::new(),
        }
    }

    /// Reads a number, which is required unless there is a default; returns 0 after reporting a fault.
    pub fn number(&mut self, name: &str, default: Option<u64>) -> u64 {
        let node = match default {
            Some(default) if !self.fields.contains_key(name) => return default,
            _ => self.required(name),
        };
        match node.map(|node| (node, &node.value)) {
            Some((_, SourceValue::Number(number))) => *number,
            Some((node, other)) => {
                self.add_type_error(node, name, "a whole number from 0", other);
                0
            }
            None => 0,
        }
    }

    /// Reads a 32-bit number, which is required unless there is a default.
    pub fn count(&mut self, name: &str, default: Option<u64>) -> u32 {
        let number = self.number(name, default);
        u32::try_from(number).unwrap_or_else(|_| {
            let message = format!("{number}: expected at most {}", u32::MAX);
            let node = self.fields.get(name).copied().unwrap_or(self.node);
            self.add_error(node, self.field_path(name), message);
            u32::MAX
        })
    }

    /// Reads an optional 32-bit number; `None` if it is absent.
    pub fn optional_count(&mut self, name: &str) -> Option<u32> {
        self.fields.contains_key(name).then(|| self.count(name, None))
    }

    /// Reads a number that may be absent.
    pub fn optional_number(&mut self, name: &str) -> Option<u64> {
        self.fields.contains_key(name).then(|| self.number(name, None))
    }

    /// Reads a boolean with a default.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.fields.get(name).copied().map(|node| (node, &node.value)) {
            Some((_, SourceValue::Flag(flag))) => *flag,
            Some((node, other)) => {
                self.add_type_error(node, name, "true or false", other);
                default
            }
            None => default,
        }
    }

    /// Reads required text and parses it as `T`; returns `None` after reporting a fault.
    pub fn parsed<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let text = self.text(name);
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                if let Some(node) = self.fields.get(name).copied()
                    && matches!(node.value, SourceValue::Text(_))
                {
                    self.add_error(node, self.field_path(name), error.to_string());
                }
                None
            }
        }
    }

    /// Returns the path and node of an optional field; `None` if it is absent.
    pub fn optional(&self, name: &str) -> Option<(String, &'a SourceNode)> {
        self.fields.get(name).map(|node| (self.field_path(name), *node))
    }

    /// Reads a list and returns it with its path; `None` if it is absent or not a list.
    pub fn list(&mut self, name: &str, required: bool) -> Option<(String, &'a [SourceNode])> {
        let node = if required { self.required(name)? } else { self.fields.get(name).copied()? };
        match &node.value {
            SourceValue::List(items) => Some((self.field_path(name), items)),
            other => {
                self.add_type_error(node, name, "a list", other);
                None
            }
        }
    }

    fn required(&mut self, name: &str) -> Option<&'a SourceNode> {
        let node = self.fields.get(name).copied();
        if node.is_none() && self.is_map {
            self.add_error(self.node, self.field_path(name), "missing field".to_owned());
        }
        node
    }

    fn add_type_error(
        &mut self,
        node: &SourceNode,
        name: &str,
        expected: &str,
        found: &SourceValue,
    ) {
        let message = format!("expected {expected}, found {}", found.kind());
        self.add_error(node, self.field_path(name), message);
    }

    fn add_error(&mut self, node: &SourceNode, field: String, message: String) {
        self.report.add_error(node, field, message);
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
