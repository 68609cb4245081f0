//! Cost of the configuration at the size planned for: 490 services.
//!
//! Prints the bytes of a delta and of a snapshot besides, as JSON.
#![expect(clippy::print_stderr, reason = "sizes are part of a benchmark's output")]

use coltsfootroute::{
    name::{OperatorName, ServiceName},
    revision::{
        ChainDigest, ConfigState, ContentDigest, RevisionDraft, RevisionRecord, SubmissionKey,
    },
    schema::SchemaDocument,
};
use criterion::{Criterion, criterion_group, criterion_main};
use std::{fmt::Write, hint::black_box};

const SIZES: [usize; 4] = [62, 123, 245, 490];
const OPERATIONS: usize = 8;
/// Services called by each, so that chains are 28 calls deep.
const CHAIN: usize = 28;

fn document(services: usize) -> SchemaDocument {
    let mut text = String::from("deployment: bench\nservices:\n");
    for service in 0..services {
        let _ = writeln!(
            text,
            "- name: service-{service}\n  slots: 120\n  connections: 800\n  operations:"
        );
        for operation in 0..OPERATIONS {
            let client = "{importance: normal, deadline_ms: 1500, retry_budget: 2}";
            let _ = write!(text, "  - {{name: operation-{operation}, client: {client}, calls: [");
            if service % CHAIN != CHAIN - 1 && service + 1 < services {
                let callee = service + 1;
                let _ =
                    write!(text, "{{service: service-{callee}, operation: operation-{operation}}}");
            }
            text.push_str("]}\n");
        }
    }
    SchemaDocument::from_yaml(&text).expect("valid")
}

fn record(parent: Option<&RevisionRecord>, document: &SchemaDocument) -> RevisionRecord {
    let draft = RevisionDraft {
        content: ContentDigest::of_document(document),
        operator: OperatorName::new("bench"),
        wall_ms: 0,
        key: SubmissionKey::new("bench"),
        changed: vec![ServiceName::new("service-7")],
    };
    let chain = parent.map_or(ChainDigest::ROOT, |record| record.chain);
    RevisionRecord::new(parent.map(|record| record.revision).unwrap_or_default(), chain, draft)
}

/// The state at revision 1, and at revision 2 where one service has changed.
fn states(services: usize) -> (ConfigState, ConfigState) {
    let mut document = document(services);
    let mut before = ConfigState::new();
    before.apply_document(&record(None, &document), &document).expect("the first");
    document.services[7].slots += 1;
    let mut after = before.clone();
    after.apply_document(&record(before.record(), &document), &document).expect("the next");
    (before, after)
}

fn configuration(criterion: &mut Criterion) {
    for services in SIZES {
        let (before, after) = states(services);
        let delta = after.delta_since(before.revision()).expect("newer");
        let snapshot = after.delta_since(Default::default()).expect("newer");
        let bytes = |delta| serde_json::to_vec(delta).expect("JSON").len();
        eprintln!(
            "services={services} delta_bytes={} snapshot_bytes={}",
            bytes(&delta),
            bytes(&snapshot)
        );
        let text = after.document().to_yaml();
        let mut group = criterion.benchmark_group(format!("configuration/{services}"));
        group.bench_function("apply_delta", |bencher| {
            bencher.iter(|| black_box(before.clone()).apply_delta(&delta).expect("it fits"));
        });
        group.bench_function("apply_snapshot", |bencher| {
            bencher.iter(|| ConfigState::new().apply_delta(black_box(&snapshot)).expect("it fits"));
        });
        group.bench_function("delta_since", |bencher| {
            bencher.iter(|| black_box(&after).delta_since(before.revision()));
        });
        group.bench_function("from_yaml", |bencher| {
            bencher.iter(|| SchemaDocument::from_yaml(black_box(&text)).expect("valid"));
        });
        group.finish();
    }
}

criterion_group!(benches, configuration);
criterion_main!(benches);
