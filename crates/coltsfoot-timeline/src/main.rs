//! Command `coltsfoot-timeline`.

use std::process::ExitCode;

use coltsfoot_timeline::{args::TimelineArgs, run};

fn main() -> anyhow::Result<ExitCode> {
    let matches = TimelineArgs::command().get_matches();
    let args = TimelineArgs::from_matches(&matches);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let stdout = std::io::stdout().lock();
    let status = runtime.block_on(run(&args, stdout, std::io::stderr()))?;
    Ok(ExitCode::from(status.exit_code()))
}
