//! One call of the command line.

mod action;
mod history_action;
mod input_source;
mod output_format;
mod submit_action;

pub use action::Action;
pub use history_action::HistoryAction;
pub use input_source::InputSource;
pub use output_format::OutputFormat;
pub use submit_action::SubmitAction;

use clap::ArgMatches;
use std::time::Duration;

/// One call of the command line.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// What to do.
    pub action: Action,
    /// Form of the output.
    pub format: OutputFormat,
    /// Longest wait for a node's answer.
    pub timeout: Duration,
}

impl Invocation {
    /// Reads what `clap` has checked against [`arguments`](crate::arguments).
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let format = match text(matches, "output").as_str() {
            "json" => OutputFormat::Json,
            _ => OutputFormat::Table,
        };
        let timeout = Duration::from_millis(required(matches, "timeout-ms"));
        Self { action: Action::from_matches(matches), format, timeout }
    }
}

fn text(matches: &ArgMatches, name: &str) -> String {
    required(matches, name)
}

/// A value that `clap` has checked to be there.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("clap requires the argument")
}
