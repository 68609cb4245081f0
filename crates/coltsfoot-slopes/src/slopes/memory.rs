//! Heap of each kind of state.

use std::time::Duration;

use coltsfoot_wire::gossip::{decode, encode};
use coltsfootroute::{
    admission::{ServiceLevels, ShedLevel},
    id::{Incarnation, NodeId, RequestId},
    membership::{
        GossipMessage, GossipPayload, GossipSettings, GroupView, MemberRecord, MemberUpdate,
        SeedTable,
    },
    name::{DomainName, OperatorName, RegionName, ServiceName},
    once::{BodyDigest, ClaimHolder, ClaimId, ClientKey, OnceCall, OnceGuard, OnceKey},
    once::{OnceSettings, WallTime},
    retry::{AccountLedger, LedgerSettings},
    revision::SubmissionKey,
    revision::{ChainDigest, ConfigState, ContentDigest, Revision, RevisionDraft, RevisionRecord},
    routing::{RoutingSettings, UpstreamInfo, UpstreamPool},
    schema::SchemaDocument,
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::gossip::GROUP;
use crate::{
    heap_meter::metered,
    mesh::service_name,
    report::MeasuredSlope,
    sample_schema::{operation_name, sample_schema},
};

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);
const DEADLINE: MonotonicTime = MonotonicTime::from_millis(60_000);
const SEEDS: usize = 3;

/// All kinds.
pub fn all() -> anyhow::Result<Vec<MeasuredSlope>> {
    Ok(vec![
        measured(
            "memory-members",
            "members of one group",
            [500, 1_000, 2_000, 4_000, 8_000],
            group,
        ),
        measured("memory-groups", "groups of 37 members", [10, 50, 100, 245, 490], groups),
        measured("memory-seeds", "services with 3 entry points", [100, 245, 490, 980], seeds),
        measured("memory-config", "services of the schema", [60, 120, 245, 490, 1_000], config),
        measured("memory-accounts", "open retry accounts", [500, 1_000, 2_000, 4_000], accounts),
        measured("memory-claims", "open claims", [500, 1_000, 2_000, 4_000], claims),
        measured("memory-pool", "upstreams of one pool", [37, 370, 1_000, 4_000], pool),
        measured("memory-levels", "guards of 37 a service", [370, 1_850, 3_700, 18_130], levels),
    ])
}

fn measured<T, const N: usize>(
    name: &str,
    x_label: &str,
    sizes: [usize; N],
    build: impl Fn(usize) -> T,
) -> MeasuredSlope {
    let mut slope = MeasuredSlope::new(name, x_label, "bytes of heap");
    for size in sizes {
        let (_held, heap) = metered(|| build(size));
        slope.push(size as f64, heap.kept_bytes as f64);
    }
    slope
}

fn node_id(index: usize) -> NodeId {
    let [a, b, c, d] = (0x0a00_0001 + index as u32).to_be_bytes();
    NodeId(([a, b, c, d], 7_000).into())
}

/// Updates as they come from the wire: names are shared within a datagram only.
fn received(service: &ServiceName, count: usize) -> impl Iterator<Item = MemberUpdate> {
    let updates = (0..count).map(move |index| {
        let domain = DomainName::new(&format!("domain-{}", index % 23));
        let region = RegionName::new(&format!("region-{}", index % 6));
        let record = MemberRecord::new(node_id(index), Incarnation(1 << 50), domain, region);
        MemberUpdate::new(MemberRecord { service: Some(service.clone()), ..record })
    });
    let mut updates = updates.peekable();
    std::iter::from_fn(move || {
        updates.peek()?;
        let mut message = GossipMessage::new(1, GossipPayload::Push);
        message.updates = updates.by_ref().take(8).collect();
        let datagram = encode(&message).ok()?;
        Some(decode(&datagram).ok()?.updates)
    })
    .flatten()
}

fn group_of(service: &ServiceName, size: usize) -> GroupView {
    let settings = GossipSettings::new();
    let mut group = GroupView::new(settings.max_members, settings.tombstone_retention);
    for update in received(service, size) {
        group.merge(NOW, update, true);
    }
    group
}

fn group(size: usize) -> GroupView {
    group_of(&service_name(0), size)
}

fn groups(count: usize) -> Vec<GroupView> {
    (0..count).map(|index| group_of(&service_name(index), GROUP)).collect()
}

fn seeds(services: usize) -> SeedTable {
    let settings = GossipSettings::new();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut seeds = SeedTable::new(SEEDS, settings.max_seed_services, settings.seed_max_age);
    for index in 0..services {
        for update in received(&service_name(index), SEEDS) {
            seeds.offer(NOW, &mut rng, update);
        }
    }
    seeds
}

/// What the node keeps of a configuration: entries and the document built from them.
fn config(services: usize) -> (ConfigState, SchemaDocument) {
    let state = config_state(&sample_schema(services));
    let document = state.document();
    (state, document)
}

/// The state of a node that has `document` in force as revision 1.
pub fn config_state(document: &SchemaDocument) -> ConfigState {
    let draft = RevisionDraft {
        content: ContentDigest::of_document(document),
        operator: OperatorName::new("slopes"),
        wall_ms: 0,
        key: SubmissionKey::new("key"),
        changed: Vec::new(),
    };
    let record = RevisionRecord::new(Revision::ZERO, ChainDigest::ROOT, draft);
    let mut state = ConfigState::new();
    let applied = state.apply_document(&record, document);
    debug_assert!(applied.is_ok(), "the record is that of the document");
    state
}

fn accounts(count: usize) -> AccountLedger {
    let mut ledger = AccountLedger::new(LedgerSettings::default());
    for request in 0..count as u128 {
        ledger.open(NOW, RequestId(request), 3, DEADLINE);
    }
    ledger
}

fn claims(count: usize) -> OnceGuard {
    let holder = ClaimHolder { node: node_id(0), incarnation: Incarnation(1) };
    let mut guard = OnceGuard::new(holder, OnceSettings::default());
    for claim in 0..count as u128 {
        guard.begin(once_call(claim), ClaimId(claim), WallTime(1));
    }
    guard
}

/// A call with a key of 36 characters.
fn once_call(number: u128) -> OnceCall {
    OnceCall {
        key: OnceKey {
            service: service_name(0),
            operation: operation_name(3),
            client_key: ClientKey::new(&format!("{number:036}")),
        },
        body_digest: BodyDigest::of(b"body"),
        retention: Duration::from_secs(86_400),
        deadline: DEADLINE,
    }
}

/// An upstream of the service with number 0.
pub fn upstream_info(index: usize) -> UpstreamInfo {
    UpstreamInfo {
        node: node_id(index),
        incarnation: Incarnation(1),
        domain: DomainName::new(&format!("domain-{}", index % 23)),
        region: RegionName::new(&format!("region-{}", index % 6)),
        slots: 120,
        connections: 800,
        leaving: false,
        suspect: false,
    }
}

/// A pool that has been called from all sides.
pub fn pool(size: usize) -> UpstreamPool {
    let settings = RoutingSettings::default().with_callers(GROUP as u32);
    let (domain, region) = (DomainName::new("domain-0"), RegionName::new("region-0"));
    let mut pool = UpstreamPool::new(domain, region, settings);
    pool.update(NOW, (0..size).map(upstream_info));
    pool
}

/// Levels of as many guards, 37 a service, none of which sheds.
pub fn levels(guards: usize) -> ServiceLevels {
    let mut levels = ServiceLevels::new();
    for guard in 0..guards {
        levels.observe(NOW, &service_name(guard / GROUP), node_id(guard), ShedLevel::OPEN);
    }
    levels
}
