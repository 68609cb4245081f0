//! What a command prints.

use crate::{
    control_error::ControlError,
    exit_code::ExitCode,
    invocation::{Invocation, OutputFormat},
};
use serde::Serialize;
use serde_json::json;

/// What a command prints and how it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// For standard output; ends with a line end if not empty.
    pub output: String,
    /// For standard error; ends with a line end if not empty.
    pub complaint: String,
    /// How the command ended.
    pub code: ExitCode,
}

impl Report {
    /// A report of success: `text` for people, `value` for programs.
    pub fn new(format: OutputFormat, text: &str, value: &impl Serialize) -> Self {
        let output = match format {
            OutputFormat::Table => ended(text),
            OutputFormat::Json => ended(&json_text(value)),
        };
        Self { output, complaint: String::new(), code: ExitCode::Done }
    }

    /// The report with another exit code.
    pub fn with_code(self, code: ExitCode) -> Self {
        Self { code, ..self }
    }

    /// A report of failure. In JSON the details go to standard output, for programs to read.
    pub fn of_error(invocation: &Invocation, error: &ControlError) -> Self {
        let output = match invocation.format {
            OutputFormat::Table => String::new(),
            OutputFormat::Json => ended(&json_text(&details(error))),
        };
        let mut complaint = ended(&error.to_string());
        if error.code() == ExitCode::Unavailable {
            complaint += "the command may have taken effect or not: repeat it unchanged\n";
        }
        Self { output, complaint, code: error.code() }
    }
}

fn details(error: &ControlError) -> serde_json::Value {
    match error {
        ControlError::Schema(errors) => json!(errors),
        ControlError::Conflict(body) => json!(body),
        ControlError::Refused { body, .. } => json!(body),
        other => json!({ "reason": other.to_string() }),
    }
}

fn json_text(value: &impl Serialize) -> String {
    // Bodies hold text, numbers and lists only, which always have a JSON form.
    serde_json::to_string_pretty(value).expect("a value with a JSON form")
}

/// `text` with a line end, unless it is empty or has one.
fn ended(text: &str) -> String {
    if text.is_empty() || text.ends_with('\n') { text.to_owned() } else { format!("{text}\n") }
}
