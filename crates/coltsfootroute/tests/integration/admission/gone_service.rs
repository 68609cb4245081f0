//! Pattern: the last upstream of a deep service goes, and comes back some seconds later.
//!
//! Requests that would reach it run what lies above it in vain and end in a failure after which an order may not be
//! sent again. The node that finds no upstream says so by the greatest level, and requests are refused where they
//! enter, with a time to come back. Grounds of the figures: an order works for some 100 ms before its nested call
//! fails; a node that is stopped and started again is away for two to three seconds, of which a probe now and then
//! must not make up more than a part.

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

/// Time after which the news of a request comes back.
const NEWS_MILLIS: u64 = 100;
const GONE_FROM: u64 = 1_000;
const BACK_AT: u64 = 3_500;

struct GoneFixture {
    levels: ServiceLevels,
    service: ServiceName,
    node: NodeId,
    rng: Pcg64,
}

fn fixture() -> GoneFixture {
    GoneFixture {
        levels: ServiceLevels::new(),
        service: ServiceName::new("licences"),
        node: NodeId(SocketAddr::from(([127, 0, 0, 1], 1))),
        rng: Pcg64::seed_from_u64(3),
    }
}

impl GoneFixture {
    /// A request each millisecond; gives the shares that are admitted while the service is away and from 800 ms after
    /// its return.
    fn run(&mut self, importance: Importance) -> (f64, f64) {
        let (mut away, mut back) = (0, 0);
        let mut news = Vec::new();
        for millis in 0..BACK_AT + 2_000 {
            let now = MonotonicTime::from_millis(millis);
            for (_, level) in news.extract_if(.., |(due, _)| *due <= millis) {
                self.levels.observe(now, &self.service, self.node, level);
            }
            let services = std::slice::from_ref(&self.service);
            if self.levels.admit(now, services, importance, &mut self.rng).is_err() {
                continue;
            }
            let is_away = (GONE_FROM..BACK_AT).contains(&millis);
            away += u64::from(is_away);
            back += u64::from(millis >= BACK_AT + 800);
            let level = if is_away { ShedLevel::MAX } else { ShedLevel::OPEN };
            news.push((millis + NEWS_MILLIS, level));
        }
        (away as f64 / (BACK_AT - GONE_FROM) as f64, back as f64 / 1_200.0)
    }
}

#[test]
fn most_requests_are_refused_at_the_root_while_the_service_is_away() {
    let (away, _) = fixture().run(Importance::Normal);

    assert!(away < 0.4, "{away:.2} ran in vain");
}

#[test]
fn requests_are_admitted_soon_after_the_service_is_back() {
    let shares = [Importance::Background, Importance::Normal, Importance::Critical]
        .map(|importance| fixture().run(importance).1);

    assert!(shares.iter().all(|share| *share > 0.95), "{shares:?}");
}
