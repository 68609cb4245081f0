//! Settings of the store client.

use std::{net::SocketAddr, time::Duration};

use coltsfootroute::table::{BreakerSettings, RateShare, StoreBackoff};

use super::EraCell;

/// Addresses of the platform's services, and limits for their use by this node.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Maximum number of commands waiting for the thread; at least 1.
    pub queue: usize,
    /// Maximum number of concurrent requests; at least 1.
    pub in_flight: usize,
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// This node's share of the platform's rates.
    pub share: RateShare,
    /// Settings of the circuit breakers.
    pub breaker: BreakerSettings,
    /// Backoff for requests that are safe to retry.
    pub backoff: StoreBackoff,
    /// Seed of the jitter.
    pub seed: u64,
    /// Cell for the eras that the store states in its answers.
    pub eras: EraCell,
}

impl StoreSettings {
    /// Creates settings with both services at `address`, and defaults for today's deployment sizes.
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
            eras: EraCell::new(),
        }
    }

    /// Sets this node's share of the platform's rates.
    pub fn with_share(mut self, share: RateShare) -> Self {
        self.share = share;
        self
    }

    /// Sets the circuit breaker settings.
    pub fn with_breaker(mut self, breaker: BreakerSettings) -> Self {
        self.breaker = breaker;
        self
    }

    /// Sets the backoff for retries.
    pub fn with_backoff(mut self, backoff: StoreBackoff) -> Self {
        self.backoff = backoff;
        self
    }
}
