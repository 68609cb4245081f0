//! Addresses for processes that bind them later.

use std::{collections::BTreeSet, fs, net::TcpListener, ops::RangeInclusive};

use coltsfoot_standin::loopback::{free_addresses, own_loopback};

/// Ports that the system draws for connections.
fn drawn_ports() -> RangeInclusive<u16> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("Linux");
    let mut ends = text.split_whitespace().map(|end| end.parse().expect("a port"));
    let (first, last) = (ends.next().expect("a first"), ends.next().expect("a last"));
    first..=last
}

/// A connection to an address of the loopback network begins at that address too, and took a port that a process was
/// to bind a moment later.
#[test]
fn no_connection_takes_a_port_before_it_is_bound() {
    let drawn = drawn_ports();

    let addresses: [_; 20] = free_addresses(own_loopback());

    assert!(addresses.iter().all(|address| !drawn.contains(&address.port())), "{addresses:?}");
    let ports: BTreeSet<_> = addresses.iter().map(|address| address.port()).collect();
    assert_eq!(ports.len(), addresses.len());
    let bound: Vec<_> = addresses.iter().map(TcpListener::bind).collect();
    assert!(bound.iter().all(Result::is_ok));
}
