//! Waiting for the signal to stop.

use std::io;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Blocks until the process is told to terminate.
///
/// # Errors
/// Where the signals can't be taken.
pub fn wait_for_termination() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}
