//! Runs the daemon, from the command line to the exit status.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::mpsc,
    thread,
};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    args::{EXIT_BAD_SETTINGS, NodeArgs},
    journal::start_logging,
    node_launch::NodeLaunch,
    process::{DrainSwitch, NodeProcess},
    settings_watch::SettingsWatch,
};

/// Runs the daemon until a planned stop has finished, and returns its exit status.
pub fn run<L: NodeLaunch>() -> ExitCode {
    let args = NodeArgs::from_matches(&NodeArgs::command().get_matches());
    let settings = match read_settings::<L>(&args.settings) {
        Ok(settings) => settings,
        Err(message) => {
            report(&message);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match serve::<L>(args.settings, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            report(&format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}

fn read_settings<L: NodeLaunch>(path: &Path) -> Result<L::Settings, String> {
    let shown = path.display();
    let text = fs::read_to_string(path)
        .map_err(|err| format!("cannot read settings file {shown}: {err}"))?;
    L::read(&text).map_err(|err| format!("{shown}: {err}"))
}

fn serve<L: NodeLaunch>(path: PathBuf, settings: L::Settings) -> anyhow::Result<()> {
    start_logging(&L::node(&settings).log)?;
    let watch = SettingsWatch::<L>::new(path);
    let (sender, stop) = mpsc::sync_channel(1);
    let switch = DrainSwitch::new(sender);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let on_signal = switch.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => watch.reload(),
                _ => on_signal.begin(),
            }
        }
    })?;
    let process = L::start(settings, switch)?;
    announce(&process);
    // An error would mean that every switch has been dropped, but the running process itself holds one.
    let _ = stop.recv();
    process.stop();
    Ok(())
}

/// Prints the listening addresses; scripts and operators read the chosen ports from this line.
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
