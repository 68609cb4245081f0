//! The time line as JSON lines.

use serde::{Deserialize, Serialize, de::IgnoredAny};

use crate::merge::{EventGap, TimelineEntry};

/// A line for a gap.
#[derive(Serialize)]
struct GapLine<'a> {
    gap: &'a EventGap,
}

/// What tells a gap's line from an event's.
#[derive(Deserialize)]
struct GapMark {
    #[serde(rename = "gap")]
    _gap: IgnoredAny,
}

/// One entry as JSON, without line end: an event as its node gave it, a gap under the key `gap`.
pub fn json_line(entry: &TimelineEntry) -> String {
    match entry {
        TimelineEntry::Event(record) => record.to_json(),
        // A gap holds numbers and text only: serialising to a string can't fail.
        TimelineEntry::Gap(gap) => serde_json::to_string(&GapLine { gap }).unwrap_or_default(),
    }
}

/// Whether `line` is a gap's.
pub fn is_gap_line(line: &str) -> bool {
    serde_json::from_str::<GapMark>(line).is_ok()
}
