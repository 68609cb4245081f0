//! Command `schema history`.

use super::read_file;
use crate::{
    client::NodeClient,
    control_error::ControlError,
    exit_code::ExitCode,
    invocation::{HistoryAction, InputSource, Invocation},
    output::{PlainTable, Report, shown_time},
};
use coltsfootroute::revision::{ChainDigest, Revision, RevisionRecord, verify_segment};

/// Shows a history, and verifies it if asked to.
pub async fn history(
    invocation: &Invocation,
    action: &HistoryAction,
) -> Result<Report, ControlError> {
    let records = read_records(invocation, &action.source).await?;
    let text = table_of(&records).text();
    if !action.verify {
        return Ok(Report::new(invocation.format, &text, &records));
    }
    verify(&records, action.ends_with)?;
    let is_whole = records.first().is_none_or(|first| first.revision == Revision::ZERO.next());
    let code = if is_whole { ExitCode::Done } else { ExitCode::PartlyVerified };
    let text = text + &verdict(&records, is_whole);
    Ok(Report::new(invocation.format, &text, &records).with_code(code))
}

async fn read_records(
    invocation: &Invocation,
    source: &InputSource,
) -> Result<Vec<RevisionRecord>, ControlError> {
    match source {
        InputSource::Node(node) => {
            NodeClient::new(*node, invocation.timeout).get("/schema/history").await?.json()
        }
        InputSource::File(path) => serde_json::from_str(&read_file(path)?).map_err(|error| {
            ControlError::Malformed { what: path.clone(), reason: error.to_string() }
        }),
    }
}

/// Checks the records against one another, and the last against `ends_with`.
fn verify(records: &[RevisionRecord], ends_with: Option<ChainDigest>) -> Result<(), ControlError> {
    if let Some(first) = records.first() {
        // What comes before a later first record isn't at hand: its own word for its parent is taken.
        let before = Revision(first.revision.0.saturating_sub(1));
        let is_first = before == Revision::ZERO;
        let anchor = if is_first { ChainDigest::ROOT } else { first.parent };
        verify_segment(before, anchor, records).map_err(ControlError::Untrusted)?;
    }
    let end = records.last().map_or(ChainDigest::ROOT, |last| last.chain);
    match ends_with {
        Some(expected) if expected != end => {
            Err(ControlError::OtherEnd { found: end.to_string(), expected: expected.to_string() })
        }
        _ => Ok(()),
    }
}

fn verdict(records: &[RevisionRecord], is_whole: bool) -> String {
    let [first, .., last] = records else {
        return format!("verified: {} records\n", records.len());
    };
    let (first, last) = (first.revision, last.revision);
    let note = if is_whole { "" } else { "; the records before them aren't at hand" };
    format!("verified: revisions {first} to {last}{note}\n")
}

fn table_of(records: &[RevisionRecord]) -> PlainTable {
    let mut table =
        PlainTable::new(&["REVISION", "TIME", "OPERATOR", "KEY", "CHANGED", "CONTENT", "CHAIN"]);
    for record in records {
        let changed: Vec<_> = record.changed.iter().map(|name| name.as_str()).collect();
        table.push(vec![
            record.revision.to_string(),
            shown_time(record.wall_ms),
            record.operator.to_string(),
            record.key.to_string(),
            changed.join(","),
            record.content.to_string(),
            record.chain.to_string(),
        ]);
    }
    table
}
