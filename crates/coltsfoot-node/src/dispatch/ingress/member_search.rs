//! Search in the table service for members of watched services that have no known member.

use std::{rc::Rc, time::Duration};

use coltsfootroute::name::ServiceName;
use tokio::time::sleep;

use super::call_ingress::CallIngress;
use crate::gossip::GossipCommand;

/// Pause between two checks for watched services without a member; jittered. The table service is only called if there
/// is such a service. A new node's scan and gossip find most services in this time, and each read has a cost.
/// Doubled after each read, up to [`MAX_MEMBER_CHECK_PAUSE`].
const MEMBER_CHECK_PAUSE: Duration = Duration::from_millis(2_500);
/// Longest pause between two reads for services that remain without members; jittered.
const MAX_MEMBER_CHECK_PAUSE: Duration = Duration::from_secs(10);

impl CallIngress {
    /// Searches the table service for members of watched services that have no known member: while all nodes start,
    /// gossip alone is slow to find a small service.
    pub async fn find_members(self: Rc<Self>) {
        let mut pause = MEMBER_CHECK_PAUSE;
        loop {
            sleep(self.context.jittered(pause)).await;
            let missing = self.services_without_members();
            pause = match missing.is_empty() {
                true => MEMBER_CHECK_PAUSE,
                false => (pause * 2).min(MAX_MEMBER_CHECK_PAUSE),
            };
            for service in missing {
                let found = self.introductions.members_of(&service).await;
                let nodes = found.into_iter().map(|introduced| introduced.node).collect();
                self.context.send_gossip_command(GossipCommand::Ping(nodes)).await;
            }
        }
    }

    fn services_without_members(&self) -> Vec<ServiceName> {
        let pools = self.pools.borrow();
        let empty = pools.iter().filter(|(_, entry)| entry.pool.is_empty());
        empty.map(|(service, _)| service.clone()).collect()
    }
}
