//! Commands on a node: `status`, `drain`, `events`.

use super::report_value;
use crate::{
    client::{NodeClient, RpcAnswer},
    control_error::ControlError,
    exit_code::ExitCode,
    invocation::OutputFormat,
    output::{Report, one_line},
};
use http::Method;
use serde_json::{Value, json};

/// Shows a node's state.
pub async fn status(format: OutputFormat, client: &NodeClient) -> Result<Report, ControlError> {
    let answer = client.get("/status").await?;
    Ok(report_value(format, &answer.json()?))
}

/// Has a node leave.
pub async fn drain(format: OutputFormat, client: &NodeClient) -> Result<Report, ControlError> {
    let request = client.request(Method::POST, "/drain");
    let answer = client.send(request, String::new()).await?;
    // A node may answer with its state or with nothing.
    let value = answer.json().unwrap_or_else(|_| json!({ "state": "draining" }));
    Ok(report_value(format, &value))
}

/// Shows a node's last events: one line each, in JSON as the node gives them.
pub async fn events(format: OutputFormat, client: &NodeClient) -> Result<Report, ControlError> {
    let answer = client.get("/events").await?;
    let output = match format {
        OutputFormat::Json => answer.body,
        OutputFormat::Table => table_lines(&answer)?,
    };
    Ok(Report { output, complaint: String::new(), code: ExitCode::Done })
}

fn table_lines(answer: &RpcAnswer) -> Result<String, ControlError> {
    let mut text = String::new();
    for line in answer.body.lines().filter(|line| !line.is_empty()) {
        let event: Value =
            serde_json::from_str(line).map_err(|error| answer.malformed(&error.to_string()))?;
        text += &one_line(&event);
        text.push('\n');
    }
    Ok(text)
}
