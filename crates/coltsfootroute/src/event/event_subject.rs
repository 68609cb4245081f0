//! Request and service to which an event relates.

use super::EventKind;
use crate::{id::RequestId, name::ServiceName};

impl EventKind {
    /// Returns the client request that the event belongs to; `None` if it belongs to none.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::RequestAdmitted { request, .. }
            | Self::RequestRefused { request, .. }
            | Self::RequestCompleted { request, .. }
            | Self::RequestDenied { request, .. }
            | Self::QuarantineRefused { request, .. }
            | Self::GuardRefused { request, .. }
            | Self::UpstreamCallFailed { request, .. }
            | Self::UpstreamCallAnswered { request, .. }
            | Self::RequestUnknown { request, .. }
            | Self::AttemptStarted { request, .. }
            | Self::AttemptFinished { request, .. }
            | Self::RetryGranted { request, .. }
            | Self::RetryDenied { request, .. }
            | Self::ClaimDecided { request, .. }
            | Self::ImportanceBreached { request, .. }
            | Self::UpstreamLimitChanged { request, .. }
            | Self::TeamShareApplied { request, .. }
            | Self::UpstreamNoticeAdopted { request, .. }
            | Self::UpstreamNoticeReceived { request, .. }
            | Self::UpstreamLimitUnreadable { request, .. }
            | Self::UpstreamLeaveAnswered { request, .. } => Some(*request),
            _ => None,
        }
    }

    /// Returns the service to which the event relates; `None` if there is none.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::RequestAdmitted { service, .. }
            | Self::GuardRefused { service, .. }
            | Self::UpstreamCallFailed { service, .. }
            | Self::UpstreamCallAnswered { service, .. }
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
            | Self::UpstreamLimitChanged { service, .. }
            | Self::TeamShareApplied { service, .. }
            | Self::UpstreamNoticeAdopted { service, .. }
            | Self::UpstreamNoticeReceived { service, .. }
            | Self::UpstreamLimitUnreadable { service, .. }
            | Self::UpstreamLeaveAnswered { service, .. }
            | Self::LimitChanged { service, .. } => Some(service),
            _ => None,
        }
    }
}
