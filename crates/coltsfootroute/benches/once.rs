//! Cost of a claim per call, without the store.

use std::{hint::black_box, time::Duration};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{OperationName, ServiceName},
    once::{
        BodyDigest, ClaimHolder, ClaimId, ClaimResult, ClaimStep, ClientKey, DispatchVerdict,
        OnceCall, OnceGuard, OnceKey, OnceSettings, RunAnswer, TaskReply, WallTime,
    },
    table::TableReply,
    time::MonotonicTime,
};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

const NOW: MonotonicTime = MonotonicTime::from_millis(1);
const BODY_SIZES: [usize; 3] = [256, 4 << 10, 64 << 10];
/// Size of the answer, which is stored inline.
const ANSWER_SIZE: usize = 256;
/// Claims that stay open beside the measured one.
const OPEN_CLAIMS: u128 = 1_000;

fn new_guard() -> OnceGuard {
    let node = NodeId(([127, 0, 0, 1], 7_000).into());
    let holder = ClaimHolder { node, incarnation: Incarnation(1) };
    OnceGuard::new(holder, OnceSettings::default())
}

fn new_call(key: &str, body: &[u8]) -> OnceCall {
    OnceCall {
        key: OnceKey {
            service: ServiceName::new("payments"),
            operation: OperationName::new("submit-fee"),
            client_key: ClientKey::new(key),
        },
        body_digest: BodyDigest::of(body),
        retention: Duration::from_secs(86_400),
        deadline: NOW + Duration::from_secs(1),
    }
}

/// One call from its claim to its stored answer.
fn whole_call(guard: &mut OnceGuard, claim_id: ClaimId, body: &[u8]) {
    let step = guard.begin(new_call("renewal-2026-000017", body), claim_id, WallTime(1));
    black_box(step);
    let step = guard.on_reply(claim_id, &TableReply::Committed, NOW);
    let Some(ClaimStep::Done(ClaimResult::Dispatch(ticket))) = step else { return };
    let DispatchVerdict::Run(run) = guard.dispatch(ticket, NOW) else { return };
    let answer = RunAnswer { status: 200, headers: Vec::new(), body: vec![7; ANSWER_SIZE] };
    guard.finish(run, answer, NOW);
    black_box(guard.next_task(NOW));
    guard.on_task_reply(claim_id, &TaskReply::Table(TableReply::Committed), NOW);
}

fn once(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("once");
    for size in BODY_SIZES {
        let body = vec![7; size];
        group.throughput(Throughput::Bytes(size as u64));
        group.bench_function(format!("digest/{size}"), |bencher| {
            bencher.iter(|| BodyDigest::of(black_box(&body)));
        });
        let mut guard = new_guard();
        for other in 1..=OPEN_CLAIMS {
            guard.begin(new_call(&other.to_string(), b""), ClaimId(other), WallTime(1));
        }
        group.bench_function(format!("call/{size}"), |bencher| {
            bencher.iter(|| whole_call(&mut guard, ClaimId(0), black_box(&body)));
        });
    }
    group.finish();
}

criterion_group!(benches, once);
criterion_main!(benches);
