//! Cost of the gossip engine by size of the own group.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{
        GossipEffect, GossipEngine, GossipMessage, GossipPayload, GossipSettings, GroupView,
        MemberRecord, MemberState, MemberUpdate, UpstreamOffer,
    },
    name::{DomainName, RegionName, ServiceName},
    time::MonotonicTime,
};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The mean group of 18,000 upstreams in 490 services, ten times it, and a hundred times.
const GROUP_SIZES: [u32; 3] = [37, 370, 3_700];
const TICK: Duration = Duration::from_millis(100);

fn node(number: u32) -> NodeId {
    NodeId(SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7_000)))
}

fn record(number: u32, incarnation: u64) -> MemberRecord {
    let (domain, region) = (DomainName::new("dar-a"), RegionName::new("dar"));
    MemberRecord {
        service: Some(ServiceName::new("logbook")),
        slots: 120,
        connections: 800,
        state: MemberState::Alive,
        ..MemberRecord::new(node(number), Incarnation(incarnation), domain, region)
    }
}

fn ping(from: u32) -> GossipMessage {
    let mut message = GossipMessage::new(1, GossipPayload::Ping { sequence: 7 });
    message.fill([MemberUpdate::new(record(from, 1_000))]);
    message
}

/// An engine that knows a group of `size`, its news spread.
fn engine(size: u32, rng: &mut Pcg64) -> (GossipEngine, MonotonicTime) {
    let mut now = MonotonicTime::from_millis(1_000);
    let settings = GossipSettings::new().with_bandwidth(1 << 40, 1 << 40);
    let mut engine = GossipEngine::new(settings, record(0, 1_000), now);
    let offer =
        UpstreamOffer { service: ServiceName::new("logbook"), slots: 120, connections: 800 };
    engine.announce(now, rng, offer);
    for number in 1..size {
        engine.receive(now, rng, node(number), ping(number));
    }
    // News ends when each member's has been passed on often enough.
    for _ in 0..size * 20 {
        now = now + Duration::from_micros(10);
        engine.receive(now, rng, node(1), ping(1));
    }
    (engine, now)
}

/// Answers the probes among `effects`, so that the group stays alive.
fn acknowledge(
    engine: &mut GossipEngine,
    now: MonotonicTime,
    rng: &mut Pcg64,
    effects: Vec<GossipEffect>,
) {
    for effect in effects {
        let GossipEffect::Send { to, message } = effect else { continue };
        if let GossipPayload::Ping { sequence } = message.payload {
            let ack = GossipMessage::new(1, GossipPayload::Ack { sequence, target: to });
            black_box(engine.receive(now, rng, to, ack));
        }
    }
}

/// One tick, with the answers to what it asked; ten a second.
fn bench_tick(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership_tick");
    for size in GROUP_SIZES {
        let mut rng = Pcg64::seed_from_u64(1);
        let (mut engine, mut now) = engine(size, &mut rng);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                now = now + TICK;
                let effects = engine.tick(now, &mut rng);
                acknowledge(&mut engine, now, &mut rng, effects);
            });
        });
    }
    group.finish();
}

fn bench_receive(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership_receive_ping");
    for size in GROUP_SIZES {
        let mut rng = Pcg64::seed_from_u64(2);
        let (mut engine, now) = engine(size, &mut rng);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            let input = || ping(1);
            let receive = |message| black_box(engine.receive(now, &mut rng, node(1), message));
            b.iter_batched(input, receive, BatchSize::SmallInput);
        });
    }
    group.finish();
}

fn bench_merge(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership_merge");
    for size in GROUP_SIZES {
        let mut view = GroupView::new(8_192, Duration::from_secs(60));
        let now = MonotonicTime::ZERO;
        for number in 0..size {
            view.merge(now, MemberUpdate::new(record(number, 1)), true);
        }
        let mut incarnation = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            let mut input = || {
                incarnation += 1;
                MemberUpdate::new(record(incarnation as u32 % size, incarnation))
            };
            b.iter_batched(
                &mut input,
                |update| view.merge(now, update, true),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, bench_tick, bench_receive, bench_merge);
criterion_main!(benches);
