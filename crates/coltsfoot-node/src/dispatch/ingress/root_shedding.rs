//! What is refused where it enters because it would be refused deeper down.

use coltsfoot_wire::peer::LevelNote;
use coltsfootroute::{
    admission::{ShedLevel, ShedRefusal},
    importance::Importance,
    name::ServiceName,
};

use super::{call_ingress::CallIngress, incoming_call::IncomingCall, routed_call::RoutedCall};

impl CallIngress {
    /// Takes in the levels that came with a reply.
    pub fn observe_levels(&self, notes: &[LevelNote]) {
        let now = self.context.now();
        let mut root = self.root.borrow_mut();
        let levels = root.levels_mut();
        for note in notes {
            levels.observe(now, &note.service, note.guard, note.level);
        }
    }

    /// Takes in which services an answer to `call` came from, all those below included.
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

    /// Refuses work here that would be refused deeper down.
    pub fn shed_at_root(&self, call: &IncomingCall, importance: Importance) -> Option<ShedRefusal> {
        // A call of a service without upstreams is told so where it is routed, at no cost.
        if !self.context.control.is_on() || self.has_no_upstream(&call.service) {
            return None;
        }
        let config = self.context.config.load()?;
        let observed = self.reached.borrow().of(&call.service, &call.operation);
        let services = observed.unwrap_or_else(|| config.reachable(&call.service, &call.operation));
        let now = self.context.now();
        let mut rng = self.context.rng.borrow_mut();
        let result = self.root.borrow_mut().admit(now, &services, importance, &mut *rng);
        result.err()
    }
}
