//! The operators' command line over the RPCs of a node.
//!
//! [`arguments`] describes the command line, [`Invocation`] is one call of it, [`run`] carries it out and
//! gives a [`Report`] to print and an [`ExitCode`].

mod arguments;
mod client;
mod command;
mod control_error;
mod exit_code;
mod invocation;
mod output;

pub use arguments::arguments;
pub use command::{digest_key, run};
pub use control_error::ControlError;
pub use exit_code::ExitCode;
pub use invocation::{Action, HistoryAction, InputSource, Invocation, OutputFormat, SubmitAction};
pub use output::Report;
