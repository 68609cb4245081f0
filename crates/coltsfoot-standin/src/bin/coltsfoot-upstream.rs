//! Plays one upstream of a deployment.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
    path::PathBuf,
    sync::mpsc,
    thread,
    time::Duration,
};

use clap::{ArgMatches, Command, value_parser};
use coltsfoot_standin::{
    arguments::{option, read_schema, schema_option, take},
    termination::wait_for_termination,
    upstream::{UpstreamHandle, UpstreamServer, UpstreamSettings},
};
use coltsfootroute::name::ServiceName;

/// How often it is looked whether a call has ended the upstream.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

fn main() -> anyhow::Result<()> {
    let arguments = command().get_matches();
    let handle = UpstreamServer::start(read_settings(&arguments)?)?;
    writeln!(stdout(), "event=listening address={}", handle.address())?;
    wait_for_end(&handle)?;
    let counts = handle.stop();
    writeln!(
        stdout(),
        "event=stopped runs={} running={} cancelled={} runs_after_leave={} double_runs={}",
        counts.runs,
        counts.running,
        counts.cancelled,
        counts.runs_after_leave,
        counts.double_run_keys
    )?;
    Ok(())
}

/// Waits until the process is told to stop.
///
/// # Errors
///
/// If a call has ended the upstream first, or signals can't be taken.
fn wait_for_end(handle: &UpstreamHandle) -> anyhow::Result<()> {
    let (sender, stopped) = mpsc::channel();
    // Nobody receives once a call has ended the upstream.
    thread::spawn(move || drop(sender.send(wait_for_termination())));
    loop {
        match stopped.recv_timeout(LOOK_PERIOD) {
            Ok(signalled) => return Ok(signalled?),
            Err(_) if handle.has_ended() => anyhow::bail!("a call has ended the upstream"),
            Err(_) => {}
        }
    }
}

fn command() -> Command {
    Command::new("coltsfoot-upstream")
        .about("Plays one upstream of a deployment")
        .arg(option("service", "Service to play").required(true))
        .arg(schema_option())
        .arg(
            option("node", "Host listener of the upstream's own node")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("listen", "Address to listen on")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("service-time-ms", "Mean service time")
                .default_value("20")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("slots", "Runs at once, instead of the schema's")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            option("max-waiting", "Calls that wait for a slot before it sheds")
                .default_value("1000")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("cold-start-ms", "Time after the start in which runs are slower")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("cold-factor", "Factor on the service time during the cold start")
                .default_value("4")
                .value_parser(value_parser!(f64)),
        )
        .arg(option("ends-on", "Text in a call's body that ends the process once it runs"))
        .arg(
            option("run-log", "File that gets a line for each non-repeatable run")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option("seed", "Seed of all random choices")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
}

fn read_settings(arguments: &ArgMatches) -> anyhow::Result<UpstreamSettings> {
    let service: &String = take(arguments, "service")?;
    let schema = read_schema(arguments)?;
    let mut settings = UpstreamSettings::new(ServiceName::new(service), schema);
    settings.node = arguments.get_one("node").copied();
    settings.listen = *take(arguments, "listen")?;
    settings.service_time =
        Duration::from_secs_f64(*take::<f64>(arguments, "service-time-ms")? / 1000.0);
    settings.slots = arguments.get_one("slots").copied();
    settings.max_waiting = *take(arguments, "max-waiting")?;
    settings.cold_start = Duration::from_millis(*take(arguments, "cold-start-ms")?);
    settings.cold_factor = *take(arguments, "cold-factor")?;
    settings.seed = *take(arguments, "seed")?;
    settings.ends_on = arguments.get_one("ends-on").cloned();
    settings.run_log = arguments.get_one("run-log").cloned();
    Ok(settings)
}
