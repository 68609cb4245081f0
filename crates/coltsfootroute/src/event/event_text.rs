//! Text of a field's value.

use std::{fmt, net::SocketAddr};

use super::{ClaimOutcome, DenialReason};
use crate::{
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    membership::InstanceName,
    name::{DomainName, OperationName, OperatorName, RegionName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    quarantine::{CrashId, RequestFingerprint},
};

/// A value that an event's field can hold. Absent values have no text and are left out of the line.
pub(super) trait EventText {
    /// The value as it is shown, before escaping.
    fn event_text(&self) -> Option<&dyn fmt::Display>;
}

macro_rules! impl_event_text {
    ($($type:ty),* $(,)?) => {
        $(impl EventText for $type {
            fn event_text(&self) -> Option<&dyn fmt::Display> {
                Some(self)
            }
        })*
    };
}

impl_event_text!(
    bool,
    u16,
    u32,
    u64,
    String,
    SocketAddr,
    ClaimOutcome,
    DenialReason,
    Incarnation,
    NodeId,
    RequestId,
    Importance,
    DomainName,
    OperationName,
    OperatorName,
    RegionName,
    ServiceName,
    InstanceName,
    CallOutcome,
    RefusalReason,
    CrashId,
    RequestFingerprint,
);

impl<T: EventText> EventText for Option<T> {
    fn event_text(&self) -> Option<&dyn fmt::Display> {
        self.as_ref().and_then(T::event_text)
    }
}
