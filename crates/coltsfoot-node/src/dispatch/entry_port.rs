//! The way into the dispatch duty for a client front on its thread.

use std::{
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
    sync::Arc,
};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    event::EventKind,
    id::RequestId,
    membership::{HeartbeatVerdict, InstanceName},
    time::MonotonicTime,
};

use super::{
    dispatcher::Dispatcher,
    incoming_call::{CallOrigin, IncomingCall},
    local_upstream::UpstreamAnnouncement,
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
    pub is_last: bool,
}

/// A heartbeat of the upstream beside the node.
#[derive(Clone, Debug)]
pub struct UpstreamHeartbeat {
    /// What it says of itself.
    pub announcement: UpstreamAnnouncement,
    /// Its life.
    pub instance: InstanceName,
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
    /// Whether it takes no new work any more.
    pub is_leaving: bool,
}

/// The way into the dispatch duty for a client front on its thread.
#[derive(Clone)]
pub struct EntryPort {
    dispatcher: Rc<Dispatcher>,
}

impl EntryPort {
    pub(super) fn new(dispatcher: Rc<Dispatcher>) -> Self {
        Self { dispatcher }
    }

    /// The node's clock.
    pub fn now(&self) -> MonotonicTime {
        self.dispatcher.clock.now()
    }

    /// The configuration in force, `None` before the first.
    pub fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.dispatcher.config.load()
    }

    /// Whether clients should send their requests here.
    pub fn is_ready(&self) -> bool {
        self.config().is_some() && !self.is_leaving()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.dispatcher.is_closing.get()
    }

    /// Serves a request of the client at `client`. Dropping the future gives it up.
    pub async fn call(&self, request: RequestId, call: IncomingCall) -> EntryReply {
        let reply = match &call.origin {
            CallOrigin::Client { address } => {
                let address = *address;
                self.dispatcher.serve_entry(request, call, address).await
            }
            CallOrigin::Upstream { context } => {
                let span = context.as_ref().and_then(|context| self.dispatcher.spans.find(context));
                match span {
                    Some(span) => self.dispatcher.serve_below(call, span).await,
                    // The call above has ended here, or was never ours: it stands for itself.
                    None => self.dispatcher.serve_entry(request, call, UNKNOWN_CLIENT).await,
                }
            }
        };
        EntryReply { reply, is_last: self.is_leaving() }
    }

    /// Tells the journal of a request that was answered with `status` before a service was found for it.
    pub fn note_denied(&self, request: RequestId, status: u16) {
        let revision = self.dispatcher.revision();
        self.dispatcher.events.emit(EventKind::RequestDenied { request, status, revision });
    }

    /// Takes in a heartbeat of the upstream beside the node. Returns once no new work reaches an upstream
    /// that leaves.
    pub async fn hear(&self, heartbeat: UpstreamHeartbeat) -> HeartbeatVerdict {
        let UpstreamHeartbeat { announcement, instance, sequence, is_leaving } = heartbeat;
        // A late one must not bring back what the life before this one has seen off.
        self.dispatcher.introduction.await_resumed().await;
        let verdict = self.dispatcher.guard.instances.borrow_mut().hear(&instance, sequence);
        if verdict != HeartbeatVerdict::Fresh {
            let departed = verdict == HeartbeatVerdict::Departed;
            let ignored = EventKind::HeartbeatIgnored { instance, sequence, departed };
            self.dispatcher.events.emit(ignored);
            return verdict;
        }
        if is_leaving {
            self.dispatcher.note_leaving(announcement).await;
        } else {
            self.dispatcher.announce_upstream(announcement).await;
        }
        verdict
    }

    /// The instance has left, or is about to: nothing is dispatched to it from now on.
    pub async fn leave(&self, instance: &InstanceName) {
        self.dispatcher.introduction.await_resumed().await;
        let is_present = self.dispatcher.guard.instances.borrow_mut().leave(instance);
        if is_present {
            self.dispatcher.withdraw_named().await;
        }
    }
}
