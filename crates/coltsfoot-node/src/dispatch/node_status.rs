//! Report of the node's state for operators.

use std::time::Duration;

use coltsfootroute::{membership::MembershipStatus, name::ServiceName};
use http::StatusCode;
use tokio::time::timeout;

use super::{
    dispatch_duty::DispatchDuty,
    ingress::MemberCounts,
    status_body::{MembershipBody, OverdueBody, PoolBody, ServiceBody, StatusBody, UpstreamBody},
};
use crate::http::HttpReply;

/// Longest wait for the gossip duty's part of the node's state.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(500);

impl DispatchDuty {
    /// Returns the state of the node for operators, without the membership if the gossip duty does not answer in time.
    pub(super) async fn status(&self) -> HttpReply {
        let membership =
            timeout(GOSSIP_TIMEOUT, self.context.membership_status()).await.ok().flatten();
        HttpReply::json(StatusCode::OK, &self.status_body(membership))
    }

    fn status_body(&self, membership: Option<MembershipStatus>) -> StatusBody {
        let now = self.context.now();
        let drain = self.guard.drain.borrow();
        let revision = self.context.revision();
        StatusBody {
            node: self.context.identity.node.to_string(),
            incarnation: self.context.identity.incarnation.0,
            domain: self.context.identity.domain.to_string(),
            region: self.context.identity.region.to_string(),
            revision,
            ready: revision > 0 && !drain.closes_connections(),
            phase: drain.phase(now).as_str(),
            in_flight: drain.in_flight(),
            overdue: drain.overdue(now, self.guard.answers.waiting()).map(OverdueBody::from),
            links: self.links.count(),
            membership: membership.map(MembershipBody::from),
            services: self.service_bodies(),
            upstream: self.upstream_body(),
            pools: self.pool_bodies(),
        }
    }

    fn service_bodies(&self) -> Vec<ServiceBody> {
        let counts = self.ingress.member_counts.borrow();
        let body = |(service, members): (&ServiceName, &MemberCounts)| ServiceBody {
            service: service.to_string(),
            members: *members,
        };
        counts.iter().map(body).collect()
    }

    fn pool_bodies(&self) -> Vec<PoolBody> {
        let now = self.context.now();
        let pools = self.ingress.pools.borrow();
        let bodies = pools
            .iter()
            .map(|(service, entry)| PoolBody::new(service.to_string(), &entry.pool.status(now)));
        bodies.collect()
    }

    fn upstream_body(&self) -> Option<UpstreamBody> {
        let upstream = self.guard.state.upstream.borrow();
        let upstream = upstream.as_ref()?;
        let gate = self.guard.state.gate.borrow();
        let gate = gate.as_ref()?;
        Some(UpstreamBody {
            service: upstream.announcement.service.to_string(),
            leaving: upstream.leaving,
            limit: gate.limit(),
            in_flight: gate.in_flight(),
            queued: gate.queued(),
            queue: gate.queue_length(),
            severity: gate.shed_level(self.context.now()).severity(),
        })
    }
}
