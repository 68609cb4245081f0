//! Replies to messages of other nodes.

use indexmap::IndexSet;
use rand::Rng;

use super::{GossipEngine, pending_ping::PingPurpose, pulling::is_bucket_count};
use crate::{
    id::NodeId,
    membership::{GossipMessage, GossipPayload, GroupView, MemberUpdate, SendPriority},
    name::ServiceName,
    time::MonotonicTime,
};

impl GossipEngine {
    /// Handles the request or reply in a message.
    pub(super) fn handle_payload(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        message: GossipMessage,
    ) {
        match message.payload {
            GossipPayload::Ping { sequence } => {
                self.answer_ping(now, rng, from, sequence, &message.updates);
            }
            GossipPayload::Ack { sequence, target } => self.note_ack(now, sequence, target),
            GossipPayload::PingRequest { sequence, target } => {
                let purpose = PingPurpose::Relay { requester: from, sequence };
                self.ping(now, rng, target, purpose, SendPriority::Normal);
            }
            GossipPayload::Pull { service, digest } => {
                self.answer_pull(now, rng, from, service, digest);
            }
            GossipPayload::PullMatch { service } => self.handle_match(now, &service),
            GossipPayload::PullBuckets { service, digests } => {
                self.handle_buckets(now, rng, from, service, &digests);
            }
            GossipPayload::PullRecords { service, bucket_count, wanted } => {
                self.answer_records(now, from, &service, bucket_count, wanted);
            }
            GossipPayload::Records { service, bucket_count, complete } => {
                self.handle_records(now, from, &service, bucket_count, &complete, &message.updates);
            }
            GossipPayload::Seeds { service } => {
                self.handle_seeds(now, &service, !message.updates.is_empty());
            }
            GossipPayload::Push => {}
        }
    }

    /// Acknowledges a ping. If the sender belongs to another group, adds some members of that group.
    fn answer_ping(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        sequence: u64,
        updates: &[MemberUpdate],
    ) {
        let payload = GossipPayload::Ack { sequence, target: self.own_record.node };
        let mut ack = self.message_to(now, rng, from, payload);
        let sender = updates.iter().find(|update| update.record.node == from);
        let service = sender.and_then(|update| update.record.service.clone());
        if let Some(service) = service.filter(|service| !self.is_member_of(service)) {
            let seeds = self.seeds_of(now, rng, &service);
            ack.fill(seeds.into_iter().filter(|seed| seed.record.node != from));
        }
        self.send(now, SendPriority::High, from, ack);
    }

    fn answer_pull(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        service: ServiceName,
        digest: u64,
    ) {
        if !self.is_member_of(&service) {
            self.answer_with_seeds(now, rng, from, service);
            return;
        }
        self.pullers.note(now, from);
        let Some(group) = self.own_group() else { return };
        let payload = if group.digest() == digest {
            GossipPayload::PullMatch { service }
        } else {
            let digests = group.bucket_digests(group.bucket_count());
            GossipPayload::PullBuckets { service, digests }
        };
        self.send(now, SendPriority::Normal, from, GossipMessage::new(self.revision, payload));
    }

    /// Replies with the own record, which shows a leave of that group, and with the members known here.
    fn answer_with_seeds(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        from: NodeId,
        service: ServiceName,
    ) {
        let seeds = self.seeds_of(now, rng, &service);
        let mut message = GossipMessage::new(self.revision, GossipPayload::Seeds { service });
        message.fill([MemberUpdate::new(self.own_record.clone())]);
        message.fill(seeds);
        self.send(now, SendPriority::Low, from, message);
    }

    fn answer_records(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        service: &ServiceName,
        bucket_count: u16,
        wanted: Vec<u16>,
    ) {
        let count = usize::from(bucket_count);
        if !self.is_member_of(service) || !is_bucket_count(count) {
            return;
        }
        let wanted: IndexSet<u16> =
            wanted.into_iter().filter(|bucket| *bucket < bucket_count).collect();
        let Some(group) = self.own_group() else { return };
        for message in record_messages(self.revision, now, group, service, bucket_count, &wanted) {
            self.send_or_queue(now, SendPriority::Normal, from, message);
        }
    }
}

/// Packs the records of the wanted buckets into datagrams; splits only buckets larger than a datagram.
fn record_messages(
    revision: u64,
    now: MonotonicTime,
    group: &GroupView,
    service: &ServiceName,
    bucket_count: u16,
    wanted: &IndexSet<u16>,
) -> Vec<GossipMessage> {
    let empty = || {
        let payload =
            GossipPayload::Records { service: service.clone(), bucket_count, complete: Vec::new() };
        GossipMessage::new(revision, payload)
    };
    let mut messages = vec![empty()];
    for (bucket, updates) in group.bucket_updates(now, usize::from(bucket_count), wanted) {
        let mut message = messages.pop().unwrap_or_else(empty);
        if !add_bucket(&mut message, bucket, &updates) {
            messages.push(message);
            message = empty();
            if !add_bucket(&mut message, bucket, &updates) {
                message = add_in_parts(&mut messages, updates, empty);
            }
        }
        messages.push(message);
    }
    messages
}

/// Adds a whole bucket if it fits. Otherwise adds nothing and returns false.
fn add_bucket(message: &mut GossipMessage, bucket: u16, updates: &[MemberUpdate]) -> bool {
    let before = message.updates.len();
    if let GossipPayload::Records { complete, .. } = &mut message.payload {
        complete.push(bucket);
    }
    if message.fill(updates.iter().cloned()) == updates.len() {
        return true;
    }
    message.updates.truncate(before);
    if let GossipPayload::Records { complete, .. } = &mut message.payload {
        complete.pop();
    }
    false
}

/// Splits a bucket that is larger than a datagram. Returns the last message, which may still have room.
fn add_in_parts(
    messages: &mut Vec<GossipMessage>,
    updates: Vec<MemberUpdate>,
    empty: impl Fn() -> GossipMessage,
) -> GossipMessage {
    let mut message = empty();
    for update in updates {
        if message.fill([update.clone()]) == 0 {
            messages.push(std::mem::replace(&mut message, empty()));
            message.fill([update]);
        }
    }
    message
}
