//! Client listeners to choose from.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// How long clients avoid a target that took no connection.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Targets picked at random; those that lately took no connection come last.
pub(super) struct TargetList {
    inner: Mutex<Inner>,
}

struct Inner {
    targets: Vec<SocketAddr>,
    avoid_until: Vec<Option<Instant>>,
    rng: Pcg64,
}

impl TargetList {
    pub(super) fn new(targets: Vec<SocketAddr>, seed: u64) -> Self {
        let avoid_until = vec![None; targets.len()];
        let rng = Pcg64::seed_from_u64(seed);
        Self { inner: Mutex::new(Inner { targets, avoid_until, rng }) }
    }

    /// A target other than those avoided; any target where all are; `None` without targets.
    pub(super) fn pick(&self) -> Option<SocketAddr> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let open: Vec<usize> = (0..inner.targets.len())
            .filter(|index| inner.avoid_until[*index].is_none_or(|until| until <= now))
            .collect();
        if inner.targets.is_empty() {
            return None;
        }
        let index = if open.is_empty() {
            let count = inner.targets.len();
            inner.rng.random_range(0..count)
        } else {
            let place = inner.rng.random_range(0..open.len());
            open[place]
        };
        Some(inner.targets[index])
    }

    /// Avoids `target` for a while.
    pub(super) fn avoid(&self, target: SocketAddr) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(index) = inner.targets.iter().position(|known| *known == target) else { return };
        inner.avoid_until[index] = Some(Instant::now() + AVOID_TIME);
    }
}
