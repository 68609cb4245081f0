//! Where the configuration in force stands for all threads to read.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use coltsfootroute::outcome::RefusalReason;

use super::ConfigInForce;

/// The configuration in force; written by the configuration duty alone.
#[derive(Clone, Default)]
pub struct ConfigCell {
    current: Arc<ArcSwapOption<ConfigInForce>>,
}

impl ConfigCell {
    /// The configuration in force, `None` before the first.
    pub fn load(&self) -> Option<Arc<ConfigInForce>> {
        self.current.load_full()
    }

    /// The configuration in force, for a call that needs one.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoConfiguration`] before the first.
    pub fn in_force(&self) -> Result<Arc<ConfigInForce>, RefusalReason> {
        self.load().ok_or(RefusalReason::NoConfiguration)
    }

    /// Puts a configuration in force. A lower revision than the present one is never put.
    pub(super) fn store(&self, config: Arc<ConfigInForce>) {
        debug_assert!(self.load().is_none_or(|current| current.revision() < config.revision()));
        self.current.store(Some(config));
    }
}
