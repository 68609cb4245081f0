//! The daemon's life from command line to exit status.

use std::{fs, process::ExitCode, sync::mpsc, thread};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    args::{EXIT_BAD_SETTINGS, NodeArgs},
    journal::start_logging,
    process::{DrainSwitch, NodeProcess},
    settings::NodeSettings,
};

/// Runs the daemon until a planned stop has ended.
pub fn run() -> ExitCode {
    let args = NodeArgs::from_matches(&NodeArgs::command().get_matches());
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(message) => {
            report(&message);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            report(&format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}

fn read_settings(args: &NodeArgs) -> Result<NodeSettings, String> {
    let path = args.settings.display();
    let text = fs::read_to_string(&args.settings)
        .map_err(|err| format!("cannot read settings file {path}: {err}"))?;
    NodeSettings::from_yaml(&text).map_err(|err| format!("{path}: {err}"))
}

fn serve(settings: NodeSettings) -> anyhow::Result<()> {
    start_logging(&settings.log)?;
    let (sender, stop) = mpsc::sync_channel(1);
    let switch = DrainSwitch::new(sender);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let on_signal = switch.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            on_signal.begin();
        }
    })?;
    let process = NodeProcess::start(settings, switch)?;
    announce(&process);
    // An error means that every switch is gone, which the process itself holds: not while it runs.
    let _ = stop.recv();
    process.stop();
    Ok(())
}

/// Scripts and operators learn the ports that were chosen from this line.
#[allow(clippy::print_stdout)]
fn announce(process: &NodeProcess) {
    let addresses = process.addresses();
    println!(
        "event=listening client={} host={} peer={}",
        addresses.client, addresses.host, addresses.peer
    );
}

#[allow(clippy::print_stderr)]
fn report(message: &str) {
    eprintln!("coltsfoot-node: {message}");
}
