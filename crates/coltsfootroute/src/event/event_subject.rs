//! What an event is about: the request and the service that it speaks of.

use super::EventKind;
use crate::{id::RequestId, name::ServiceName};

impl EventKind {
    /// The client request that the event belongs to, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::RequestAdmitted { request, .. }
            | Self::RequestRefused { request, .. }
            | Self::RequestCompleted { request, .. }
            | Self::RequestDenied { request, .. }
            | Self::QuarantineRefused { request, .. }
            | Self::GuardRefused { request, .. }
            | Self::UpstreamCallFailed { request, .. }
            | Self::RequestUnknown { request, .. }
            | Self::AttemptStarted { request, .. }
            | Self::AttemptFinished { request, .. }
            | Self::RetryGranted { request, .. }
            | Self::RetryDenied { request, .. }
            | Self::ClaimDecided { request, .. }
            | Self::ImportanceBreached { request, .. } => Some(*request),
            _ => None,
        }
    }

    /// The service that the event speaks of, if any.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::RequestAdmitted { service, .. }
            | Self::GuardRefused { service, .. }
            | Self::UpstreamCallFailed { service, .. }
            | Self::RequestRefused { service, .. }
            | Self::RequestCompleted { service, .. }
            | Self::RequestUnknown { service, .. }
            | Self::AttemptStarted { service, .. }
            | Self::AttemptFinished { service, .. }
            | Self::RetryGranted { service, .. }
            | Self::RetryDenied { service, .. }
            | Self::ClaimDecided { service, .. }
            | Self::ImportanceBreached { service, .. }
            | Self::UpstreamAnnounced { service, .. }
            | Self::UpstreamLeft { service, .. }
            | Self::UpstreamEnded { service, .. }
            | Self::LimitChanged { service, .. } => Some(service),
            _ => None,
        }
    }
}
