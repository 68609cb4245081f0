//! Tests the shed levels while the last upstream of a service deep in the call chain is gone for a few seconds.
//!
//! Requests that reach the service would waste the work of the services above it, and fail in a way after which an
//! order must not be retried. The node that finds no upstream therefore reports the highest level, and requests are
//! refused where they enter, with a retry delay.
//!
//! Basis of the numbers: an order runs for about 100 ms before its nested call fails. A restarted node is unavailable
//! for two to three seconds, and requests that are admitted as probes may be only a part of the requests in that time.

use std::net::SocketAddr;

use coltsfootroute::{
    admission::{ServiceLevels, ShedLevel},
    id::NodeId,
    importance::Importance,
    name::ServiceName,
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Time in milliseconds from the admission of a request until its response carries a level.
const LEVEL_DELAY_MILLIS: u64 = 100;
const DOWN_FROM_MILLIS: u64 = 1_000;
const UP_AGAIN_MILLIS: u64 = 3_500;

struct UnavailableService {
    levels: ServiceLevels,
    service: ServiceName,
    node: NodeId,
    rng: Pcg64,
}

fn fixture() -> UnavailableService {
    UnavailableService {
        levels: ServiceLevels::new(),
        service: ServiceName::new("licences"),
        node: NodeId(SocketAddr::from(([127, 0, 0, 1], 1))),
        rng: Pcg64::seed_from_u64(3),
    }
}

impl UnavailableService {
    /// Sends one request per millisecond. Returns the admitted shares while the service is down and from 800 ms after
    /// it is up again.
    fn run(&mut self, importance: Importance) -> (f64, f64) {
        let (mut admitted_while_down, mut admitted_after) = (0, 0);
        let mut delayed_levels = Vec::new();
        for millis in 0..UP_AGAIN_MILLIS + 2_000 {
            let now = MonotonicTime::from_millis(millis);
            for (_, level) in delayed_levels.extract_if(.., |(due, _)| *due <= millis) {
                self.levels.observe(now, &self.service, self.node, level);
            }
            let services = std::slice::from_ref(&self.service);
            if self.levels.admit(now, services, importance, &mut self.rng).is_err() {
                continue;
            }
            let is_down = (DOWN_FROM_MILLIS..UP_AGAIN_MILLIS).contains(&millis);
            admitted_while_down += u64::from(is_down);
            admitted_after += u64::from(millis >= UP_AGAIN_MILLIS + 800);
            let level = if is_down { ShedLevel::MAX } else { ShedLevel::OPEN };
            delayed_levels.push((millis + LEVEL_DELAY_MILLIS, level));
        }
        (
            admitted_while_down as f64 / (UP_AGAIN_MILLIS - DOWN_FROM_MILLIS) as f64,
            admitted_after as f64 / 1_200.0,
        )
    }
}

#[test]
fn most_requests_are_refused_at_the_root_while_the_service_is_down() {
    let (admitted_while_down, _) = fixture().run(Importance::Normal);

    assert!(admitted_while_down < 0.4, "{admitted_while_down:.2} of the requests admitted");
}

#[test]
fn requests_are_admitted_soon_after_the_service_is_up_again() {
    let shares = [Importance::Background, Importance::Normal, Importance::Critical]
        .map(|importance| fixture().run(importance).1);

    assert!(shares.iter().all(|share| *share > 0.95), "{shares:?}");
}
