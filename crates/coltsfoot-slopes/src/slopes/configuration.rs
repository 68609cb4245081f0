//! Bytes and processor time of a configuration change.

use std::hint::black_box;

use anyhow::{Context as _, bail};
use coltsfootroute::{
    name::OperatorName,
    revision::{
        ConfigState, Revision, RevisionRecord, Submission, SubmissionKey, SubmissionRequest,
        SubmissionResult, SubmissionStep,
    },
    schema::SchemaDocument,
    table::{MemoryTable, TableReply, TableRequest},
};

use crate::{
    processor_clock::mean_micros,
    report::MeasuredSlope,
    sample_schema::{changed_schema, sample_schema},
};

const SCHEMA_SIZES: [usize; 6] = [10, 60, 120, 245, 490, 1_000];
const SERVICES: usize = 490;

/// What one submission did to the table service.
struct Accepted {
    record: RevisionRecord,
    written_bytes: usize,
    read_bytes: usize,
}

/// A chain of revisions in a table of its own.
struct SampleHistory {
    table: MemoryTable,
    revision: Revision,
}

impl SampleHistory {
    fn new() -> Self {
        Self { table: MemoryTable::default(), revision: Revision::ZERO }
    }

    fn submit(&mut self, document: &SchemaDocument) -> anyhow::Result<Accepted> {
        let mut submission = Submission::new(SubmissionRequest {
            expected: self.revision,
            operator: OperatorName::new("slopes"),
            key: SubmissionKey::new(&format!("key-{}", self.revision.0)),
            document: document.clone(),
            wall_ms: 1_796_000_000_000,
        });
        let (mut written_bytes, mut read_bytes) = (0, 0);
        let mut step = submission.start();
        loop {
            let request = match step {
                SubmissionStep::Send(request) | SubmissionStep::SendLater(request) => request,
                SubmissionStep::Done(SubmissionResult::Accepted(record)) => {
                    self.revision = record.revision;
                    return Ok(Accepted { record, written_bytes, read_bytes });
                }
                SubmissionStep::Done(other) => bail!("not accepted: {other:?}"),
            };
            if let TableRequest::Transact(writes) = &request {
                let values = writes.iter().filter_map(|write| write.value.as_ref());
                written_bytes += values.map(String::len).sum::<usize>();
            }
            let reply = self.table.apply(&request);
            if let TableReply::Rows(rows) = &reply {
                read_bytes += rows.iter().map(|row| row.value.len()).sum::<usize>();
            }
            step = submission.handle_reply(reply);
        }
    }
}

/// Against the number of services; one of them changes.
pub fn by_schema() -> anyhow::Result<Vec<MeasuredSlope>> {
    let x = "services of the schema";
    let mut text = MeasuredSlope::new("config-schema-yaml", x, "bytes of the YAML submitted");
    let mut written = MeasuredSlope::new("config-schema-written", x, "bytes a change writes");
    let mut read = MeasuredSlope::new("config-schema-read", x, "bytes a change reads");
    let mut snapshot = MeasuredSlope::new("config-schema-snapshot", x, "bytes of a full snapshot");
    let mut delta = MeasuredSlope::new("config-schema-delta", x, "bytes of a delta of 1 service");
    let mut apply = MeasuredSlope::new("config-schema-apply", x, "processor us to apply a delta");
    let mut parse = MeasuredSlope::new("config-schema-parse", x, "processor us to parse YAML");
    for services in SCHEMA_SIZES {
        let count = services as f64;
        let sample = sample_change(services, 1)?;
        let yaml = sample.document.to_yaml();
        text.push(count, yaml.len() as f64);
        written.push(count, sample.accepted.written_bytes as f64);
        read.push(count, sample.accepted.read_bytes as f64);
        let whole = sample.newer.delta_since(Revision::ZERO).context("a snapshot")?;
        snapshot.push(count, serde_json::to_vec(&whole)?.len() as f64);
        delta.push(count, sample.delta.len() as f64);
        apply.push(count, sample.apply_micros()?);
        parse.push(count, mean_micros(|| drop(black_box(SchemaDocument::from_yaml(&yaml))))?);
    }
    Ok(vec![text, written, read, snapshot, delta, apply, parse])
}

/// Against the number of services that one change touches, of 490.
pub fn by_changed() -> anyhow::Result<Vec<MeasuredSlope>> {
    let x = "services changed, of 490";
    let mut delta = MeasuredSlope::new("config-changed-delta", x, "bytes of the delta");
    let mut apply = MeasuredSlope::new("config-changed-apply", x, "processor us to apply it");
    for changed in [1, 5, 20, 100, SERVICES] {
        let sample = sample_change(SERVICES, changed)?;
        delta.push(changed as f64, sample.delta.len() as f64);
        apply.push(changed as f64, sample.apply_micros()?);
    }
    Ok(vec![delta, apply])
}

/// One change, before and after.
struct SampleChange {
    document: SchemaDocument,
    accepted: Accepted,
    older: ConfigState,
    newer: ConfigState,
    delta: Vec<u8>,
}

fn sample_change(services: usize, changed: usize) -> anyhow::Result<SampleChange> {
    let mut history = SampleHistory::new();
    let document = sample_schema(services);
    let mut older = ConfigState::new();
    older.apply_document(&history.submit(&document)?.record, &document)?;
    let document = changed_schema(&document, changed);
    let accepted = history.submit(&document)?;
    let mut newer = older.clone();
    newer.apply_document(&accepted.record, &document)?;
    let delta = newer.delta_since(older.revision()).context("a delta")?;
    let delta = serde_json::to_vec(&delta)?;
    Ok(SampleChange { document, accepted, older, newer, delta })
}

impl SampleChange {
    /// Decodes and applies the delta, and builds the document as the node does.
    fn apply_micros(&self) -> anyhow::Result<f64> {
        let mean = mean_micros(|| {
            let mut state = self.older.clone();
            let delta = serde_json::from_slice(&self.delta);
            let applied = delta.map(|delta| state.apply_delta(&delta).is_ok());
            black_box((applied.is_ok(), state.document()));
        })?;
        Ok(mean)
    }
}
