//! Choice of what to show.

use coltsfootroute::{
    event::EventRecord,
    id::{NodeId, RequestId},
    name::ServiceName,
};

use super::{EventGap, TimelineEntry};

/// Choice of what to show; all conditions must hold, absent ones always do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this client request.
    pub request: Option<RequestId>,
    /// Only events that speak of this service.
    pub service: Option<ServiceName>,
    /// Only events of these nodes; all where empty.
    pub hosts: Vec<NodeId>,
    /// Only events from this time on, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Only events before this time, in milliseconds since the Unix epoch.
    pub to_ms: Option<u64>,
}

impl EventFilter {
    /// Whether to show `entry`.
    pub fn admits(&self, entry: &TimelineEntry) -> bool {
        match entry {
            TimelineEntry::Event(record) => self.admits_event(record),
            TimelineEntry::Gap(gap) => self.admits_gap(gap),
        }
    }

    fn admits_event(&self, record: &EventRecord) -> bool {
        let wall_ms = record.stamp.wall_ms;
        let is_request = self.request.is_none() || self.request == record.request();
        let is_service = self.service.is_none() || self.service.as_ref() == record.kind.service();
        let is_in_time = self.from_ms.is_none_or(|from_ms| wall_ms >= from_ms)
            && self.to_ms.is_none_or(|to_ms| wall_ms < to_ms);
        is_request && is_service && is_in_time && self.admits_host(record.node)
    }

    /// A gap may hide an event of any request or service: it is shown if its time may matter.
    fn admits_gap(&self, gap: &EventGap) -> bool {
        let starts_ms = gap.after.map_or(0, |stamp| stamp.wall_ms);
        let ends_in_time = self.from_ms.is_none_or(|from_ms| gap.before.wall_ms >= from_ms);
        let starts_in_time = self.to_ms.is_none_or(|to_ms| starts_ms < to_ms);
        ends_in_time && starts_in_time && self.admits_host(gap.node)
    }

    /// Whether to show anything of `node`.
    pub fn admits_host(&self, node: NodeId) -> bool {
        self.hosts.is_empty() || self.hosts.contains(&node)
    }
}
