//! Refusal at entry of requests that would be refused further down the call chain.

use coltsfoot_wire::peer::LevelNote;
use coltsfootroute::{
    admission::{ShedLevel, ShedRefusal},
    id::RequestId,
    importance::Importance,
    name::ServiceName,
    schema::TeamEntry,
};

use super::{call_ingress::CallIngress, incoming_call::IncomingCall, routed_call::RoutedCall};

impl CallIngress {
    /// Records the shed levels that came with a reply.
    pub fn observe_levels(&self, notes: &[LevelNote]) {
        let now = self.context.now();
        let mut root = self.root.borrow_mut();
        let levels = root.levels_mut();
        for note in notes {
            levels.observe(now, &note.service, note.guard, note.level);
            levels.observe_rate(now, &note.service, note.guard, note.rate_level);
        }
    }

    /// Records the services that took part in an answer to `call`, including all those further down.
    pub fn observe_reached(&self, call: &RoutedCall, notes: &[LevelNote]) {
        // In the product's own interface the schema declares the calls.
        if call.head.is_some() && !notes.is_empty() {
            let services = notes.iter().map(|note| &note.service);
            let now = self.context.now();
            self.reached.borrow_mut().observe(now, &call.service, &call.operation, services);
        }
    }

    /// Whether `service` sheds work of this importance, wholly or in part.
    pub fn is_shed(&self, service: &ServiceName, importance: Importance) -> bool {
        let level: ShedLevel = self.root.borrow().levels().level(self.context.now(), service);
        level.admitted_fraction(importance) < 1.0
    }

    /// Decides whether to refuse a request at entry because it would be refused further down; `None` admits it.
    pub fn shed_at_root(
        &self,
        request: RequestId,
        call: &IncomingCall,
        importance: Importance,
        team: Option<&TeamEntry>,
    ) -> Option<ShedRefusal> {
        // A call to a service without upstreams is refused by routing, at no cost.
        if !self.context.control.is_on() || self.has_no_upstream(&call.service) {
            return None;
        }
        let config = self.context.config.load()?;
        let observed = self.reached.borrow().of(&call.service, &call.operation);
        let services = observed.unwrap_or_else(|| config.reachable(&call.service, &call.operation));
        if self.context.scheduling.team_shares {
            return self.shed_by_share(request, &services, importance, team);
        }
        let now = self.context.now();
        let mut rng = self.context.rng.borrow_mut();
        let result = self.root.borrow_mut().admit(now, &services, importance, &mut *rng);
        result.err()
    }
}
