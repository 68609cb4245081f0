//! Looking in the table service for members of watched services of which none is known.

use std::{rc::Rc, time::Duration};

use coltsfootroute::name::ServiceName;
use tokio::time::sleep;

use super::call_ingress::CallIngress;
use crate::gossip::GossipCommand;

/// Pause between two looks for watched services without a member, without a call to the table service while
/// there is none; jittered. A newcomer's scan and gossip bring most services in this time, and each read has its price.
/// Twice as long after each read, up to [`LONGEST_PAUSE`].
const MEMBER_CHECK_PAUSE: Duration = Duration::from_millis(2_500);
/// Longest pause between two reads for services that stay without members; jittered.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

impl CallIngress {
    /// Looks in the table service for members of watched services of which none is known: gossip alone comes by
    /// a small service late, while everyone starts.
    pub async fn find_members(self: Rc<Self>) {
        let mut pause = MEMBER_CHECK_PAUSE;
        loop {
            sleep(self.context.jittered(pause)).await;
            let missing = self.services_without_members();
            pause = match missing.is_empty() {
                true => MEMBER_CHECK_PAUSE,
                false => (pause * 2).min(LONGEST_PAUSE),
            };
            for service in missing {
                let found = self.introductions.members_of(&service).await;
                let nodes = found.into_iter().map(|introduced| introduced.node).collect();
                self.context.tell_gossip(GossipCommand::Ping(nodes)).await;
            }
        }
    }

    fn services_without_members(&self) -> Vec<ServiceName> {
        let pools = self.pools.borrow();
        let empty = pools.iter().filter(|(_, entry)| entry.pool.is_empty());
        empty.map(|(service, _)| service.clone()).collect()
    }
}
