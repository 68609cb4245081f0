//! `coltsfoot-table`: stand-in for the platform's table service and object store.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use clap::{Arg, Command, value_parser};
use coltsfoot_standin::table::{TableServer, TableSettings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let address = matches.get_one::<SocketAddr>("address").copied();
    let mut settings = address.map(TableSettings::new).unwrap_or_default();
    if let Some(rate) = matches.get_one::<f64>("writes-per-s") {
        settings.writes_per_s = *rate;
    }
    if let Some(rate) = matches.get_one::<f64>("reads-per-s") {
        settings.reads_per_s = *rate;
    }
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let handle = TableServer::start(&settings)?;
    writeln!(io::stdout(), "event=listening address={}", handle.address())?;
    io::stdout().flush()?;
    signals.forever().next();
    handle.stop();
    Ok(())
}

fn command() -> Command {
    Command::new("coltsfoot-table")
        .about("Stand-in for the platform's table service and object store")
        .arg(
            Arg::new("address")
                .long("listen")
                .value_name("ADDRESS")
                .help("Address to listen on; port 0 takes any free port")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(rate_argument("writes-per-s", "Most transactions a second"))
        .arg(rate_argument("reads-per-s", "Most reads and scans a second"))
}

fn rate_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_parser(value_parser!(f64))
}
