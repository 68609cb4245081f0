//! Optional parts of load control.

use super::field_reader::FieldReader;

/// Optional parts of load control; all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// Whether a guard serves calls of the same importance in the order in which their client requests entered.
    pub request_age: bool,
    /// Whether this node asks guards for their load, and prefers upstreams with free slots. Guards answer whoever asks.
    pub load_reports: bool,
    /// Whether a service that sheds load refuses the teams above their share first.
    pub team_shares: bool,
    /// Whether a refused caller is told to retry while its answer could still be in time.
    pub timely_hints: bool,
}

impl SchedulingSettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        Self {
            request_age: reader.optional("request_age").unwrap_or_default(),
            load_reports: reader.optional("load_reports").unwrap_or_default(),
            team_shares: reader.optional("team_shares").unwrap_or_default(),
            timely_hints: reader.optional("timely_hints").unwrap_or_default(),
        }
    }
}
