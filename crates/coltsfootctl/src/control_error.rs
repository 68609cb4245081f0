//! Errors of the command line.

use crate::exit_code::ExitCode;
use coltsfootroute::{
    revision::{ChainDigest, ConflictBody, FailureBody, HistoryFault},
    schema::SchemaErrors,
};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The schema is faulty.
    #[error("{0}")]
    Schema(SchemaErrors),
    /// Another submission came first.
    #[error("{}", conflict_text(.0))]
    Conflict(Box<ConflictBody>),
    /// The node refused, or can't do it now.
    #[error("the node answers {status}: {}", .body.reason)]
    Refused {
        /// HTTP status.
        status: u16,
        /// The node's answer.
        body: FailureBody,
    },
    /// The node can't be reached, or gives no whole answer in time.
    #[error("no answer from {node}: {reason}")]
    Unreachable {
        /// Address of the node.
        node: std::net::SocketAddr,
        /// Why.
        reason: String,
    },
    /// An answer or a file isn't what it should be.
    #[error("{what} isn't understood: {reason}")]
    Malformed {
        /// The answer or file.
        what: String,
        /// Why.
        reason: String,
    },
    /// No key was given, or none that can be one.
    #[error("expected a key of 1 to 4,096 bytes on standard input")]
    Key,
    /// The history can't be trusted.
    #[error("the history can't be trusted: {0}")]
    Untrusted(HistoryFault),
    /// The history lacks a record that an earlier audit saw.
    #[error("the history can't be trusted: it doesn't contain chain digest {0}")]
    Lacking(ChainDigest),
}

impl ControlError {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Schema(_) => ExitCode::Invalid,
            Self::Conflict(_) => ExitCode::Conflict,
            Self::Refused { status: 503, .. } | Self::Unreachable { .. } => ExitCode::Unavailable,
            Self::Untrusted(_) | Self::Lacking(_) => ExitCode::Untrusted,
            Self::File { .. } | Self::Refused { .. } | Self::Malformed { .. } | Self::Key => {
                ExitCode::Failed
            }
        }
    }
}

fn conflict_text(body: &ConflictBody) -> String {
    let mut text = format!("not accepted: {}", body.reason);
    if let Some(current) = &body.current {
        let (revision, operator) = (current.revision, &current.operator);
        text += &format!("\nthe newest revision is {revision}, submitted by {operator}");
    }
    if !body.diff.is_empty() {
        text += &format!("\nchanged since the revision expected:\n{}", body.diff);
    }
    text
}
