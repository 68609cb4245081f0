//! Addresses of the loopback network that parts started in tests don't share.

use std::{
    io::{self, ErrorKind},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{self, Child, Command},
    sync::{
        PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Last parts of an address, from 1 to 254.
const LAST_PARTS: usize = 254;

/// An address of the loopback network for one node: while it is down, nothing else takes its ports. Two processes
/// whose ids have the same lowest byte share addresses; their ports still differ.
pub fn own_loopback() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let [.., second] = process::id().to_be_bytes();
    let serial = NEXT.fetch_add(1, Ordering::Relaxed);
    // Neither 127.0.x.x, where the other parts are, nor an address that ends in 0 or 255.
    let [.., third] = (serial / LAST_PARTS).to_be_bytes();
    let [.., fourth] = (serial % LAST_PARTS + 1).to_be_bytes();
    Ipv4Addr::new(127, second.max(1), third, fourth)
}

/// First port that [`free_addresses`] gives out.
const FIRST_PORT: u16 = 10_000;
/// Ports that it gives out, round and round; all are below those that the system draws for connections (from 32,768 on).
const PORTS: usize = 20_000;

/// As many ports of `host` that are free now, all different. Nothing takes them until they are bound: a connection to
/// `host` has a source address of `host` as well, and the system draws its port from others than these.
///
/// # Panics
///
/// If the host has no free ports.
pub fn free_addresses<const COUNT: usize>(host: Ipv4Addr) -> [SocketAddr; COUNT] {
    // Held together, so that none is given out twice.
    let _alone = STARTS.write().unwrap_or_else(PoisonError::into_inner);
    let sockets = [(); COUNT].map(|()| free_socket(host).expect("a free port"));
    sockets.map(|socket| socket.local_addr().expect("a bound socket"))
}

/// Longest time that [`bind_again`] waits for processes that are being started.
const BIND_PATIENCE: Duration = Duration::from_secs(5);
/// Pause between its attempts.
const BIND_PAUSE: Duration = Duration::from_millis(1);

/// Binds an address whose listener this process has closed. A process that was being started meanwhile has the sockets of
/// this one until it runs its own program, and a moment longer than its start seems to take: so it is tried again.
///
/// # Errors
///
/// As [`TcpListener::bind`].
pub fn bind_again(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + BIND_PATIENCE;
    loop {
        match TcpListener::bind(address) {
            Err(err) if err.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                thread::sleep(BIND_PAUSE);
            }
            bound => return bound,
        }
    }
}

/// Whoever starts a process reads it, whoever holds ports to find them free writes it. Guards nothing that a panic could
/// leave half done.
static STARTS: RwLock<()> = RwLock::new(());

/// Starts a process. Until it runs its own program it has the sockets of this one, and must not be begun while
/// [`free_addresses`] holds some.
///
/// # Errors
///
/// As [`Command::spawn`].
pub fn spawn_child(command: &mut Command) -> io::Result<Child> {
    let _started = STARTS.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

fn free_socket(host: Ipv4Addr) -> Option<TcpListener> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    // Processes that share an address begin at different places.
    let begin = process::id() as usize * PORTS_OF_PROCESS;
    (0..PORTS).find_map(|_| {
        let offset = (begin + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = FIRST_PORT + u16::try_from(offset).ok()?;
        TcpListener::bind((host, port)).ok()
    })
}

/// Ports between the places where two processes begin.
const PORTS_OF_PROCESS: usize = 97;
