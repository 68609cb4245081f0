//! The commands.

mod key_digest;
mod node_commands;
mod schema_documents;
mod schema_history;
mod schema_submit;

use crate::{
    arguments::arguments,
    client::NodeClient,
    control_error::ControlError,
    exit_code::ExitCode,
    invocation::{Action, InputSource, Invocation, OutputFormat},
    output::Report,
};
use clap_complete::Shell;
use coltsfootroute::schema::SchemaDocument;
use std::{fs, net::SocketAddr};

pub use key_digest::digest_key;

/// Carries out one call of the command line.
///
/// # Errors
///
/// The command failed; the error gives the exit code.
pub fn run(invocation: &Invocation) -> Result<Report, ControlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|source| ControlError::File { path: "runtime".to_owned(), source })?;
    runtime.block_on(carry_out(invocation))
}

async fn carry_out(invocation: &Invocation) -> Result<Report, ControlError> {
    let format = invocation.format;
    let client = |node: SocketAddr| NodeClient::new(node, invocation.timeout);
    match &invocation.action {
        Action::Check(file) => schema_documents::check(format, file),
        Action::Submit(submit) => schema_submit::submit(format, &client(submit.node), submit).await,
        Action::Show(node) => schema_documents::show(format, &client(*node)).await,
        Action::History(history) => schema_history::history(invocation, history).await,
        Action::Diff(InputSource::File(old), new) => schema_documents::diff(format, old, new),
        Action::Diff(InputSource::Node(node), file) => {
            schema_documents::diff_with_node(format, &client(*node), file).await
        }
        Action::Status(node) => node_commands::status(format, &client(*node)).await,
        Action::Drain(node) => node_commands::drain(format, &client(*node)).await,
        Action::Events(node) => node_commands::events(format, &client(*node)).await,
        Action::DigestKey => key_digest::digest_key(format, std::io::stdin()),
        Action::Completions(shell) => Ok(completions(*shell)),
    }
}

fn completions(shell: Shell) -> Report {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut arguments(), "coltsfootctl", &mut script);
    let output = String::from_utf8_lossy(&script).into_owned();
    Report { output, complaint: String::new(), code: ExitCode::Done }
}

fn read_file(path: &str) -> Result<String, ControlError> {
    fs::read_to_string(path).map_err(|source| ControlError::File { path: path.to_owned(), source })
}

fn read_document(path: &str) -> Result<SchemaDocument, ControlError> {
    SchemaDocument::from_yaml(&read_file(path)?).map_err(ControlError::Schema)
}

/// A report of `value`, for people as the table of its members.
fn report_value(format: OutputFormat, value: &serde_json::Value) -> Report {
    Report::new(format, &crate::output::PlainTable::of_value(value).text(), value)
}
