//! Daemon of an upstream host.

use std::process::ExitCode;

fn main() -> ExitCode {
    coltsfoot_node::run::<coltsfoot_node::DefaultLaunch>()
}
