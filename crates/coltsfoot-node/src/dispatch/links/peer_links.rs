//! Connections to other nodes, one a node, opened on first use.

use std::{cell::RefCell, rc::Rc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use coltsfoot_wire::peer_capnp::peer;
use coltsfootroute::{id::NodeId, time::MonotonicTime};
use futures_util::AsyncReadExt as _;
use indexmap::IndexMap;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::{net::TcpStream, sync::OnceCell, time::timeout};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use crate::clock::MonotonicClock;

/// Time to open a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection whose peer has not acknowledged what was sent for so many milliseconds is given up. Hosts of
/// one region answer within some; a lost packet is sent again twice within this time.
const UNACKNOWLEDGED_MS: u32 = 1_500;
/// A connection not used for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection to the node cannot be opened; nothing was sent.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the node cannot be reached")]
pub struct LinkError;

/// A connection to a node.
#[derive(Clone)]
pub struct PeerLink {
    client: peer::Client,
    serial: u64,
}

impl PeerLink {
    /// The remote interface.
    pub fn client(&self) -> &peer::Client {
        &self.client
    }
}

struct LinkSlot {
    /// Distinguishes this connection from later ones to the same node.
    serial: u64,
    used: MonotonicTime,
    link: Rc<OnceCell<PeerLink>>,
}

type LinkSlots = Rc<RefCell<IndexMap<NodeId, LinkSlot>>>;

/// Connections to other nodes, one a node, opened on first use.
pub struct PeerLinks {
    clock: MonotonicClock,
    slots: LinkSlots,
    next_serial: RefCell<u64>,
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(clock: MonotonicClock) -> Self {
        Self { clock, slots: Rc::default(), next_serial: RefCell::new(0) }
    }

    /// The connection to `node`; concurrent callers share one attempt to open it.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the node does not accept it in time.
    pub async fn get(&self, node: NodeId) -> Result<PeerLink, LinkError> {
        let (cell, serial) = self.slot(node);
        let link = cell.get_or_try_init(|| self.open(node, serial)).await;
        if link.is_err() {
            forget(&self.slots, node, serial);
        }
        link.cloned()
    }

    fn slot(&self, node: NodeId) -> (Rc<OnceCell<PeerLink>>, u64) {
        let now = self.clock.now();
        let mut slots = self.slots.borrow_mut();
        let slot = slots.entry(node).or_insert_with(|| {
            let mut serial = self.next_serial.borrow_mut();
            *serial += 1;
            LinkSlot { serial: *serial, used: now, link: Rc::default() }
        });
        slot.used = now;
        (slot.link.clone(), slot.serial)
    }

    /// Drops a connection that failed, unless it has been replaced since.
    pub fn failed(&self, node: NodeId, link: &PeerLink) {
        forget(&self.slots, node, link.serial);
    }

    async fn open(&self, node: NodeId, serial: u64) -> Result<PeerLink, LinkError> {
        let (client, system) = connect(node).await?;
        let slots = self.slots.clone();
        tokio::task::spawn_local(async move {
            // Ends when the connection fails or its last user drops the client. The table forgets it at
            // once: a call sent over it later would be lost with an unknown outcome.
            let _ = system.await;
            forget(&slots, node, serial);
        });
        Ok(PeerLink { client, serial })
    }

    /// Closes connections that have been idle for long.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        // A call in flight holds a clone of its link, so that only the table's share is dropped.
        self.slots.borrow_mut().retain(|_, slot| now.since(slot.used) < IDLE_TIMEOUT);
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.slots.borrow().len()
    }
}

fn forget(slots: &LinkSlots, node: NodeId, serial: u64) {
    let mut slots = slots.borrow_mut();
    if slots.get(&node).is_some_and(|slot| slot.serial == serial) {
        slots.swap_remove(&node);
    }
}

async fn connect(node: NodeId) -> Result<(peer::Client, RpcSystem<Side>), LinkError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.0))
        .await
        .map_err(|_| LinkError)?
        .map_err(|_| LinkError)?;
    stream.set_nodelay(true).map_err(|_| LinkError)?;
    // Without it a host that has gone without a word holds every call until its own deadline.
    set_tcp_user_timeout(&stream, UNACKNOWLEDGED_MS).map_err(|_| LinkError)?;
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    Ok((client, system))
}
