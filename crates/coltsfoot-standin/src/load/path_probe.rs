//! The paired probe: what a node adds to a call, against a direct call in the same run.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep};

use crate::http_client::HttpClient;

use super::{
    ProbeReport, ProbeSettings,
    attempt_result::AttemptResult,
    load_client::{AttemptRequest, send_attempt},
};

/// Deadline of a probe.
const PROBE_DEADLINE: Duration = Duration::from_secs(2);
/// Body of a probe, as long as that of a request.
const PROBE_BODY: &[u8] = &[b'p'; 256];
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Sends pairs of calls one after the other, in random order.
pub(super) struct PathProbe {
    settings: ProbeSettings,
    targets: Vec<SocketAddr>,
    client: HttpClient,
    rng: Pcg64,
    node: Histogram<u64>,
    direct: Histogram<u64>,
}

impl PathProbe {
    pub(super) fn new(
        settings: ProbeSettings,
        targets: Vec<SocketAddr>,
        client: HttpClient,
        seed: u64,
    ) -> Self {
        let new_histogram = || Histogram::new(DIGITS).expect("3 digits are valid");
        let rng = Pcg64::seed_from_u64(seed);
        Self { settings, targets, client, rng, node: new_histogram(), direct: new_histogram() }
    }

    /// Probes until `end`.
    pub(super) async fn run(mut self, end: Instant) -> ProbeReport {
        let pause = Duration::from_secs_f64(1.0 / self.settings.rate.max(0.1));
        while Instant::now() < end {
            sleep(pause).await;
            self.send_pair().await;
        }
        self.report()
    }

    async fn send_pair(&mut self) {
        if self.targets.is_empty() || self.settings.direct.is_empty() {
            return;
        }
        let node = self.targets[self.rng.random_range(0..self.targets.len())];
        let upstream = self.settings.direct[self.rng.random_range(0..self.settings.direct.len())];
        let node_first: bool = self.rng.random();
        let (first, second) = if node_first { (node, upstream) } else { (upstream, node) };
        let (Some(first), Some(second)) = (self.measure(first).await, self.measure(second).await)
        else {
            return;
        };
        let (through_node, directly) = if node_first { (first, second) } else { (second, first) };
        self.node.saturating_record(through_node);
        self.direct.saturating_record(directly);
    }

    /// Time beyond the service time, microseconds; `None` where the call did not complete.
    async fn measure(&self, target: SocketAddr) -> Option<u64> {
        let attempt = AttemptRequest {
            operation: &self.settings.operation,
            key: None,
            deadline: PROBE_DEADLINE,
            body: Bytes::from_static(PROBE_BODY),
        };
        let start = Instant::now();
        let result = send_attempt(&self.client, target, &attempt).await.ok()?;
        let AttemptResult::Completed { work_us } = result else { return None };
        let elapsed = u64::try_from(start.elapsed().as_micros()).ok()?;
        Some(elapsed.saturating_sub(work_us))
    }

    fn report(&self) -> ProbeReport {
        ProbeReport {
            pairs: self.node.len(),
            node_p50_us: self.node.value_at_quantile(0.50),
            node_p99_us: self.node.value_at_quantile(0.99),
            direct_p50_us: self.direct.value_at_quantile(0.50),
            direct_p99_us: self.direct.value_at_quantile(0.99),
        }
    }
}
