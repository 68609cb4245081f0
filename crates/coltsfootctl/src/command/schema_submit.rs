//! Command `schema submit`.

use super::{read_document, read_file};
use crate::{
    client::NodeClient,
    control_error::ControlError,
    invocation::{OutputFormat, SubmitAction},
    output::{Report, shown_time},
};
use coltsfootroute::{
    constants::IDEMPOTENCY_KEY_HEADER,
    revision::{ContentDigest, OPERATOR_HEADER, RevisionRecord, SubmissionKey},
    schema::SchemaDocument,
};
use http::{Method, header::IF_MATCH};

/// Hexadecimal digits of the document's digest in a derived key.
const DERIVED_KEY_DIGITS: usize = 16;

/// Submits a schema file; checks it first, so that most faults need no node.
pub async fn submit(
    format: OutputFormat,
    client: &NodeClient,
    action: &SubmitAction,
) -> Result<Report, ControlError> {
    let document = read_document(&action.file)?;
    let key = action.key.clone().unwrap_or_else(|| derived_key(action, &document));
    let request = client
        .request(Method::PUT, "/schema")
        .header(IF_MATCH, action.expected.to_string())
        .header(IDEMPOTENCY_KEY_HEADER, key.as_str())
        .header(OPERATOR_HEADER, action.operator.as_str());
    let answer = client.send(request, read_file(&action.file)?).await?;
    let record: RevisionRecord = answer.json()?;
    Ok(Report::new(format, &accepted_text(&record), &record))
}

/// The same for the same operator, expected revision and document, so that a repeated command is the same
/// submission.
fn derived_key(action: &SubmitAction, document: &SchemaDocument) -> SubmissionKey {
    let digest = ContentDigest::of_document(document).to_string();
    let digits = &digest[..DERIVED_KEY_DIGITS];
    SubmissionKey::new(&format!("{}-{}-{digits}", action.operator, action.expected))
}

fn accepted_text(record: &RevisionRecord) -> String {
    let changed: Vec<_> = record.changed.iter().map(|name| name.as_str()).collect();
    format!(
        "accepted as revision {} at {}\nchanged: {}\nchain: {}",
        record.revision,
        shown_time(record.wall_ms),
        changed.join(" "),
        record.chain
    )
}
