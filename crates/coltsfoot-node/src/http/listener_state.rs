//! What the listeners share with the other duties of the process.

use coltsfootroute::{id::RequestId, name::{OperationName, ServiceName}};
use bytes::Bytes;

use crate::{
    clock::MonotonicClock, config::ConfigHandle, dispatch::DispatchHandle, journal::EventJournal,
    metrics::NodeMetrics, process::DrainSwitch,
};

/// State of the listener for clients.
#[derive(Clone)]
pub struct ClientState {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The dispatch duty.
    pub dispatch: DispatchHandle,
    /// Most bytes of a body.
    pub body_limit: usize,
}

/// State of the listener on the host's own address.
#[derive(Clone)]
pub struct HostState {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The dispatch duty.
    pub dispatch: DispatchHandle,
    /// The configuration duty.
    pub config: ConfigHandle,
    /// Events of this node.
    pub journal: EventJournal,
    /// Metrics of this node.
    pub metrics: NodeMetrics,
    /// Begins a planned stop.
    pub drain: DrainSwitch,
    /// Most bytes of a body.
    pub body_limit: usize,
}
