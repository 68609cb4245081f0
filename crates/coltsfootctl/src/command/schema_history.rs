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
    verify(&records)?;
    let parent = records.first().map_or(ChainDigest::ROOT, |first| first.parent);
    if let Some(digest) = action.contains
        && digest != parent
        && !records.iter().any(|record| record.chain == digest)
    {
        return Err(ControlError::Lacking(digest));
    }
    let is_whole = records.first().is_none_or(|first| first.revision == Revision::ZERO.next());
    let is_anchored = is_whole || action.contains == Some(parent);
    let code = if is_anchored { ExitCode::Done } else { ExitCode::PartlyVerified };
    let text = text + &verdict(&records, is_anchored);
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

/// Checks the records against one another.
fn verify(records: &[RevisionRecord]) -> Result<(), ControlError> {
    let Some(first) = records.first() else {
        return Ok(());
    };
    let before = Revision(first.revision.0.saturating_sub(1));
    // What comes before a later first record isn't at hand: its own word for its parent is taken.
    let is_first = before == Revision::ZERO;
    let parent = if is_first { ChainDigest::ROOT } else { first.parent };
    verify_segment(before, parent, records).map_err(ControlError::Untrusted)
}

fn verdict(records: &[RevisionRecord], is_anchored: bool) -> String {
    let (Some(first), Some(last)) = (records.first(), records.last()) else {
        return "verified: no records\n".to_owned();
    };
    let (first, last) = (first.revision, last.revision);
    let note = if is_anchored { "" } else { "; the records before them aren't at hand" };
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
