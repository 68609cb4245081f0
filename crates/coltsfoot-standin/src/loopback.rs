//! Addresses of the loopback network that parts started in tests don't share.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicUsize, Ordering},
};

/// An address of the loopback network for one node: while it is down, nothing else takes its ports. Two processes
/// whose ids have the same lowest byte share addresses; their ports still differ.
pub fn own_loopback() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let [.., second] = process::id().to_be_bytes();
    let [.., third, fourth] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // Neither 127.0.x.x, where the other parts are, nor an address that ends in 0.
    Ipv4Addr::new(127, second.max(1), third, fourth.clamp(1, 254))
}

/// As many ports of `host` that are free now, all different. On an [`own_loopback`] they stay so.
///
/// # Panics
///
/// If the host has no free ports.
pub fn free_addresses<const COUNT: usize>(host: Ipv4Addr) -> [SocketAddr; COUNT] {
    // Held together, so that none is given out twice.
    let sockets = [(); COUNT].map(|()| TcpListener::bind((host, 0)).expect("a free port"));
    sockets.map(|socket| socket.local_addr().expect("a bound socket"))
}
