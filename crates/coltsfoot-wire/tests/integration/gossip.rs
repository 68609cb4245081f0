//! Gossip datagrams: round trip, size, bounds.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use coltsfoot_wire::gossip::{GossipError, decode, encode};
use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{
        GossipMessage, GossipPayload, MAX_DATAGRAM_BYTES, MemberRecord, MemberState, MemberUpdate,
    },
    name::{DomainName, RegionName, ServiceName},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn node() -> impl Strategy<Value = NodeId> {
    let ip = prop_oneof![
        any::<[u8; 4]>().prop_map(IpAddr::from),
        any::<[u8; 16]>().prop_map(|octets| IpAddr::from(octets).to_canonical()),
    ];
    (ip, any::<u16>()).prop_map(|(ip, port)| NodeId(SocketAddr::new(ip, port)))
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    let names = (proptest::option::of("[a-z]{1,20}"), "[a-z]{1,12}", "[a-z]{1,30}");
    let sizes = (any::<u64>(), any::<u32>(), any::<u32>(), any::<u32>());
    (node(), state, names, sizes).prop_map(|(node, state, names, sizes)| {
        let (service, domain, region) = names;
        let (incarnation, slots, connections, age) = sizes;
        let domain = DomainName::new(&domain);
        let region = RegionName::new(&region);
        let record = MemberRecord {
            service: service.as_deref().map(ServiceName::new),
            slots,
            connections,
            state,
            ..MemberRecord::new(node, Incarnation(incarnation), domain, region)
        };
        MemberUpdate::new(record).with_age(Duration::from_secs(age.into()))
    })
}

fn payload() -> impl Strategy<Value = GossipPayload> {
    let service = || "[a-z]{1,20}".prop_map(ServiceName::from);
    let digests = (0_u32..=8).prop_flat_map(|power| vec(any::<u32>(), 1 << power));
    let indexes = (0_u32..=8).prop_flat_map(|power| {
        let count = 1_u16 << power;
        (Just(count), vec(0..count, 0..=8.min(usize::from(count))))
    });
    prop_oneof![
        any::<u64>().prop_map(|sequence| GossipPayload::Ping { sequence }),
        (any::<u64>(), node())
            .prop_map(|(sequence, target)| GossipPayload::Ack { sequence, target }),
        (any::<u64>(), node())
            .prop_map(|(sequence, target)| GossipPayload::PingRequest { sequence, target }),
        (service(), any::<u64>())
            .prop_map(|(service, digest)| GossipPayload::Pull { service, digest }),
        service().prop_map(|service| GossipPayload::PullMatch { service }),
        (service(), digests)
            .prop_map(|(service, digests)| GossipPayload::PullBuckets { service, digests }),
        (service(), indexes.clone()).prop_map(|(service, (bucket_count, wanted))| {
            GossipPayload::PullRecords { service, bucket_count, wanted }
        }),
        (service(), indexes).prop_map(|(service, (bucket_count, complete))| {
            GossipPayload::Records { service, bucket_count, complete }
        }),
        service().prop_map(|service| GossipPayload::Seeds { service }),
        Just(GossipPayload::Push),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// What is decoded is what was encoded, and the size foretold is never exceeded: the engine
    /// fills datagrams and keeps its budget by it.
    #[test]
    fn filled_message_round_trips_within_its_foretold_size(
        revision: u64,
        payload in payload(),
        updates in vec(update(), 0..40),
    ) {
        let mut message = GossipMessage::new(revision, payload);
        message.fill(updates);

        let datagram = encode(&message).unwrap();

        prop_assert!(datagram.len() <= message.wire_bytes(), "{} > {}", datagram.len(), message.wire_bytes());
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(&datagram).unwrap(), message);
    }

    #[test]
    fn noise_never_panics(datagram in vec(any::<u8>(), 0..1_300)) {
        let _ = decode(&datagram);
    }

    #[test]
    fn damaged_message_never_panics(
        updates in vec(update(), 0..10),
        place: prop::sample::Index,
        value: u8,
    ) {
        let mut message = GossipMessage::new(7, GossipPayload::Push);
        message.fill(updates);
        let mut datagram = encode(&message).unwrap();
        let place = place.index(datagram.len());
        datagram[place] = value;

        let _ = decode(&datagram);
    }
}

#[test]
fn datagram_beyond_the_bound_is_refused() {
    let datagram = vec![0; MAX_DATAGRAM_BYTES + 1];

    let err = decode(&datagram).unwrap_err();

    assert!(matches!(err, GossipError::TooLarge(1_201)), "{err}");
}

#[rstest]
#[case::index_beyond_the_count(4, vec![4])]
#[case::count_not_a_power_of_two(3, vec![1])]
#[case::no_buckets(0, vec![])]
#[case::too_many_buckets(512, vec![1])]
fn bad_buckets_are_refused(#[case] bucket_count: u16, #[case] wanted: Vec<u16>) {
    let service = ServiceName::new("logbook");
    let payload = GossipPayload::PullRecords { service, bucket_count, wanted };
    let datagram = encode(&GossipMessage::new(0, payload)).unwrap();

    let err = decode(&datagram).unwrap_err();

    assert!(matches!(err, GossipError::BadBucket), "{err}");
}

#[test]
fn long_name_is_refused() {
    let service = ServiceName::new(&"x".repeat(65));
    let message = GossipMessage::new(0, GossipPayload::Seeds { service });

    let err = encode(&message).unwrap_err();

    assert!(matches!(err, GossipError::BadName), "{err}");
}
