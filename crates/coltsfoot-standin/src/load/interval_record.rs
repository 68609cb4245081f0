//! A record of the time series.

use coltsfootroute::importance::Importance;
use indexmap::IndexMap;

use super::ImportanceTally;

/// What happened in one interval: requests count as offered when due and otherwise at their end.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct IntervalRecord {
    /// Begin, milliseconds from the start of the load.
    pub t_ms: u64,
    /// Requests due.
    pub offered: u64,
    /// Requests completed.
    pub completed: u64,
    /// The same by importance.
    pub by_importance: IndexMap<Importance, ImportanceTally>,
}

impl IntervalRecord {
    /// An empty record that begins at `t_ms`.
    pub(super) fn new(t_ms: u64) -> Self {
        Self { t_ms, ..Self::default() }
    }

    /// The tally of `importance`.
    pub(super) fn tally(&mut self, importance: Importance) -> &mut ImportanceTally {
        self.by_importance.entry(importance).or_default()
    }
}
