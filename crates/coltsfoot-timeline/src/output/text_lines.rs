//! The time line as text.

use std::time::{Duration, UNIX_EPOCH};

use coltsfootroute::event::HybridStamp;

use crate::merge::{EventGap, TimelineEntry};

/// One entry as a line of key=value pairs, without line end; starts with the time in UTC.
pub fn text_line(entry: &TimelineEntry) -> String {
    match entry {
        TimelineEntry::Event(record) => {
            format!("time={} {}", time_text(record.stamp), record.to_key_values())
        }
        TimelineEntry::Gap(gap) => gap_line(gap),
    }
}

fn gap_line(gap: &EventGap) -> String {
    format!(
        "time={} event=gap missing={} first={} last={} node={} life={}",
        time_text(gap.before),
        gap.count(),
        gap.first,
        gap.last,
        gap.node,
        gap.life
    )
}

/// The stamp's wall time in UTC, to the millisecond; a stamp that no calendar holds is shown as it is.
fn time_text(stamp: HybridStamp) -> String {
    /// End of the year 9999.
    const MAX_CALENDAR_MS: u64 = 253_402_300_799_999;
    if stamp.wall_ms > MAX_CALENDAR_MS {
        return stamp.to_string();
    }
    let time = UNIX_EPOCH + Duration::from_millis(stamp.wall_ms);
    humantime::format_rfc3339_millis(time).to_string()
}
