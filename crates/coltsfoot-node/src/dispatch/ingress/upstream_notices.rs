//! Statements of upstreams that replies bring, and the choice among upstreams that name a limit.

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{event::EventKind, id::NodeId, upstream_limit::UpstreamNotice};
use rand::RngExt;

use super::{call_ingress::CallIngress, routed_call::RoutedCall};

impl CallIngress {
    /// Records what the upstream beside `node` has stated, if `reply` says so.
    pub(super) fn observe_notice(&self, call: &RoutedCall, node: NodeId, reply: &CallReply) {
        let Some(notice) = &reply.notice else { return };
        let now = self.context.now();
        if !self.notices.borrow_mut().observe(now, node, notice.clone()) {
            return;
        }
        self.context.events.emit(EventKind::UpstreamNoticeReceived {
            request: call.request,
            service: call.service.clone(),
            guard: node,
            instance: notice.incarnation.name.clone(),
            limit_milli: notice.limit.map(|rate| rate.0),
            leaving: notice.is_leaving,
        });
    }

    /// Returns what this node knows of the statements of the upstream beside `node`, to be sent along with a call.
    pub(super) fn notice_of(&self, node: NodeId) -> Option<UpstreamNotice> {
        self.notices.borrow().of(self.context.now(), node).cloned()
    }

    /// Returns the guards that this call passes over if it can, so that an upstream with a limit is left the share of the
    /// calls of this importance for which its limit has room.
    pub(super) fn passed_over(&self, call: &RoutedCall) -> Vec<NodeId> {
        let now = self.context.now();
        let root = self.root.borrow();
        let mut rng = self.context.rng.borrow_mut();
        let limited = root.levels().limited_guards(now, &call.service);
        limited
            .filter(|(_, level)| {
                let admitted = level.admitted_fraction(call.importance);
                admitted < 1.0 && rng.random::<f64>() >= admitted
            })
            .map(|(guard, _)| guard)
            .collect()
    }
}
