//! A node's share of the table service's rates.

use std::time::Duration;

use super::{StoreUse, TableRequest, TokenBucket};
use crate::time::MonotonicTime;

/// Rates that all nodes together may use, and the number of nodes that share them.
#[derive(Clone, Debug, PartialEq)]
pub struct RateShare {
    /// Writes a second of all nodes together; above 0.
    pub writes_per_s: f64,
    /// Reads a second of all nodes together; above 0.
    pub reads_per_s: f64,
    /// Nodes expected to share the rates; at least 1.
    pub nodes: u32,
    /// Seconds of its own share that an idle node may save up.
    pub burst_s: f64,
}

impl Default for RateShare {
    fn default() -> Self {
        Self { writes_per_s: 200.0, reads_per_s: 1_000.0, nodes: 12, burst_s: 2.0 }
    }
}

/// One node's budget: an equal share of each rate. Requests without a waiting caller leave a reserve
/// for claims.
///
/// Where many nodes share, an equal share would not carry one change of the configuration, which takes
/// three reads and a write within seconds, nor one start. Few nodes do either at a time, so those requests
/// have a small budget of their own there.
#[derive(Clone, Debug, PartialEq)]
pub struct RateBudget {
    writes: TokenBucket,
    reads: TokenBucket,
    /// Write tokens that only claims may use.
    write_reserve: f64,
    /// Read tokens that only claims may use.
    read_reserve: f64,
    /// For configuration, where the share is too small for it.
    config_writes: Option<TokenBucket>,
    config_reads: Option<TokenBucket>,
}

/// Requests for configuration that a node may always send at once.
const CONFIG_BURST_TOKENS: f64 = 4.0;
/// Requests for configuration that it may always send in a second.
const CONFIG_TOKENS_PER_S: f64 = 1.0;
/// Part of the burst that is kept for claims.
const CLAIM_RESERVE_SHARE: f64 = 0.5;

impl RateBudget {
    /// The budget of one of the nodes that share `share`.
    pub fn new(share: &RateShare) -> Self {
        let nodes = f64::from(share.nodes.max(1));
        let (writes, write_reserve) = bucket(share.writes_per_s / nodes, share.burst_s);
        let (reads, read_reserve) = bucket(share.reads_per_s / nodes, share.burst_s);
        let config_writes = config_bucket(share.writes_per_s / nodes, share.burst_s);
        let config_reads = config_bucket(share.reads_per_s / nodes, share.burst_s);
        Self { writes, reads, write_reserve, read_reserve, config_writes, config_reads }
    }

    /// Takes one request from the budget. Gives the time to wait before it may be sent, or `None`,
    /// taking nothing, where that is longer than `max_wait`.
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
    // A burst of one token leaves nothing to reserve: the rest would never be served.
    let reserve = ((burst - 1.0) * CLAIM_RESERVE_SHARE).max(0.0);
    (TokenBucket::new(rate, burst), reserve)
}

/// A bucket of its own for configuration, unless the share holds as much.
fn config_bucket(rate: f64, burst_s: f64) -> Option<TokenBucket> {
    (rate * burst_s < CONFIG_BURST_TOKENS && rate < CONFIG_TOKENS_PER_S)
        .then(|| TokenBucket::new(CONFIG_TOKENS_PER_S, CONFIG_BURST_TOKENS))
}
