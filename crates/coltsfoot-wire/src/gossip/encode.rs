//! From the engine's message to the datagram.

use std::net::IpAddr;

use capnp::{message::Builder, serialize_packed};
use coltsfootroute::{
    id::NodeId,
    membership::{GossipMessage, GossipPayload, MAX_DATAGRAM_BYTES, MemberState, MemberUpdate},
};

use super::{GossipError, name_table::NameTable};
use crate::gossip_capnp::{MemberState as WireState, address, gossip, member};

/// Writes a message as one packed datagram.
///
/// # Errors
/// If a name is too long, or the datagram would be larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &GossipMessage) -> Result<Vec<u8>, GossipError> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<gossip::Builder<'_>>();
    root.set_revision(message.revision);
    root.set_quarantine(message.quarantine);
    root.set_confirmed_millis(message.confirmed.map_or(0, |confirmed| confirmed.0));
    let mut names = NameTable::new();
    write_payload(&mut root, &message.payload, &mut names)?;
    write_updates(&mut root, &message.updates, &mut names)?;
    write_names(&mut root, &names);
    let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    serialize_packed::write_message(&mut datagram, &builder)?;
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(GossipError::TooLarge(datagram.len()));
    }
    Ok(datagram)
}

fn write_payload<'a>(
    root: &mut gossip::Builder<'_>,
    payload: &'a GossipPayload,
    names: &mut NameTable<'a>,
) -> Result<(), GossipError> {
    match payload {
        GossipPayload::Ping { sequence } => root.set_ping(*sequence),
        GossipPayload::Ack { sequence, target } => {
            let mut ack = root.reborrow().init_ack();
            ack.set_sequence(*sequence);
            write_address(ack.init_target(), *target);
        }
        GossipPayload::PingRequest { sequence, target } => {
            let mut request = root.reborrow().init_ping_request();
            request.set_sequence(*sequence);
            write_address(request.init_target(), *target);
        }
        GossipPayload::Pull { service, digest } => {
            let mut pull = root.reborrow().init_pull();
            pull.set_service(names.add(service.as_str())?);
            pull.set_digest(*digest);
        }
        GossipPayload::PullMatch { service } => root.set_pull_match(names.add(service.as_str())?),
        GossipPayload::PullBuckets { service, digests } => {
            let mut buckets = root.reborrow().init_pull_buckets();
            buckets.set_service(names.add(service.as_str())?);
            buckets.set_digests(digests.as_slice())?;
        }
        GossipPayload::PullRecords { service, bucket_count, wanted } => {
            let mut records = root.reborrow().init_pull_records();
            records.set_service(names.add(service.as_str())?);
            records.set_bucket_count(*bucket_count);
            records.set_wanted(wanted.as_slice())?;
        }
        GossipPayload::Records { service, bucket_count, complete } => {
            let mut records = root.reborrow().init_records();
            records.set_service(names.add(service.as_str())?);
            records.set_bucket_count(*bucket_count);
            records.set_complete(complete.as_slice())?;
        }
        GossipPayload::Seeds { service } => root.set_seeds(names.add(service.as_str())?),
        GossipPayload::Push => root.set_push(()),
    }
    Ok(())
}

fn write_updates<'a>(
    root: &mut gossip::Builder<'_>,
    updates: &'a [MemberUpdate],
    names: &mut NameTable<'a>,
) -> Result<(), GossipError> {
    let mut members = root.reborrow().init_updates(updates.len() as u32);
    for (place, update) in updates.iter().enumerate() {
        write_member(members.reborrow().get(place as u32), update, names)?;
    }
    Ok(())
}

fn write_member<'a>(
    mut member: member::Builder<'_>,
    update: &'a MemberUpdate,
    names: &mut NameTable<'a>,
) -> Result<(), GossipError> {
    let record = &update.record;
    let (high, low) = address_words(record.node);
    member.set_high(high);
    member.set_low(low);
    member.set_port(record.node.0.port());
    member.set_state(wire_state(record.state));
    member.set_service(names.add_optional(record.service.as_ref().map(|name| name.as_str()))?);
    member.set_domain(names.add(record.domain.as_str())?);
    member.set_region(names.add(record.region.as_str())?);
    member.set_incarnation(record.incarnation.0);
    member.set_slots(record.slots);
    member.set_connections(record.connections);
    member.set_age_seconds(age_seconds(update));
    Ok(())
}

fn write_names(root: &mut gossip::Builder<'_>, names: &NameTable<'_>) {
    let names = names.names();
    let mut list = root.reborrow().init_names(names.len() as u32);
    for (place, name) in names.enumerate() {
        list.set(place as u32, name);
    }
}

fn write_address(mut address: address::Builder<'_>, node: NodeId) {
    let (high, low) = address_words(node);
    address.set_high(high);
    address.set_low(low);
    address.set_port(node.0.port());
}

fn address_words(node: NodeId) -> (u64, u64) {
    let bits = match node.0.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().to_bits(),
        IpAddr::V6(ip) => ip.to_bits(),
    };
    ((bits >> u64::BITS) as u64, bits as u64)
}

/// Whole seconds, rounded up: an age that shrank on each hop would keep old records for ever.
fn age_seconds(update: &MemberUpdate) -> u32 {
    let seconds = update.age.as_millis().div_ceil(1_000);
    u32::try_from(seconds).unwrap_or(u32::MAX)
}

fn wire_state(state: MemberState) -> WireState {
    match state {
        MemberState::Alive => WireState::Alive,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Dead => WireState::Dead,
        MemberState::Left => WireState::Left,
    }
}
