//! Text form of the values of event fields.

use std::{fmt, net::SocketAddr};

use super::{ClaimOutcome, DenialReason};
use crate::{
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    membership::{InstanceName, StartTime},
    name::{DomainName, OperationName, OperatorName, RegionName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    quarantine::{CrashId, RequestFingerprint},
    retry::ArrivalNumber,
};

/// Value of an event's field. Absent values have no text and are omitted from the log line.
pub(super) trait EventText {
    /// Returns the displayed value before escaping; `None` if the value is absent.
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
    StartTime,
    CallOutcome,
    RefusalReason,
    CrashId,
    RequestFingerprint,
    ArrivalNumber,
);

impl<T: EventText> EventText for Option<T> {
    fn event_text(&self) -> Option<&dyn fmt::Display> {
        self.as_ref().and_then(T::event_text)
    }
}
