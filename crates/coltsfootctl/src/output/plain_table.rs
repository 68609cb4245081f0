//! Tables of plain text.

use serde_json::Value;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Rows of cells, printed in aligned columns.
#[derive(Clone, Debug, Default)]
pub struct PlainTable {
    rows: Vec<Vec<String>>,
}

impl PlainTable {
    /// A table with a row of headings.
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// A table of the members of a JSON value, one a row, nested ones with their path.
    pub fn of_value(value: &Value) -> Self {
        let mut table = Self::default();
        for (path, value) in members(value) {
            table.push(vec![path, value]);
        }
        table
    }

    /// Adds a row.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells.iter().map(|cell| visible(cell)).collect());
    }

    /// The table as text, without spaces at the ends of its lines.
    pub fn text(&self) -> String {
        let widths = self.widths();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
        };
        self.rows.iter().map(line).collect()
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in &self.rows {
            widths.resize(row.len().max(widths.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

/// A JSON value on one line, as `key=value` pairs.
pub fn one_line(value: &Value) -> String {
    let pairs =
        members(value).into_iter().map(|(path, value)| format!("{path}={}", visible(&value)));
    pairs.collect::<Vec<_>>().join(" ")
}

/// A wall clock in milliseconds since the Unix epoch, as a date and time in UTC.
pub fn shown_time(wall_ms: u64) -> String {
    let time = OffsetDateTime::from_unix_timestamp_nanos(i128::from(wall_ms) * 1_000_000);
    let text = time.ok().and_then(|time| time.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{wall_ms} ms"))
}

/// Every scalar of a JSON value with its path.
fn members(value: &Value) -> Vec<(String, String)> {
    match value {
        Value::Object(fields) => {
            fields.iter().flat_map(|(name, value)| nested(name, value)).collect()
        }
        Value::Array(items) => {
            let numbered = items.iter().enumerate();
            numbered.flat_map(|(index, value)| nested(&index.to_string(), value)).collect()
        }
        Value::String(text) => vec![(String::new(), text.clone())],
        other => vec![(String::new(), other.to_string())],
    }
}

fn nested(name: &str, value: &Value) -> Vec<(String, String)> {
    let join =
        |path: String| if path.is_empty() { name.to_owned() } else { format!("{name}.{path}") };
    members(value).into_iter().map(|(path, value)| (join(path), value)).collect()
}

/// Text whose control characters are escaped: what a node says can't move the cursor of a terminal.
fn visible(text: &str) -> String {
    let escaped = |character: char| {
        let is_plain = !character.is_control();
        if is_plain { character.to_string() } else { character.escape_default().to_string() }
    };
    text.chars().map(escaped).collect()
}
