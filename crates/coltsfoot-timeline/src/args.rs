//! The command line.

mod output_format;
mod time_value;
mod timeline_args;

pub use output_format::OutputFormat;
pub use time_value::{MalformedTime, parse_time};
pub use timeline_args::TimelineArgs;
