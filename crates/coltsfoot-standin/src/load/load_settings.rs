//! Settings of a run.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use super::{
    ArrivalKind, ArrivalWindow, OfferedOperation, ProbeSettings, RetryPolicy, SurgeWindow,
};

/// What a run offers, to whom, and how its clients behave.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Client listeners, picked at random.
    pub targets: Vec<SocketAddr>,
    /// Operations and their rates.
    pub operations: Vec<OfferedOperation>,
    /// How long requests become due.
    pub duration: Duration,
    /// Kind of arrivals.
    pub arrivals: ArrivalKind,
    /// Part of the run with arrivals of that kind, the rest being Poisson; all of it if absent.
    pub arrival_window: Option<ArrivalWindow>,
    /// Windows of higher demand.
    pub surges: Vec<SurgeWindow>,
    /// Behaviour after a failure.
    pub retry: RetryPolicy,
    /// Part of the run whose requests the report counts apart, by when they were due.
    pub focus: Option<ArrivalWindow>,
    /// Requests under way at once, hence connections; a request beyond it waits for its turn.
    pub max_in_flight: usize,
    /// Length of a record in the time series.
    pub interval: Duration,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Paired probe, if any.
    pub probe: Option<ProbeSettings>,
    /// File that gets the outcome of each idempotency key.
    pub key_log: Option<PathBuf>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl LoadSettings {
    /// Requests under way at once where no bound is set.
    pub const DEFAULT_MAX_IN_FLIGHT: usize = 3000;
    /// Body where no size is set.
    pub const DEFAULT_BODY_BYTES: usize = 256;

    /// A Poisson load of `operations` on `targets` for `duration`, without retries.
    pub fn new(
        targets: Vec<SocketAddr>,
        operations: Vec<OfferedOperation>,
        duration: Duration,
        seed: u64,
    ) -> Self {
        Self {
            targets,
            operations,
            duration,
            arrivals: ArrivalKind::Poisson,
            arrival_window: None,
            surges: Vec::new(),
            retry: RetryPolicy::default(),
            focus: None,
            max_in_flight: Self::DEFAULT_MAX_IN_FLIGHT,
            interval: Duration::from_secs(1),
            body_bytes: Self::DEFAULT_BODY_BYTES,
            probe: None,
            key_log: None,
            seed,
        }
    }
}
