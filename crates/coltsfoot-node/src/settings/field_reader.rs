//! Reader of one mapping of the settings file.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::{SettingsErrors, setting_value::SettingValue};

/// Reads the fields of one mapping, collecting every fault instead of stopping at the first.
pub(super) struct FieldReader<'a> {
    /// Path of the mapping with a trailing dot; empty at the top.
    prefix: String,
    /// Fields not yet read; what is left at the end is unknown.
    fields: Map<String, Value>,
    errors: &'a mut SettingsErrors,
}

impl<'a> FieldReader<'a> {
    /// A reader of the whole document.
    pub(super) fn new(document: Value, errors: &'a mut SettingsErrors) -> Self {
        Self::with_prefix(String::new(), "the document", document, errors)
    }

    fn with_prefix(
        prefix: String,
        path: &str,
        value: Value,
        errors: &'a mut SettingsErrors,
    ) -> Self {
        let fields = match value {
            Value::Object(fields) => fields,
            Value::Null => Map::new(),
            other => {
                errors.push(path, &other.to_string(), "a mapping of fields");
                Map::new()
            }
        };
        Self { prefix, fields, errors }
    }

    /// A field that must be there.
    pub(super) fn required<T: SettingValue>(&mut self, field: &str) -> Option<T> {
        match self.take(field) {
            Some(value) => self.convert(&self.path(field), &value),
            None => {
                self.errors.push(&self.path(field), "nothing", T::EXPECTED);
                None
            }
        }
    }

    /// A field that may be absent or null.
    pub(super) fn optional<T: SettingValue>(&mut self, field: &str) -> Option<T> {
        let value = self.take(field)?;
        self.convert(&self.path(field), &value)
    }

    /// A whole number within `range`, or `default` where absent.
    pub(super) fn number(&mut self, field: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.optional_number(field, range).unwrap_or(default)
    }

    /// A whole number within `range` that may be absent or null.
    pub(super) fn optional_number(
        &mut self,
        field: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.take(field)?;
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            self.errors.push(&self.path(field), &value.to_string(), &expected);
        }
        number
    }

    /// A list, empty where absent.
    pub(super) fn list<T: SettingValue>(&mut self, field: &str) -> Vec<T> {
        let path = self.path(field);
        match self.take(field) {
            None => Vec::new(),
            Some(Value::Array(items)) => items
                .iter()
                .enumerate()
                .filter_map(|(index, item)| self.convert(&format!("{path}[{index}]"), item))
                .collect(),
            Some(other) => {
                self.errors.push(&path, &other.to_string(), "a list");
                Vec::new()
            }
        }
    }

    /// Reads a nested mapping by `read`; an absent one reads as empty.
    pub(super) fn section<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut FieldReader<'_>) -> T,
    ) -> T {
        let path = self.path(field);
        let value = self.take(field).unwrap_or(Value::Null);
        let mut reader =
            FieldReader::with_prefix(format!("{path}."), &path, value, &mut *self.errors);
        let section = read(&mut reader);
        reader.finish();
        section
    }

    /// Reports the fields that nothing has read.
    pub(super) fn finish(self) {
        for (field, value) in &self.fields {
            let path = format!("{}{field}", self.prefix);
            self.errors.push(&path, &value.to_string(), "no such field");
        }
    }

    fn path(&self, field: &str) -> String {
        format!("{}{field}", self.prefix)
    }

    fn take(&mut self, field: &str) -> Option<Value> {
        self.fields.remove(field).filter(|value| !value.is_null())
    }

    fn convert<T: SettingValue>(&mut self, path: &str, value: &Value) -> Option<T> {
        let converted = T::from_value(value);
        if converted.is_none() {
            self.errors.push(path, &value.to_string(), T::EXPECTED);
        }
        converted
    }
}
