//! From the datagram to the engine's message.

use std::{
    net::{IpAddr, Ipv6Addr, SocketAddr},
    time::Duration,
};

use capnp::{message::ReaderOptions, serialize_packed};
use coltsfootroute::{
    freshness::StoreTime,
    id::{Incarnation, NodeId},
    membership::{
        GossipMessage, GossipPayload, MAX_BUCKETS, MAX_DATAGRAM_BYTES, MemberRecord, MemberState,
        MemberUpdate,
    },
    name::{DomainName, RegionName, ServiceName},
};

use super::{GossipError, MAX_UPDATES, name_table::NameTable};
use crate::gossip_capnp::{MemberState as WireState, address, gossip, member};

/// Most words that a datagram may unpack to; a full one has a quarter of that.
const MAX_WORDS: usize = 4_096;
/// Deepest nesting: root, list, struct, and one to spare.
const MAX_NESTING: i32 = 4;

/// Reads one packed datagram.
///
/// # Errors
/// If it is larger than [`MAX_DATAGRAM_BYTES`], malformed, or beyond a bound of its lists or names.
pub fn decode(datagram: &[u8]) -> Result<GossipMessage, GossipError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(GossipError::TooLarge(datagram.len()));
    }
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(MAX_NESTING);
    let reader = serialize_packed::read_message(datagram, options)?;
    let root = reader.get_root::<gossip::Reader<'_>>()?;
    let names = NameTable::read(root.get_names()?)?;
    Ok(GossipMessage {
        revision: root.get_revision(),
        quarantine: root.get_quarantine(),
        confirmed: Some(StoreTime(root.get_confirmed_millis())).filter(|time| time.0 > 0),
        payload: read_payload(root, &names)?,
        updates: read_updates(root, &names)?,
    })
}

fn read_payload(
    root: gossip::Reader<'_>,
    names: &NameTable<'_>,
) -> Result<GossipPayload, GossipError> {
    let payload = match root.which()? {
        gossip::Ping(sequence) => GossipPayload::Ping { sequence },
        gossip::Ack(ack) => GossipPayload::Ack {
            sequence: ack.get_sequence(),
            target: read_address(ack.get_target()?),
        },
        gossip::PingRequest(request) => GossipPayload::PingRequest {
            sequence: request.get_sequence(),
            target: read_address(request.get_target()?),
        },
        gossip::Pull(pull) => GossipPayload::Pull {
            service: service_name(names, pull.get_service())?,
            digest: pull.get_digest(),
        },
        gossip::PullMatch(service) => {
            GossipPayload::PullMatch { service: service_name(names, service)? }
        }
        gossip::PullBuckets(buckets) => GossipPayload::PullBuckets {
            service: service_name(names, buckets.get_service())?,
            digests: read_digests(buckets.get_digests()?)?,
        },
        gossip::PullRecords(records) => GossipPayload::PullRecords {
            service: service_name(names, records.get_service())?,
            bucket_count: bucket_count(records.get_bucket_count())?,
            wanted: read_indexes(records.get_bucket_count(), records.get_wanted()?)?,
        },
        gossip::Records(records) => GossipPayload::Records {
            service: service_name(names, records.get_service())?,
            bucket_count: bucket_count(records.get_bucket_count())?,
            complete: read_indexes(records.get_bucket_count(), records.get_complete()?)?,
        },
        gossip::Seeds(service) => GossipPayload::Seeds { service: service_name(names, service)? },
        gossip::Push(()) => GossipPayload::Push,
    };
    Ok(payload)
}

fn read_updates(
    root: gossip::Reader<'_>,
    names: &NameTable<'_>,
) -> Result<Vec<MemberUpdate>, GossipError> {
    let members = root.get_updates()?;
    if members.len() as usize > MAX_UPDATES {
        return Err(GossipError::TooMany("updates"));
    }
    members.iter().map(|member| read_member(member, names)).collect()
}

fn read_member(
    member: member::Reader<'_>,
    names: &NameTable<'_>,
) -> Result<MemberUpdate, GossipError> {
    let record = MemberRecord {
        node: node_id(member.get_high(), member.get_low(), member.get_port()),
        incarnation: Incarnation(member.get_incarnation()),
        service: names.get_optional(member.get_service())?.map(ServiceName::new),
        domain: DomainName::new(names.get(member.get_domain())?),
        region: RegionName::new(names.get(member.get_region())?),
        slots: member.get_slots(),
        connections: member.get_connections(),
        state: member_state(member.get_state()?),
    };
    let age = Duration::from_secs(u64::from(member.get_age_seconds()));
    Ok(MemberUpdate::new(record).with_age(age))
}

fn read_digests(digests: capnp::primitive_list::Reader<'_, u32>) -> Result<Vec<u32>, GossipError> {
    let count = digests.len() as usize;
    if !count.is_power_of_two() || count > MAX_BUCKETS {
        return Err(GossipError::BadBucket);
    }
    Ok(digests.iter().collect())
}

fn read_indexes(
    count: u16,
    indexes: capnp::primitive_list::Reader<'_, u16>,
) -> Result<Vec<u16>, GossipError> {
    let too_many = indexes.len() > u32::from(count);
    if too_many || indexes.iter().any(|index| index >= count) {
        return Err(GossipError::BadBucket);
    }
    Ok(indexes.iter().collect())
}

fn bucket_count(count: u16) -> Result<u16, GossipError> {
    let valid = count.is_power_of_two() && usize::from(count) <= MAX_BUCKETS;
    if valid { Ok(count) } else { Err(GossipError::BadBucket) }
}

fn service_name(names: &NameTable<'_>, number: u16) -> Result<ServiceName, GossipError> {
    names.get(number).map(ServiceName::new)
}

fn read_address(address: address::Reader<'_>) -> NodeId {
    node_id(address.get_high(), address.get_low(), address.get_port())
}

fn node_id(high: u64, low: u64, port: u16) -> NodeId {
    let bits = u128::from(high) << u64::BITS | u128::from(low);
    let ip = IpAddr::V6(Ipv6Addr::from_bits(bits)).to_canonical();
    NodeId(SocketAddr::new(ip, port))
}

fn member_state(state: WireState) -> MemberState {
    match state {
        WireState::Alive => MemberState::Alive,
        WireState::Suspect => MemberState::Suspect,
        WireState::Dead => MemberState::Dead,
        WireState::Left => MemberState::Left,
    }
}
