//! Processor time and allocations of each decision on a call's way.

use std::{hint::black_box, time::Duration};

use capnp::{message::Builder, serialize};
use coltsfoot_wire::{
    peer::{CallReply, CallRequest, LevelNote, ReplyBody},
    peer_capnp::{call_reply, call_request},
};
use coltsfootroute::{
    admission::{AdmissionGate, AdmissionSettings, CallFinish, ShedLevel, WaitingCall},
    event::HybridStamp,
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    once::{
        BodyDigest, ClaimHolder, ClaimId, ClaimResult, ClaimStep, ClientKey, DispatchVerdict,
        OnceCall, OnceGuard, OnceKey, OnceSettings, RunAnswer, TaskReply, WallTime,
    },
    outcome::CallOutcome,
    retry::{AccountLedger, LedgerSettings},
    routing::RouteResult,
    table::TableReply,
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::{gossip::GROUP, memory};
use crate::{
    heap_meter::metered,
    mesh::service_name,
    processor_clock::mean_micros,
    report::MeasuredSlope,
    sample_schema::{operation_name, sample_schema},
};

/// Decisions over which allocations are counted.
const ROUNDS: u32 = 2_000;
/// Time between two calls of one node at 333 calls a second, microseconds.
const GAP_MICROS: u64 = 3_000;
const LATENCY: Duration = Duration::from_millis(10);
const NODE: ([u8; 4], u16) = ([10, 0, 0, 1], 7_000);

/// All but what depends on the schema.
pub fn all() -> anyhow::Result<Vec<MeasuredSlope>> {
    let mut slopes = Vec::new();
    slopes.extend(measured("route", "upstreams of the pool", [3, 37, 370, 1_000], route)?);
    slopes.extend(measured("admit", "calls in flight", [0, 10, 50, 110], admit)?);
    slopes.extend(measured("levels", "services reached", [1, 28, 140, 490], levels)?);
    slopes.extend(measured("account", "accounts open", [10, 100, 1_000, 3_000], account)?);
    slopes.extend(measured("claim", "claims open", [10, 100, 1_000, 3_000], claim)?);
    slopes.extend(measured("request-wire", "bytes of body", [256, 1_024, 4_096, 16_384], request)?);
    slopes.extend(measured("reply-wire", "bytes of body", [256, 1_024, 4_096, 16_384], reply)?);
    Ok(slopes)
}

/// Looking an operation up, and the services that it reaches, which each change makes anew.
pub fn by_schema() -> anyhow::Result<Vec<MeasuredSlope>> {
    let x = "services of the schema";
    let mut look_up = MeasuredSlope::new("decision-classify", x, "processor us a look-up");
    let mut reach = MeasuredSlope::new("decision-reachable", x, "processor us, first call only");
    for services in [10, 60, 245, 490, 1_000] {
        let document = sample_schema(services);
        let state = memory::config_state(&document);
        let names: Vec<_> = (0..services).map(service_name).collect();
        let operation = operation_name(0);
        let mut next = 0;
        look_up.push(
            services as f64,
            mean_micros(|| {
                next = (next + 1) % names.len();
                let service = state.service(&names[next]);
                black_box(service.and_then(|service| service.operation(&operation)));
            })?,
        );
        let reached = || drop(black_box(document.reachable_services(&names[0], &operation)));
        reach.push(services as f64, mean_micros(reached)?);
    }
    Ok(vec![look_up, reach])
}

/// Builds the work for each size; the work does one decision a call.
fn measured<W: FnMut()>(
    name: &str,
    x_label: &str,
    sizes: [usize; 4],
    build: impl Fn(usize) -> W,
) -> anyhow::Result<[MeasuredSlope; 2]> {
    let name = format!("decision-{name}");
    let mut time = MeasuredSlope::new(&name, x_label, "processor us a call");
    let allocations = format!("{name}-allocations");
    let mut allocated = MeasuredSlope::new(&allocations, x_label, "allocations a call");
    for size in sizes {
        let mut work = build(size);
        time.push(size as f64, mean_micros(&mut work)?);
        let ((), heap) = metered(|| (0..ROUNDS).for_each(|_| work()));
        allocated.push(size as f64, heap.allocations as f64 / f64::from(ROUNDS));
    }
    Ok([time, allocated])
}

/// Chooses an upstream, starts and finishes the call.
fn route(upstreams: usize) -> impl FnMut() {
    let mut pool = memory::pool(upstreams);
    let mut rng = Pcg64::seed_from_u64(1);
    let mut now = MonotonicTime::from_millis(10_000);
    move || {
        now.0 += GAP_MICROS;
        if let Some(node) = pool.choose(now, &mut rng, &[]) {
            pool.started(now, node);
            pool.finished(now, node, LATENCY, RouteResult::Succeeded);
        }
    }
}

/// Offers and finishes a call at a gate of 120 slots.
fn admit(in_flight: usize) -> impl FnMut() {
    let mut gate = AdmissionGate::new(AdmissionSettings::new(120));
    let mut now = MonotonicTime::from_millis(1_000);
    let mut id = 0;
    for _ in 0..in_flight {
        id += 1;
        gate.offer(now, waiting_call(now, id));
    }
    move || {
        now.0 += GAP_MICROS;
        id += 1;
        black_box(gate.offer(now, waiting_call(now, id)));
        black_box(gate.finish(now + LATENCY, id, CallFinish::Succeeded));
    }
}

fn waiting_call(now: MonotonicTime, id: u64) -> WaitingCall {
    let deadline = now + Duration::from_secs(1);
    WaitingCall {
        id,
        importance: Importance::Normal,
        deadline,
        client: id % 64,
        entered: MonotonicTime::ZERO,
        under_way: false,
    }
}

/// Decides at the root on a request that reaches so many services of 37 guards.
fn levels(services: usize) -> impl FnMut() {
    let levels = memory::levels(services * GROUP);
    let names: Vec<_> = (0..services).map(service_name).collect();
    let mut rng = Pcg64::seed_from_u64(1);
    let now = MonotonicTime::from_millis(1_100);
    move || {
        black_box(levels.admit(now, &names, Importance::Normal, &mut rng).is_ok());
    }
}

/// Opens an account, takes one token, closes it.
fn account(open: usize) -> impl FnMut() {
    let mut ledger = AccountLedger::new(LedgerSettings::default());
    let now = MonotonicTime::from_millis(1_000);
    let deadline = MonotonicTime::from_millis(60_000);
    for request in 0..open as u128 {
        ledger.open(now, RequestId(request), 3, deadline);
    }
    let mut request = RequestId(1 << 64);
    move || {
        request.0 += 1;
        ledger.open(now, request, 3, deadline);
        black_box(ledger.acquire(now, request, 7));
        ledger.close(request);
    }
}

/// From claim to stored answer, body of 256 bytes, without the store.
fn claim(open: usize) -> impl FnMut() {
    let holder = ClaimHolder { node: NodeId(NODE.into()), incarnation: Incarnation(1) };
    let mut guard = OnceGuard::new(holder, OnceSettings::default());
    for other in 1..=open as u128 {
        guard.begin(once_call(&other.to_string(), b""), ClaimId(other), WallTime(1));
    }
    let now = MonotonicTime::from_millis(1);
    let body = [7; 256];
    move || {
        let claim_id = ClaimId(0);
        black_box(guard.begin(once_call("renewal-2026-000017", &body), claim_id, WallTime(1)));
        let step = guard.on_reply(claim_id, &TableReply::Committed, now);
        let Some(ClaimStep::Done(ClaimResult::Dispatch(ticket))) = step else { return };
        let DispatchVerdict::Run(run) = guard.dispatch(ticket, now) else { return };
        let answer = RunAnswer { status: 200, headers: Vec::new(), body: vec![7; 256] };
        guard.finish(run, answer, now);
        black_box(guard.next_task(now));
        guard.on_task_reply(claim_id, &TaskReply::Table(TableReply::Committed), now);
    }
}

fn once_call(key: &str, body: &[u8]) -> OnceCall {
    OnceCall {
        key: OnceKey {
            service: service_name(0),
            operation: operation_name(3),
            client_key: ClientKey::new(key),
        },
        body_digest: BodyDigest::of(body),
        retention: Duration::from_secs(86_400),
        deadline: MonotonicTime::from_millis(1_000),
    }
}

/// Writes and reads a request between nodes.
fn request(body: usize) -> impl FnMut() {
    let call = CallRequest {
        request: RequestId(7),
        service: service_name(0),
        operation: operation_name(0),
        importance: Importance::Normal,
        remaining: Duration::from_millis(900),
        account: Some(NodeId(NODE.into())),
        client: 7,
        team: None,
        under_way: true,
        is_repeat: false,
        is_retry: false,
        key: None,
        content_type: "application/json".to_owned(),
        head: None,
        body: vec![7; body].into(),
        revision: 1,
        known: None,
        age: Duration::from_millis(40),
        wants_load: false,
        stamp: HybridStamp::new(1_796_228_561_138, 1),
    };
    move || {
        let mut builder = Builder::new_default();
        call.write(builder.init_root::<call_request::Builder<'_>>());
        let bytes = serialize::write_message_to_words(&builder);
        let Ok(reader) = serialize::read_message(&bytes[..], Default::default()) else { return };
        let Ok(root) = reader.get_root::<call_request::Reader<'_>>() else { return };
        black_box(CallRequest::read(root).is_ok());
    }
}

/// Writes and reads an answer between nodes, with the levels of five services.
fn reply(body: usize) -> impl FnMut() {
    let answer = ReplyBody::Answer {
        status: 200,
        content_type: "application/json".to_owned(),
        headers: Vec::new(),
        body: vec![7; body].into(),
        replayed: false,
    };
    let levels = (0..5).map(|index| LevelNote {
        service: service_name(index),
        guard: NodeId(NODE.into()),
        level: ShedLevel::OPEN,
        rate_level: ShedLevel::OPEN,
    });
    let reply = CallReply {
        body: answer,
        outcome: CallOutcome::Completed,
        reached_upstream: true,
        failed_below: false,
        levels: levels.collect(),
        upstream_time: LATENCY,
        notice: None,
        occupancy: None,
        stamp: HybridStamp::new(1_796_228_561_138, 2),
    };
    move || {
        let mut builder = Builder::new_default();
        reply.write(builder.init_root::<call_reply::Builder<'_>>());
        let bytes = serialize::write_message_to_words(&builder);
        let Ok(reader) = serialize::read_message(&bytes[..], Default::default()) else { return };
        let Ok(root) = reader.get_root::<call_reply::Reader<'_>>() else { return };
        black_box(CallReply::read(root).is_ok());
    }
}
