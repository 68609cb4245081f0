//! What a caller knows of the statements of upstreams.

use std::time::Duration;

use indexmap::IndexMap;

use super::UpstreamNotice;
use crate::{id::NodeId, time::MonotonicTime};

/// Time after which a notice that no reply has repeated is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// What a caller knows of the statements of upstreams, by the node beside each.
///
/// The caller sends its knowledge back with each call, because the node beside the upstream may have restarted and would
/// otherwise have to learn it from an answer.
#[derive(Clone, Debug, Default)]
pub struct KnownNotices {
    notices: IndexMap<NodeId, KnownNotice>,
}

#[derive(Clone, Debug)]
struct KnownNotice {
    notice: UpstreamNotice,
    received: MonotonicTime,
}

impl KnownNotices {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the notice that came with a reply from `node`; returns whether it differs from what was known.
    pub fn observe(&mut self, now: MonotonicTime, node: NodeId, notice: UpstreamNotice) -> bool {
        let known = self.notices.get(&node).map(|known| &known.notice);
        let has_changed = match known {
            Some(known) => *known != notice,
            None => !notice.is_clear(),
        };
        if notice.is_clear() {
            self.notices.swap_remove(&node);
            return has_changed;
        }
        if known.is_none() {
            // New notices are rare, so this is a cheap moment to forget the old ones.
            self.notices.retain(|_, known| now.since(known.received) < RETENTION);
        }
        self.notices.insert(node, KnownNotice { notice, received: now });
        has_changed
    }

    /// Returns what is known of the upstream beside `node`.
    pub fn of(&self, now: MonotonicTime, node: NodeId) -> Option<&UpstreamNotice> {
        let known = self.notices.get(&node)?;
        (now.since(known.received) < RETENTION).then_some(&known.notice)
    }
}
