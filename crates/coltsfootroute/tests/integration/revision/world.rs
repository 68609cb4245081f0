//! Simulated operators and nodes, with the messages in transit between them and the table service.

use super::fake_table::FakeTable;
use coltsfootroute::{
    name::OperatorName,
    revision::{
        ApplyOutcome, ConfigDelta, ConfigState, DeltaFault, HeadReader, HistoryReader, ReaderStep,
        Revision, RevisionRecord, StartGate, Submission, SubmissionKey, SubmissionRequest,
        SubmissionResult, SubmissionStep,
    },
    schema::SchemaDocument,
    table::{TableReply, TableRequest},
};
use indexmap::IndexMap;

/// Delivery of one request to the table service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    Delivered,
    /// Rejected and certainly not executed.
    Down,
    /// Executed, but the reply is lost.
    ReplyLost,
    /// Reported as uncertain; a write may arrive later.
    Delayed,
}

/// A submission with its next request and its result.
#[derive(Debug)]
pub struct Runner {
    pub request: SubmissionRequest,
    submission: Submission,
    pub next: Option<TableRequest>,
    /// Number of writes sent.
    pub writes: usize,
    pub result: Option<SubmissionResult>,
}

/// One incarnation of a node.
#[derive(Debug, Default)]
pub struct Node {
    pub state: ConfigState,
    pub gate: StartGate,
}

#[derive(Debug, Default)]
pub struct World {
    pub table: FakeTable,
    pub runners: IndexMap<String, Runner>,
    /// Delayed writes, which may arrive at any time.
    pub delayed: Vec<TableRequest>,
    pub nodes: IndexMap<String, Node>,
    pub deltas: IndexMap<String, ConfigDelta>,
}

/// Parses a document with one service per line: name and slots.
pub fn document(lines: &str) -> SchemaDocument {
    let service = |line: &str| {
        let (name, slots) = line.split_once(' ').expect("name and slots");
        format!("{{name: {name}, slots: {slots}, connections: 1, operations: []}}")
    };
    let services: Vec<_> = lines.lines().map(service).collect();
    let text = format!("deployment: test\nservices: [{}]\n", services.join(", "));
    SchemaDocument::from_yaml(&text).expect("valid")
}

pub fn submission_request(
    operator: &str,
    key: &str,
    expected: u64,
    lines: &str,
) -> SubmissionRequest {
    SubmissionRequest {
        expected: Revision(expected),
        operator: OperatorName::new(operator),
        key: SubmissionKey::new(key),
        document: document(lines),
        wall_ms: 1_000,
    }
}

impl World {
    pub fn submit(&mut self, name: &str, request: SubmissionRequest) {
        let mut submission = Submission::new(request.clone());
        let mut runner =
            Runner { request, submission: submission.clone(), next: None, writes: 0, result: None };
        let step = submission.start();
        runner.submission = submission;
        runner.follow(step);
        self.runners.insert(name.to_owned(), runner);
    }

    /// Sends one request of a submission; does nothing if the submission is done.
    pub fn step(&mut self, name: &str, delivery: Delivery) {
        let runner = &mut self.runners[name];
        let Some(request) = runner.next.take() else {
            return;
        };
        runner.writes += usize::from(matches!(request, TableRequest::Transact(_)));
        let reply = deliver(&mut self.table, &mut self.delayed, request, delivery);
        let step = runner.submission.handle_reply(reply);
        runner.follow(step);
    }

    pub fn run(&mut self, name: &str) {
        while self.runners[name].result.is_none() {
            self.step(name, Delivery::Delivered);
        }
    }

    /// Delivers all delayed writes.
    pub fn deliver_delayed(&mut self) -> Vec<TableReply> {
        let delayed = std::mem::take(&mut self.delayed);
        delayed.iter().map(|request| self.table.execute(request)).collect()
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.entry(name.to_owned()).or_default()
    }

    /// Lets a node read the newest configuration from the table service.
    pub fn load(&mut self, name: &str) -> Result<ApplyOutcome, DeltaFault> {
        let mut reader = HeadReader::new();
        let mut request = reader.start();
        let row = loop {
            match reader.handle_reply(&self.table.execute(&request)) {
                ReaderStep::Send(next) => request = next,
                ReaderStep::Done(row) => break row,
                other => panic!("{other:?}"),
            }
        };
        let node = self.node(name);
        let Some(row) = row else {
            return Ok(ApplyOutcome::AlreadyHeld);
        };
        node.gate.record_store_revision(row.record.revision);
        node.state.apply_document(&row.record, &row.document)
    }

    pub fn history(&mut self) -> Vec<RevisionRecord> {
        let mut reader = HistoryReader::new(Revision::ZERO, usize::MAX);
        let mut request = reader.start();
        loop {
            match reader.handle_reply(&self.table.execute(&request)) {
                ReaderStep::Send(next) => request = next,
                ReaderStep::Done(records) => return records,
                other => panic!("{other:?}"),
            }
        }
    }
}

impl Runner {
    fn follow(&mut self, step: SubmissionStep) {
        match step {
            SubmissionStep::Send(request) | SubmissionStep::SendLater(request) => {
                self.next = Some(request);
            }
            SubmissionStep::Done(result) => self.result = Some(result),
        }
    }
}

fn deliver(
    table: &mut FakeTable,
    delayed: &mut Vec<TableRequest>,
    request: TableRequest,
    delivery: Delivery,
) -> TableReply {
    match delivery {
        Delivery::Delivered => table.execute(&request),
        Delivery::Down => TableReply::Unavailable,
        Delivery::ReplyLost => {
            table.execute(&request);
            TableReply::Uncertain
        }
        Delivery::Delayed => {
            if matches!(request, TableRequest::Transact(_)) {
                delayed.push(request);
            }
            TableReply::Uncertain
        }
    }
}
