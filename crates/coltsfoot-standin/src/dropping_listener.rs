//! A server that takes connections and drops them at once.

use std::{
    hint::spin_loop,
    io,
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

/// Threads that take connections.
const THREADS: u32 = 2;
/// A connection is dropped before it has lived so long, in nanoseconds: its client has only just begun to use it.
const LONGEST_LIFE_NS: u32 = 20_000;
/// Difference between the lives of two connections; shares no factor with the longest one, so that all lives come.
const LIFE_STEP_NS: u32 = 7_919;

/// Starts a server on a free port of the loopback; it ends with the process.
///
/// # Errors
///
/// If there is no free port.
pub fn start_dropping() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    for _ in 0..THREADS {
        let listener = listener.try_clone()?;
        thread::spawn(move || drop_connections(&listener));
    }
    Ok(address)
}

fn drop_connections(listener: &TcpListener) {
    let mut life_ns = 0;
    while let Ok((stream, _)) = listener.accept() {
        life_ns = (life_ns + LIFE_STEP_NS) % LONGEST_LIFE_NS;
        let end = Instant::now() + Duration::from_nanos(life_ns.into());
        while Instant::now() < end {
            spin_loop();
        }
        drop(stream);
    }
}
