//! Commands on documents: `schema check`, `schema show`, `schema diff`.

use super::read_document;
use crate::{
    client::{NodeClient, RpcAnswer},
    control_error::ControlError,
    invocation::OutputFormat,
    output::Report,
};
use coltsfootroute::{
    revision::{ContentDigest, DocumentBody},
    schema::{SchemaDiff, SchemaDocument},
};
use serde_json::json;

/// Checks a schema file.
pub fn check(format: OutputFormat, file: &str) -> Result<Report, ControlError> {
    let document = read_document(file)?;
    let (services, teams) = (document.services.len(), document.teams.len());
    let content = ContentDigest::of_document(&document);
    let deployment = &document.deployment;
    let text = format!(
        "{file}: deployment {deployment}, {services} services, {teams} teams, digest {content}"
    );
    let value = json!({
        "deployment": deployment,
        "services": services,
        "teams": teams,
        "content": content,
    });
    Ok(Report::new(format, &text, &value))
}

/// Shows the configuration that a node has in force.
pub async fn show(format: OutputFormat, client: &NodeClient) -> Result<Report, ControlError> {
    let answer = client.get("/schema").await?;
    let revision = answer.revision()?;
    let document = parsed(&answer)?;
    let text = format!("# revision {revision}\n{}", answer.body);
    Ok(Report::new(format, &text, &DocumentBody { revision, document }))
}

/// Compares two schema files.
pub fn diff(format: OutputFormat, old: &str, new: &str) -> Result<Report, ControlError> {
    Ok(report_diff(format, &read_document(old)?, &read_document(new)?))
}

/// Compares the configuration that a node has in force with a schema file.
pub async fn diff_with_node(
    format: OutputFormat,
    client: &NodeClient,
    file: &str,
) -> Result<Report, ControlError> {
    let new = read_document(file)?;
    let old = parsed(&client.get("/schema").await?)?;
    Ok(report_diff(format, &old, &new))
}

fn report_diff(format: OutputFormat, old: &SchemaDocument, new: &SchemaDocument) -> Report {
    let diff = SchemaDiff::between(old, new);
    let text = if diff.is_empty() { "no difference".to_owned() } else { diff.to_string() };
    Report::new(format, &text, &diff)
}

fn parsed(answer: &RpcAnswer) -> Result<SchemaDocument, ControlError> {
    SchemaDocument::from_yaml(&answer.body).map_err(|errors| answer.malformed(&errors.to_string()))
}
