//! Identification of the team that sent a request, and check of its key.

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

/// Longest time since the configuration was proved to be the newest at which an unknown key is denied. If the proof is
/// older, the key may have been added since.
const MAX_UNKNOWN_KEY_PROOF_AGE: Duration = Duration::from_secs(2);

/// Configuration in force, with the age of the proof that it is the newest, if such a proof is needed.
pub(super) struct ConfigSnapshot {
    pub(super) config: Arc<ConfigInForce>,
    proof_age: Option<Duration>,
}

impl CallIngress {
    /// Returns the configuration in force with the age of its proof.
    pub(super) fn config_snapshot(&self) -> Result<ConfigSnapshot, RefusalReason> {
        // The age must be read first: it is also valid for any later configuration.
        let proof_age =
            self.context.proof_time.and_then(|_| self.context.freshness.age(self.context.now()));
        Ok(ConfigSnapshot { config: self.context.config.in_force()?, proof_age })
    }

    /// Finds the team that sent a call by its key; `None` if the call needs no key.
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
