//! A node's share of the request rates of the table service.

use std::time::Duration;

use super::{StoreUse, TableRequest, TokenBucket};
use crate::time::MonotonicTime;

/// Request rates that all nodes together may use, and how they are shared.
#[derive(Clone, Debug, PartialEq)]
pub struct RateShare {
    /// Writes per second of all nodes together; above 0.
    pub writes_per_s: f64,
    /// Reads per second of all nodes together; above 0.
    pub reads_per_s: f64,
    /// Number of nodes expected to share the rates; at least 1.
    pub nodes: u32,
    /// Burst of a node, in seconds of its share of the rate.
    pub burst_s: f64,
}

impl Default for RateShare {
    fn default() -> Self {
        Self { writes_per_s: 200.0, reads_per_s: 1_000.0, nodes: 12, burst_s: 2.0 }
    }
}

/// Request budget of one node: an equal share of each rate. Requests without a waiting caller leave a reserve for
/// claims.
///
/// If many nodes share the rates, an equal share is too small for one change of the configuration, which needs three
/// reads and a write within seconds, or for one start of a node. Since few nodes do either at the same time, requests
/// for configuration then have a small separate budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RateBudget {
    writes: TokenBucket,
    reads: TokenBucket,
    /// Number of write tokens that only claims may use.
    write_reserve: f64,
    /// Number of read tokens that only claims may use.
    read_reserve: f64,
    /// Separate write budget for configuration; `None` if the node's share is large enough for it.
    config_writes: Option<TokenBucket>,
    /// Separate read budget for configuration; `None` if the node's share is large enough for it.
    config_reads: Option<TokenBucket>,
}

/// Burst of configuration requests, reads and writes each, that a node may always send.
const CONFIG_BURST_TOKENS: f64 = 4.0;
/// Rate of configuration requests per second, reads and writes each, that a node may always send.
const CONFIG_TOKENS_PER_S: f64 = 1.0;
/// Share of the burst that is reserved for claims, 0 to 1.
const CLAIM_RESERVE_SHARE: f64 = 0.5;

impl RateBudget {
    /// Creates the budget of one of the nodes that use `share`.
    pub fn new(share: &RateShare) -> Self {
        let nodes = f64::from(share.nodes.max(1));
        let (writes, write_reserve) = bucket(share.writes_per_s / nodes, share.burst_s);
        let (reads, read_reserve) = bucket(share.reads_per_s / nodes, share.burst_s);
        let config_writes = config_bucket(share.writes_per_s / nodes, share.burst_s);
        let config_reads = config_bucket(share.reads_per_s / nodes, share.burst_s);
        Self { writes, reads, write_reserve, read_reserve, config_writes, config_reads }
    }

    /// Acquires a token for `request`. Returns the time to wait before it may be sent, or `None`, without acquiring a
    /// token, if that is longer than `max_wait`.
    pub fn acquire(
        &mut self,
        now: MonotonicTime,
        request: &TableRequest,
        store_use: StoreUse,
        max_wait: Duration,
    ) -> Option<Duration> {
        let is_write = request.is_write();
        let config = if is_write { &mut self.config_writes } else { &mut self.config_reads };
        if let Some(bucket) = config.as_mut().filter(|_| store_use == StoreUse::Config) {
            return bucket.acquire(now, 0.0, max_wait);
        }
        let (bucket, reserve) = if is_write {
            (&mut self.writes, self.write_reserve)
        } else {
            (&mut self.reads, self.read_reserve)
        };
        let reserve = if store_use.is_urgent() { 0.0 } else { reserve };
        bucket.acquire(now, reserve, max_wait)
    }
}

fn bucket(rate: f64, burst_s: f64) -> (TokenBucket, f64) {
    let burst = (rate * burst_s).max(1.0);
    // With a burst of one token nothing is reserved, because other requests would otherwise never be served.
    let reserve = ((burst - 1.0) * CLAIM_RESERVE_SHARE).max(0.0);
    (TokenBucket::new(rate, burst), reserve)
}

/// Creates a separate bucket for configuration; `None` if the node's share has a large enough rate or burst.
fn config_bucket(rate: f64, burst_s: f64) -> Option<TokenBucket> {
    (rate * burst_s < CONFIG_BURST_TOKENS && rate < CONFIG_TOKENS_PER_S)
        .then(|| TokenBucket::new(CONFIG_TOKENS_PER_S, CONFIG_BURST_TOKENS))
}
