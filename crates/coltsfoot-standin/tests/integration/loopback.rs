//! Addresses for processes that bind them later.

use std::{
    collections::BTreeSet,
    fs,
    net::TcpListener,
    ops::RangeInclusive,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use coltsfoot_standin::loopback::{bind_again, free_addresses, own_loopback, spawn_child};

/// Times that addresses are found and bound while processes are started beside.
const FINDS: usize = 3_000;
/// Threads that start processes.
const STARTERS: usize = 4;

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

/// Seen in the soak beside a few busy processes: a node ended at its first start, `cannot listen on 127.206.0.23:19227 for
/// listen.client: Address already in use`. A process that is being started has all sockets of its parent until it runs its
/// own program. One that was begun while another thread held ports, to find them free, held them on for a moment after that
/// thread had given them back.
#[test]
fn no_child_holds_a_port_that_was_given_back() {
    let own = own_loopback();

    let taken = count_beside_starts(|| {
        free_addresses::<3>(own).iter().any(|at| TcpListener::bind(at).is_err())
    });

    assert_eq!(taken, 0, "times that a port was held");
}

/// Seen in the soak beside two suites: an upstream that came back found its port taken. The listener of its life before had
/// been closed, but a process that was being started still had it.
#[test]
fn a_port_that_was_closed_can_be_bound_again() {
    let [address] = free_addresses(own_loopback());

    let taken = count_beside_starts(|| {
        let before = bind_again(address);
        drop(before);
        bind_again(address).is_err()
    });

    assert_eq!(taken, 0, "times that the port was held");
}

/// Returns how often `is_taken` holds of [`FINDS`] times, while processes are started beside.
fn count_beside_starts(is_taken: impl Fn() -> bool) -> usize {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let child = spawn_child(&mut Command::new("true"));
                    child.expect("a process").wait().expect("its end");
                }
            });
        }
        let taken = (0..FINDS).filter(|_| is_taken()).count();
        is_done.store(true, Ordering::Relaxed);
        taken
    })
}
