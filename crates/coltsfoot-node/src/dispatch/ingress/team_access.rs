//! Whose request it is that enters here, and whether its key stands.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{
    outcome::RefusalReason,
    schema::{ClientEntry, TeamEntry},
};

use super::{
    call_ingress::CallIngress,
    incoming_call::{CallOrigin, IncomingCall},
};
use crate::config::ConfigInForce;

/// A key that is not known here is denied where the configuration was the newest so short a time ago; else it may be one
/// that was added since.
const MAX_UNKNOWN_KEY_PROOF_AGE: Duration = Duration::from_secs(2);

/// The configuration in force, and how old the proof is that it is the newest, where one is needed.
pub(super) struct ConfigSnapshot {
    pub(super) config: Arc<ConfigInForce>,
    proof_age: Option<Duration>,
}

impl CallIngress {
    /// The configuration in force with its proof.
    pub(super) fn config_snapshot(&self) -> Result<ConfigSnapshot, RefusalReason> {
        // In this order: the age of a proof holds for any later configuration as well.
        let proof_age =
            self.context.proof_time.and_then(|_| self.context.freshness.age(self.context.now()));
        Ok(ConfigSnapshot { config: self.context.config.in_force()?, proof_age })
    }

    /// The team whose request a call is, by its key; `None` where it needs no key.
    pub(super) fn find_team(
        &self,
        call: &IncomingCall,
        entry: &ClientEntry,
        snapshot: &ConfigSnapshot,
    ) -> Result<Option<Arc<TeamEntry>>, RefusalReason> {
        let teams = snapshot.config.teams();
        if teams.is_empty() || entry.keyless {
            return Ok(None);
        }
        let Some(key) = call.credential else {
            return Err(match call.origin {
                CallOrigin::Client { .. } => RefusalReason::UnknownKey,
                CallOrigin::Upstream { .. } => RefusalReason::Orphaned,
            });
        };
        let is_within = |max_age| snapshot.proof_age.is_some_and(|age| age <= max_age);
        match teams.holder(&key) {
            Some(team) if self.context.proof_time.is_none_or(is_within) => Ok(Some(team.clone())),
            None if self.context.proof_time.is_none() || is_within(MAX_UNKNOWN_KEY_PROOF_AGE) => {
                Err(RefusalReason::UnknownKey)
            }
            _ => Err(RefusalReason::StaleConfiguration),
        }
    }
}
