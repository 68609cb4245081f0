//! Reading the settings file again while the node runs.

use std::{fs, marker::PhantomData, path::PathBuf};

use crate::{journal::LOG_TARGET, node_launch::NodeLaunch};

/// Reads the settings file again when asked to. The log's level applies at once; all else is fixed at the
/// start, and a file with faults changes nothing.
pub(crate) struct SettingsWatch<L> {
    path: PathBuf,
    launch: PhantomData<fn() -> L>,
}

impl<L: NodeLaunch> SettingsWatch<L> {
    /// Watches the file at `path`.
    pub(crate) fn new(path: PathBuf) -> Self {
        Self { path, launch: PhantomData }
    }

    /// Reads the file, and says in the log what came of it.
    pub(crate) fn reload(&self) {
        let path = self.path.display();
        let read = fs::read_to_string(&self.path).map_err(|err| err.to_string());
        match read.and_then(|text| L::read(&text).map_err(|err| err.to_string())) {
            Ok(settings) => {
                let level = L::node(&settings).log.level;
                log::set_max_level(level);
                log::info!(target: LOG_TARGET, "level=info event=settings-reloaded path={path} log={level}");
            }
            Err(err) => {
                log::error!(target: LOG_TARGET, "level=error event=settings-refused path={path} error={err:?}");
            }
        }
    }
}
