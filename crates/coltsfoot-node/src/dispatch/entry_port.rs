//! Interface of the dispatch duty for a client front that runs on its thread.

use std::{
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
    sync::Arc,
};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    event::EventKind, id::RequestId, membership::InstanceIncarnation, time::MonotonicTime,
};

use super::{
    context::NodeContext,
    guard::{CallGuard, UpstreamHeartbeat, UpstreamReceipt},
    ingress::{CallIngress, CallOrigin, IncomingCall},
};
use crate::{
    answers::AnswerTracker, clock::MonotonicClock, config::ConfigInForce, memory::MemoryPool,
};

/// Client address of a nested call whose client request is no longer known.
const UNKNOWN_CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Reply to a request that a client front returns to its client.
#[derive(Clone, Debug)]
pub struct EntryReply {
    /// The answer or refusal.
    pub reply: CallReply,
    /// Whether the front closes the connection after the reply, because the node is leaving.
    pub closes_connection: bool,
}

/// Interface of the dispatch duty for a client front that runs on its thread.
#[derive(Clone)]
pub struct EntryPort {
    context: Rc<NodeContext>,
    guard: Rc<CallGuard>,
    ingress: Rc<CallIngress>,
}

impl EntryPort {
    pub(super) fn new(
        context: Rc<NodeContext>,
        guard: Rc<CallGuard>,
        ingress: Rc<CallIngress>,
    ) -> Self {
        Self { context, guard, ingress }
    }

    /// Returns the current time of the node's clock.
    pub fn now(&self) -> MonotonicTime {
        self.context.now()
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.context.config.load()
    }

    /// Returns the tracker of the answers that the node still has to hand over.
    pub fn answers(&self) -> AnswerTracker {
        self.guard.answers.clone()
    }

    /// Returns the memory of the process for requests and answers.
    pub fn memory(&self) -> MemoryPool {
        self.context.memory.clone()
    }

    /// Returns the number of file descriptors that the process may have open.
    pub fn descriptors(&self) -> usize {
        self.context.descriptors
    }

    /// Returns the clock of the process.
    pub fn clock(&self) -> MonotonicClock {
        self.context.clock
    }

    /// Whether clients should send their requests here.
    pub fn is_ready(&self) -> bool {
        self.config().is_some() && !self.is_leaving()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.guard.is_closing()
    }

    /// Serves a request as a client request or as a nested call, by its origin. Dropping the future cancels it.
    pub async fn call(&self, request: RequestId, call: IncomingCall) -> EntryReply {
        let reply = match &call.origin {
            CallOrigin::Client { address } => {
                let address = *address;
                self.ingress.serve_entry(request, call, address).await
            }
            CallOrigin::Upstream { context } => {
                let span = context.as_ref().and_then(|context| self.guard.spans.find(context));
                match span {
                    Some(span) => self.ingress.serve_below(call, span).await,
                    // The call above has ended or never ran at this node, so this call is served as a client request.
                    None => self.ingress.serve_entry(request, call, UNKNOWN_CLIENT).await,
                }
            }
        };
        EntryReply { reply, closes_connection: self.is_leaving() }
    }

    /// Records in the journal that a request was answered with `status` before a service was found for it.
    pub fn record_denied(&self, request: RequestId, status: u16) {
        let revision = self.context.revision();
        self.context.events.emit(EventKind::RequestDenied { request, status, revision });
    }

    /// Records a heartbeat of the upstream beside the node. If the upstream is leaving, returns once no new work
    /// reaches it.
    pub async fn record_heartbeat(&self, heartbeat: UpstreamHeartbeat) -> UpstreamReceipt {
        self.guard.handle_heartbeat(heartbeat).await
    }

    /// Records that the instance has left or is about to leave; nothing is dispatched to it afterwards.
    pub async fn record_departure(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        self.guard.handle_leave(instance).await
    }
}
