//! Formatting of a log line of `key=value` pairs.

use std::fmt::{Display, Write};

use super::event_text::EventText;

/// Builds one line of `key=value` pairs separated by single spaces.
///
/// A value that is empty or contains anything other than visible ASCII without `"`, `=` and `\` is quoted. Quotes,
/// backslashes, control characters and line separators are escaped as in a Rust string literal, so that no value can
/// end the line, start a pair or forge a quote.
pub(super) struct KeyValues {
    line: String,
}

impl KeyValues {
    pub(super) fn new() -> Self {
        Self { line: String::new() }
    }

    /// Appends a pair. `key` is a fixed name, never input data.
    pub(super) fn push(&mut self, key: &'static str, value: &dyn Display) {
        if !self.line.is_empty() {
            self.line.push(' ');
        }
        self.line.push_str(key);
        self.line.push('=');
        self.push_value(&value.to_string());
    }

    /// Appends an event's field if it has a value.
    pub(super) fn push_field(&mut self, key: &'static str, field: &impl EventText) {
        if let Some(value) = field.event_text() {
            self.push(key, value);
        }
    }

    pub(super) fn into_line(self) -> String {
        self.line
    }

    fn push_value(&mut self, text: &str) {
        if !text.is_empty() && text.bytes().all(is_plain) {
            self.line.push_str(text);
            return;
        }
        self.line.push('"');
        for c in text.chars() {
            match c {
                '\'' => self.line.push(c),
                // Writing to a string can't fail.
                _ => drop(write!(self.line, "{}", c.escape_debug())),
            }
        }
        self.line.push('"');
    }
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'"' | b'=' | b'\\')
}
