//! Cost of routing and retry decisions by the number of members.
//!
//! `cargo bench -p coltsfootroute --bench routing`
#![allow(missing_docs, reason = "the macros of criterion declare undocumented items")]

use std::{hint::black_box, net::SocketAddr, time::Duration};

use coltsfootroute::{
    id::{Incarnation, NodeId, RequestId},
    name::{DomainName, RegionName},
    retry::{AccountLedger, LedgerSettings},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const MEMBERS: [u16; 3] = [3, 37, 370];
/// Time between two calls of one node at 333 calls a second, microseconds.
const GAP_MICROS: u64 = 3_000;
const LATENCY: Duration = Duration::from_millis(10);

fn upstream_info(index: u16) -> UpstreamInfo {
    UpstreamInfo {
        node: NodeId(SocketAddr::from(([10, 0, 0, 1], index))),
        incarnation: Incarnation(1),
        domain: DomainName::new(["a", "b", "c"][usize::from(index % 3)]),
        region: RegionName::new("r"),
        slots: 120,
        connections: 800,
        leaving: false,
        suspect: false,
    }
}

fn pool(members: u16) -> UpstreamPool {
    let settings = RoutingSettings::default().with_callers(37);
    let mut pool = UpstreamPool::new(DomainName::new("a"), RegionName::new("r"), settings);
    pool.update(MonotonicTime::ZERO, (0..members).map(upstream_info));
    pool
}

fn bench_call(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose, started, finished");
    for members in MEMBERS {
        let mut pool = pool(members);
        let mut rng = Pcg64::seed_from_u64(1);
        let mut now = MonotonicTime::ZERO;
        group.bench_function(BenchmarkId::from_parameter(members), |bencher| {
            bencher.iter(|| {
                now.0 += GAP_MICROS;
                let node = pool.choose(now, &mut rng, &[]).expect("all upstreams serve");
                pool.started(now, node);
                pool.finished(now, black_box(node), LATENCY, RouteResult::Succeeded);
            });
        });
    }
    group.finish();
}

fn bench_update(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("update");
    for members in MEMBERS {
        let mut pool = pool(members);
        let infos: Vec<_> = (0..members).map(upstream_info).collect();
        group.bench_function(BenchmarkId::from_parameter(members), |bencher| {
            bencher.iter(|| pool.update(MonotonicTime::ZERO, black_box(infos.iter().cloned())));
        });
    }
    group.finish();
}

/// Opens, takes, repeats and closes with as many accounts open besides.
fn bench_account(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("account: open, take, take again, close");
    for open in MEMBERS {
        let mut ledger = AccountLedger::new(LedgerSettings::default());
        let deadline = MonotonicTime(u64::MAX / 2);
        for request in 0..u128::from(open) {
            ledger.open(MonotonicTime::ZERO, RequestId(request), 3, deadline);
        }
        let mut request = RequestId(1_000_000);
        group.bench_function(BenchmarkId::from_parameter(open), |bencher| {
            bencher.iter(|| {
                request.0 += 1;
                ledger.open(MonotonicTime::ZERO, request, 3, deadline);
                black_box(ledger.acquire(MonotonicTime::ZERO, request, 7));
                black_box(ledger.acquire(MonotonicTime::ZERO, request, 7));
                ledger.close(request);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_call, bench_update, bench_account);
criterion_main!(benches);
