//! Shared cell that holds the configuration in force for all threads.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use coltsfootroute::outcome::RefusalReason;

use super::ConfigInForce;

/// Shared reference to the configuration in force; only the configuration duty writes it.
#[derive(Clone, Default)]
pub struct ConfigCell {
    current: Arc<ArcSwapOption<ConfigInForce>>,
}

impl ConfigCell {
    /// Returns the configuration in force; `None` before the first.
    pub fn load(&self) -> Option<Arc<ConfigInForce>> {
        self.current.load_full()
    }

    /// Returns the configuration in force, for a call that cannot proceed without one.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoConfiguration`] before the first configuration is in force.
    pub fn in_force(&self) -> Result<Arc<ConfigInForce>, RefusalReason> {
        self.load().ok_or(RefusalReason::NoConfiguration)
    }

    /// Puts `config` in force. Its revision must be higher than the current one.
    pub(super) fn store(&self, config: Arc<ConfigInForce>) {
        debug_assert!(self.load().is_none_or(|current| current.revision() < config.revision()));
        self.current.store(Some(config));
    }
}
