//! Settings of the store client.

use std::{net::SocketAddr, time::Duration};

use coltsfootroute::table::{BreakerSettings, RateShare, StoreBackoff};

/// Where the platform's services are and how this node may use them.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Commands that may wait for the thread; at least 1.
    pub queue: usize,
    /// Requests under way at once; at least 1.
    pub in_flight: usize,
    /// Time for a new connection.
    pub connect_timeout: Duration,
    /// Share of the platform's rates.
    pub share: RateShare,
    /// Circuit breaker.
    pub breaker: BreakerSettings,
    /// Retry of what is safe to send again.
    pub backoff: StoreBackoff,
    /// Seed of the jitter.
    pub seed: u64,
}

impl StoreSettings {
    /// Both services at `address`, with defaults for today's sizes.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            table: address,
            objects: address,
            queue: 1_024,
            in_flight: 64,
            connect_timeout: Duration::from_millis(500),
            share: RateShare::default(),
            breaker: BreakerSettings::default(),
            backoff: StoreBackoff::default(),
            seed: 0,
        }
    }

    /// Sets the share of the platform's rates.
    pub fn with_share(mut self, share: RateShare) -> Self {
        self.share = share;
        self
    }

    /// Sets the circuit breaker.
    pub fn with_breaker(mut self, breaker: BreakerSettings) -> Self {
        self.breaker = breaker;
        self
    }

    /// Sets the retry.
    pub fn with_backoff(mut self, backoff: StoreBackoff) -> Self {
        self.backoff = backoff;
        self
    }
}
