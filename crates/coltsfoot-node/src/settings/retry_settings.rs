//! Bound on the retries that reach the upstream beside the node.

use coltsfootroute::retry::ThrottleSettings;

use super::field_reader::FieldReader;

/// Bound on the retries that reach the upstream beside the node, whichever callers and requests they belong to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries for each thousand calls.
    pub per_thousand: u64,
    /// Retries a minute beyond these, so that a service with little traffic is not left without any.
    pub per_minute: u64,
    /// Retries that may always be saved up.
    pub burst: u64,
    /// Length of the window in seconds whose calls earn what may be spent in it, in place of what time earns; zero
    /// where only the burst is saved up.
    pub saving_s: u64,
}

impl RetrySettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        Self {
            per_thousand: reader.number("per_thousand", 100, 0..=1_000),
            per_minute: reader.number("per_minute", 60, 0..=60_000),
            burst: reader.number("burst", 20, 1..=1_000),
            saving_s: reader.number("saving_s", 0, 0..=60),
        }
    }

    /// The same, as the library takes it.
    pub fn throttle(&self) -> ThrottleSettings {
        ThrottleSettings {
            per_call_thousandths: self.per_thousand,
            per_second_thousandths: self.per_minute * 1_000 / 60,
            burst: self.burst,
            window_seconds: self.saving_s,
        }
    }
}
