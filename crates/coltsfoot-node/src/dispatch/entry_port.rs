//! The way into the dispatch duty for a client front on its thread.

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
use crate::config::ConfigInForce;

/// Client of a nested call whose request is not known any more.
const UNKNOWN_CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// What a front tells its client of a request.
#[derive(Clone, Debug)]
pub struct EntryReply {
    /// The answer or refusal.
    pub reply: CallReply,
    /// Whether the connection is to be closed: the node leaves.
    pub closes_connection: bool,
}

/// The way into the dispatch duty for a client front on its thread.
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

    /// The node's clock.
    pub fn now(&self) -> MonotonicTime {
        self.context.now()
    }

    /// The configuration in force, `None` before the first.
    pub fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.context.config.load()
    }

    /// Whether clients should send their requests here.
    pub fn is_ready(&self) -> bool {
        self.config().is_some() && !self.is_leaving()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.guard.is_closing()
    }

    /// Serves a request of the client at `client`. Dropping the future gives it up.
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
                    // The call above has ended here, or was never ours: it stands for itself.
                    None => self.ingress.serve_entry(request, call, UNKNOWN_CLIENT).await,
                }
            }
        };
        EntryReply { reply, closes_connection: self.is_leaving() }
    }

    /// Tells the journal of a request that was answered with `status` before a service was found for it.
    pub fn record_denied(&self, request: RequestId, status: u16) {
        let revision = self.context.revision();
        self.context.events.emit(EventKind::RequestDenied { request, status, revision });
    }

    /// Takes in a heartbeat of the upstream beside the node. Returns once no new work reaches an upstream
    /// that leaves.
    pub async fn record_heartbeat(&self, heartbeat: UpstreamHeartbeat) -> UpstreamReceipt {
        self.guard.hear(heartbeat).await
    }

    /// The instance has left, or is about to: nothing is dispatched to it from now on.
    pub async fn record_departure(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        self.guard.hear_leave(instance).await
    }
}
