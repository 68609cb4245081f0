# Gossip between nodes: one message a datagram, packed, at most 1,200 bytes.
@0xc3a1f0d27be94856;

struct Gossip {
  revision @0 :UInt64;
  # Revision of the configuration that the sender has in force.

  names @1 :List(Text);
  # Names used in the message; referred to by place, counted from 1. 0 means none.

  updates @2 :List(Member);

  union {
    ping @3 :UInt64;
    # Sequence.

    ack :group {
      sequence @4 :UInt64;
      target @5 :Address;
    }
    pingRequest :group {
      sequence @6 :UInt64;
      target @7 :Address;
    }
    pull :group {
      service @8 :UInt16;
      digest @9 :UInt64;
    }
    pullMatch @10 :UInt16;
    # Service.

    pullBuckets :group {
      service @11 :UInt16;
      digests @12 :List(UInt32);
    }
    pullRecords :group {
      service @13 :UInt16;
      bucketCount @14 :UInt16;
      wanted @15 :List(UInt16);
    }
    records :group {
      service @16 :UInt16;
      bucketCount @17 :UInt16;
      complete @18 :List(UInt16);
    }
    seeds @19 :UInt16;
    # Service.

    push @20 :Void;
  }

  quarantine @21 :UInt64;
  # Digest of the requests that the sender holds back; 0: none.

  confirmedMillis @22 :UInt64;
  # When the store's clock showed this, no revision was newer than the one above; 0: not known.
}

struct Address {
  # An IPv6 address, or an IPv4 address mapped to one, with a port.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Member {
  # The address stands in place, not behind a pointer: most members are on the wire with it alone.
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
  state @3 :MemberState;
  service @4 :UInt16;
  domain @5 :UInt16;
  incarnation @6 :UInt64;
  slots @7 :UInt32;
  connections @8 :UInt32;
  region @9 :UInt16;
  ageSeconds @10 :UInt32;
}

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}
