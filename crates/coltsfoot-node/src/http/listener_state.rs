//! What the listeners share with the other duties of the process.

use super::request_parts::PartLimits;
use crate::{
    answers::AnswerTracker, clock::MonotonicClock, config::ConfigHandle, dispatch::DispatchHandle,
    journal::EventReader, memory::MemoryPool, metrics::NodeMetrics, process::DrainSwitch,
};
use std::sync::Arc;

/// State of the listener for clients.
#[derive(Clone)]
pub struct ClientState {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The dispatch duty.
    pub dispatch: DispatchHandle,
    /// Memory of the process for requests and answers.
    pub memory: MemoryPool,
    /// Metrics of this node.
    pub metrics: Arc<NodeMetrics>,
    /// Bounds on requests.
    pub limits: PartLimits,
    /// Answers that still have to be handed over.
    pub answers: AnswerTracker,
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
    pub events: EventReader,
    /// Memory of the process for requests and answers.
    pub memory: MemoryPool,
    /// Metrics of this node.
    pub metrics: Arc<NodeMetrics>,
    /// Begins a planned stop.
    pub drain: DrainSwitch,
    /// Bounds on requests.
    pub limits: PartLimits,
    /// Answers that still have to be handed over.
    pub answers: AnswerTracker,
}
