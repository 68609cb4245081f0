//! Starting and stopping a node.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use coltsfootroute::id::{Incarnation, NodeId};
use tokio::sync::oneshot;

use super::{DrainSwitch, NodeError};
use crate::{
    clock::{MonotonicClock, wall_millis},
    config::{ConfigCell, ConfigParts, ConfigThread},
    dispatch::{
        DispatchCommand, DispatchHandle, DispatchParts, DispatchThread, NodeIdentity,
    },
    gossip::{GossipParts, GossipThread},
    http::{ClientState, HostState, HttpListener},
    journal::{EventJournal, JournalHandle},
    metrics::NodeMetrics,
    once::OnceDesk,
    settings::NodeSettings,
    store::{StoreSettings, StoreThread},
};

/// Addresses that the node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For clients.
    pub client: SocketAddr,
    /// For the upstream beside the node and for operators.
    pub host: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// A running node.
pub struct NodeProcess {
    addresses: NodeAddresses,
    client: HttpListener,
    host: HttpListener,
    dispatch: DispatchHandle,
    journal: JournalHandle,
    stop_limit: Duration,
}
