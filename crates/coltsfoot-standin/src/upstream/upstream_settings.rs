//! Settings of an upstream.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use coltsfootroute::{name::ServiceName, schema::SchemaDocument};

/// What one upstream serves and how it behaves.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Service played.
    pub service: ServiceName,
    /// Schema that declares the service and the calls it makes.
    pub schema: SchemaDocument,
    /// Host listener of the upstream's own node; without one it neither announces itself nor
    /// makes nested calls.
    pub node: Option<SocketAddr>,
    /// Address listened on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Mean service time of a run, nested calls not counted.
    pub service_time: Duration,
    /// Runs at work at once; the schema's slots where absent.
    pub slots: Option<u32>,
    /// Calls that wait for a slot before the upstream sheds.
    pub max_waiting: usize,
    /// Time after the start in which runs are slower.
    pub cold_start: Duration,
    /// Factor on the service time during the cold start.
    pub cold_factor: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// A call whose body holds this text ends the upstream as soon as it runs: its connections close without an answer.
    pub ends_on: Option<String>,
    /// File to which each run of a non-repeatable operation adds a line when it starts, so that
    /// runs can be counted over several upstreams, also over those that were killed.
    pub run_log: Option<PathBuf>,
}

impl UpstreamSettings {
    /// Mean service time where none is set.
    pub const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);
    /// Factor of the cold start where none is set.
    pub const DEFAULT_COLD_FACTOR: f64 = 4.0;
    /// Waiting calls where no bound is set.
    pub const DEFAULT_MAX_WAITING: usize = 1000;

    /// A warm upstream of `service` without a node on a free loopback port.
    pub fn new(service: ServiceName, schema: SchemaDocument) -> Self {
        Self {
            service,
            schema,
            node: None,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Self::DEFAULT_SERVICE_TIME,
            slots: None,
            max_waiting: Self::DEFAULT_MAX_WAITING,
            cold_start: Duration::ZERO,
            cold_factor: Self::DEFAULT_COLD_FACTOR,
            seed: 1,
            ends_on: None,
            run_log: None,
        }
    }
}
