//! Drives an open-loop load against the client listeners of nodes, or directly against upstreams.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
    path::PathBuf,
    thread,
    time::Duration,
};

use anyhow::{Context, anyhow};
use clap::{ArgAction, ArgMatches, Command, value_parser};
use coltsfoot_standin::{
    arguments::{option, read_schema, schema_option, take, take_all},
    load::{
        ArrivalKind, ArrivalWindow, IntervalRecord, LoadReport, LoadRunner, LoadSettings,
        OfferedOperation, ProbeSettings, RetryPolicy, SurgeWindow,
    },
    termination::wait_for_termination,
};
use coltsfootroute::schema::SchemaDocument;
use tokio::{runtime::Builder, sync::watch};

fn main() -> anyhow::Result<()> {
    let arguments = command().get_matches();
    let runner = LoadRunner::new(read_settings(&arguments)?)?;
    let (stop_sender, stop) = watch::channel(false);
    thread::spawn(move || {
        if wait_for_termination().is_ok() {
            let _ = stop_sender.send(true);
            // The runner ends once it has its last answers; the sender lives till then.
            thread::park();
        }
    });
    let runtime = Builder::new_current_thread().enable_all().build()?;
    writeln!(stdout(), "{{\"event\":\"started\"}}")?;
    let report = runtime.block_on(runner.run(print_record, stop));
    print_report(&report)
}

fn print_record(record: &IntervalRecord) {
    if let Ok(line) = serde_json::to_string(record) {
        // Whoever closed the output does not want the series; the run goes on.
        let _ = writeln!(stdout(), "{line}");
    }
}

fn print_report(report: &LoadReport) -> anyhow::Result<()> {
    writeln!(stdout(), "{}", serde_json::to_string(report)?)?;
    Ok(())
}

fn command() -> Command {
    Command::new("coltsfoot-load")
        .about("Drives an open-loop load; prints JSON lines, the summary last")
        .arg(schema_option())
        .arg(
            option("target", "Client listener; may be given several times")
                .action(ArgAction::Append)
                .required_unless_present("direct")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("direct", "Upstream called instead of nodes; may be given several times")
                .action(ArgAction::Append)
                .conflicts_with("target")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("rate", "SERVICE/OPERATION=REQUESTS_PER_S; may be given several times")
                .action(ArgAction::Append)
                .required(true),
        )
        .arg(
            option("duration-s", "How long requests become due")
                .default_value("10")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("arrivals", "poisson, mixed or correlated")
                .default_value("poisson")
                .value_parser(value_parser!(ArrivalKind)),
        )
        .arg(
            option("burst-length", "Mean arrivals between changes of state, correlated only")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(
            option("arrival-window", "BEGIN_MS:END_MS; outside of it arrivals are Poisson")
                .value_parser(value_parser!(ArrivalWindow)),
        )
        .arg(
            option("focus", "BEGIN_MS:END_MS; the report counts what was due then apart")
                .value_parser(value_parser!(ArrivalWindow)),
        )
        .arg(
            option("surge", "BEGIN_MS:END_MS:FACTOR[:SERVICE/OPERATION]; several possible")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SurgeWindow)),
        )
        .arg(
            option("retries", "Retries of a client after a failure, at once")
                .default_value("0")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            option("respect-retry-after", "Clients wait as long as they are told")
                .action(ArgAction::SetTrue),
        )
        .arg(
            option("max-in-flight", "Requests under way at once")
                .default_value("3000")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("interval-ms", "Length of a record of the time series")
                .default_value("1000")
                .value_parser(value_parser!(u64).range(10..)),
        )
        .arg(option("probe", "SERVICE/OPERATION sent in pairs, through a node and directly"))
        .arg(
            option("probe-direct", "Upstream of the probe; may be given several times")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("probe-rate", "Pairs a second")
                .default_value("50")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("key-log", "File that gets the outcome of each idempotency key")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option("seed", "Seed of all random choices")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
}

fn read_settings(arguments: &ArgMatches) -> anyhow::Result<LoadSettings> {
    let schema = read_schema(arguments)?;
    let rates: Vec<String> = take_all(arguments, "rate");
    let operations =
        rates.iter().map(|rate| read_rate(&schema, rate)).collect::<anyhow::Result<Vec<_>>>()?;
    let mut targets = take_all(arguments, "target");
    targets.extend(take_all::<SocketAddr>(arguments, "direct"));
    let duration = Duration::from_secs_f64(*take(arguments, "duration-s")?);
    let mut settings = LoadSettings::new(targets, operations, duration, *take(arguments, "seed")?);
    settings.arrivals = read_arrivals(arguments)?;
    settings.arrival_window = arguments.get_one("arrival-window").copied();
    settings.focus = arguments.get_one("focus").copied();
    settings.surges = take_all(arguments, "surge");
    settings.retry = RetryPolicy {
        max_retries: *take(arguments, "retries")?,
        respect_retry_after: arguments.get_flag("respect-retry-after"),
    };
    settings.max_in_flight = *take(arguments, "max-in-flight")?;
    settings.interval = Duration::from_millis(*take(arguments, "interval-ms")?);
    settings.key_log = arguments.get_one("key-log").cloned();
    settings.probe = read_probe(arguments)?;
    Ok(settings)
}

fn read_rate(schema: &SchemaDocument, text: &str) -> anyhow::Result<OfferedOperation> {
    let fail = || anyhow!("--rate `{text}`: expected SERVICE/OPERATION=REQUESTS_PER_S");
    let (name, rate) = text.split_once('=').ok_or_else(fail)?;
    let rate: f64 = rate.parse().map_err(|_| fail())?;
    OfferedOperation::from_schema(schema, name, rate)
        .with_context(|| format!("the schema has no client operation `{name}`"))
}

fn read_arrivals(arguments: &ArgMatches) -> anyhow::Result<ArrivalKind> {
    let kind: ArrivalKind = *take(arguments, "arrivals")?;
    let burst_length = arguments.get_one("burst-length").copied();
    Ok(match (kind, burst_length) {
        (ArrivalKind::Correlated { .. }, Some(burst_length)) => {
            ArrivalKind::Correlated { burst_length }
        }
        _ => kind,
    })
}

fn read_probe(arguments: &ArgMatches) -> anyhow::Result<Option<ProbeSettings>> {
    let Some(operation) = arguments.get_one::<String>("probe") else { return Ok(None) };
    Ok(Some(ProbeSettings {
        operation: operation.clone(),
        direct: take_all(arguments, "probe-direct"),
        rate: *take(arguments, "probe-rate")?,
    }))
}
