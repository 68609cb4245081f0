//! Kinds of events.

use std::net::SocketAddr;

use super::{
    ClaimOutcome, DenialReason, EventLevel, incarnation_form::IncarnationForm,
    key_values::KeyValues, request_text,
};
use crate::{
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    membership::InstanceName,
    name::{DomainName, OperationName, OperatorName, RegionName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    quarantine::{CrashId, RequestFingerprint},
};

event_kinds! {
    /// The process has started.
    Started("started", Info) {
        /// Its incarnation.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
        /// Its region.
        region: RegionName,
        /// Its failure domain.
        domain: DomainName,
    }
    /// The listeners are open.
    Listening("listening", Info) {
        /// Clients' listener.
        client: SocketAddr,
        /// Host listener.
        host: SocketAddr,
        /// Peers' listener.
        peer: SocketAddr,
    }
    /// The process stops.
    Stopped("stopped", Info) {
        /// Requests still in flight, cut off by the stop.
        interrupted: u32,
    }
    /// A request was admitted in front of the upstream.
    RequestAdmitted("request-admitted", Debug) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Its importance.
        importance: Importance,
        /// Calls in flight with this one.
        in_flight: u32,
        /// Limit on calls in flight.
        limit: u32,
    }
    /// A request was refused.
    RequestRefused("request-refused", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Its importance.
        importance: Importance,
        /// Why.
        reason: RefusalReason,
        /// What the caller was told.
        outcome: CallOutcome,
        /// Upstreams tried; 0 where the request was refused as it came in.
        attempts: u32,
        /// Service whose level refused it as it came in; absent where it was refused elsewhere.
        shed_by: Option<ServiceName>,
        /// Level of that service, or else of the service called, as this node knew it: thousandths of an
        /// importance shed.
        severity: u16,
        /// Configuration that was in force.
        revision: u64,
        /// Time from arrival to the refusal.
        elapsed_us: u64,
    }
    /// The guard did not let a call through to the upstream beside it.
    GuardRefused("guard-refused", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Importance of the client request.
        importance: Importance,
        /// Why.
        reason: RefusalReason,
        /// Calls in flight to the upstream.
        in_flight: u32,
        /// Limit on them.
        limit: u32,
        /// Calls that wait.
        queued: u32,
    }
    /// The upstream beside the node gave no usable answer to a call.
    UpstreamCallFailed("upstream-call-failed", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// What went wrong.
        error: String,
        /// Life of the upstream, if it names itself.
        instance: Option<InstanceName>,
        /// Time from sending to the failure.
        elapsed_us: u64,
    }
    /// The upstream beside the node ended with calls under way, unplanned.
    UpstreamEnded("upstream-ended", Warn) {
        /// Its service.
        service: ServiceName,
        /// Its address.
        upstream: SocketAddr,
        /// Its life, if it names itself.
        instance: Option<InstanceName>,
        /// This end.
        crash: CrashId,
        /// Calls that broke off with it.
        cut_off: u32,
        /// Whether it shows by a refused connection; else by the start of another life.
        refused: bool,
    }
    /// A call broke off when its upstream ended. At most 128 of one end are told.
    RequestSuspected("request-suspected", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// What it asked for.
        fingerprint: RequestFingerprint,
        /// The end.
        crash: CrashId,
        /// Whether the same was answered there of late, which clears it.
        answered: bool,
    }
    /// A request is held back from here on, or let go.
    QuarantineChanged("quarantine-changed", Warn) {
        /// What it asks for.
        fingerprint: RequestFingerprint,
        /// Changes of the case until now.
        term: u32,
        /// Whether it is held back.
        held: bool,
        /// Ends of upstreams that speak against it; 0 where others told of it.
        crashes: u32,
    }
    /// A request was refused since the same has ended its upstreams.
    QuarantineRefused("quarantine-refused", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// What it asks for.
        fingerprint: RequestFingerprint,
        /// Changes of the case until now.
        term: u32,
    }
    /// A request that is held back is run once, to see whether it still ends its upstream.
    QuarantineTrial("quarantine-trial", Warn) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// What it asks for.
        fingerprint: RequestFingerprint,
    }
    /// A request was turned away before a service was found for it.
    RequestDenied("request-denied", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// HTTP status of the answer.
        status: u16,
        /// Configuration that was in force, 0 before the first.
        revision: u64,
    }
    /// A heartbeat of the upstream beside the node was not taken.
    HeartbeatIgnored("heartbeat-ignored", Info) {
        /// Life of the upstream that sent it.
        instance: InstanceName,
        /// Its number.
        sequence: u64,
        /// Whether the life has departed; else a newer heartbeat was heard before.
        departed: bool,
    }
    /// What the upstream beside the node said was not acknowledged; it says it again.
    NotAcknowledged("not-acknowledged", Warn) {
        /// Life of the upstream.
        instance: InstanceName,
        /// Whether it leaves, and nothing that outlasts this node tells of it yet; else what the life before this one wrote
        /// has not been read.
        leaving: bool,
    }
    /// A request has its complete answer.
    RequestCompleted("request-completed", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// HTTP status of the answer.
        status: u16,
        /// Time from arrival to answer.
        elapsed_us: u64,
    }
    /// A request ended without an answer that tells whether it ran.
    RequestUnknown("request-unknown", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Why.
        reason: RefusalReason,
        /// Status of the upstream's own failure; 0 where there is no answer of it.
        status: u16,
        /// Upstreams tried.
        attempts: u32,
        /// Time from arrival to the end.
        elapsed_us: u64,
    }
    /// An attempt of a call was sent.
    AttemptStarted("attempt-started", Debug) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Node beside the chosen upstream.
        guard: NodeId,
        /// 1 for the first attempt.
        attempt: u32,
    }
    /// An attempt of a call ended.
    AttemptFinished("attempt-finished", Debug) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Node beside the chosen upstream.
        guard: NodeId,
        /// 1 for the first attempt.
        attempt: u32,
        /// How it ended.
        outcome: CallOutcome,
        /// Time from sending to the end.
        elapsed_us: u64,
    }
    /// A retry took a token of the request's account.
    RetryGranted("retry-granted", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service to be called again.
        service: ServiceName,
        /// Tokens left in the account.
        remaining: u32,
    }
    /// A retry was denied.
    RetryDenied("retry-denied", Info) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service that is not called again.
        service: ServiceName,
        /// Why.
        reason: DenialReason,
    }
    /// A claim on an idempotency key was decided.
    ClaimDecided("claim-decided", Debug) {
        /// The client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// How.
        outcome: ClaimOutcome,
    }
    /// A request was refused for overload while less important work was admitted.
    ImportanceBreached("importance-breached", Error) {
        /// The client request refused.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Importance refused.
        refused: Importance,
        /// Lower importance admitted meanwhile.
        admitted: Importance,
    }
    /// A submitted configuration was accepted.
    RevisionAccepted("revision-accepted", Info) {
        /// Its revision.
        revision: u64,
        /// Who submitted it.
        operator: OperatorName,
        /// Digest of the schema, hexadecimal.
        digest: String,
    }
    /// A configuration came into force at this node.
    RevisionInForce("revision-in-force", Info) {
        /// Its revision.
        revision: u64,
        /// The revision in force before, if any.
        previous: Option<u64>,
        /// The peer that it came from; absent: the store.
        from: Option<NodeId>,
        /// Time until it was in force, from when the store told the configuration duty of it or the peer was asked.
        waited_ms: u64,
    }
    /// A member was found up.
    MemberUp("member-up", Info) {
        /// The member.
        member: NodeId,
        /// Its incarnation.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member does not answer and is suspected.
    MemberSuspect("member-suspect", Info) {
        /// The member.
        member: NodeId,
        /// The incarnation suspected.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member is held to be down.
    MemberDown("member-down", Warn) {
        /// The member.
        member: NodeId,
        /// The incarnation that is down.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member left as planned.
    MemberLeft("member-left", Info) {
        /// The member.
        member: NodeId,
        /// The incarnation that left.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// The upstream beside the node announced itself.
    UpstreamAnnounced("upstream-announced", Info) {
        /// Its service.
        service: ServiceName,
        /// Its address.
        upstream: SocketAddr,
        /// Requests it runs at once.
        slots: u32,
        /// Connections it takes.
        connections: u32,
    }
    /// The upstream beside the node left, or its heartbeat stopped.
    UpstreamLeft("upstream-left", Info) {
        /// Its service.
        service: ServiceName,
        /// Its address.
        upstream: SocketAddr,
    }
    /// A graceful shutdown has begun; new work is refused from here on.
    DrainBegun("drain-begun", Info) {
        /// Requests in flight.
        in_flight: u32,
    }
    /// A graceful shutdown takes longer than its bound; it waits on.
    DrainOverdue("drain-overdue", Warn) {
        /// Requests in flight.
        in_flight: u32,
        /// Time since the drain began.
        waited_ms: u64,
    }
    /// Nothing is in flight any more.
    Drained("drained", Info) {
        /// Time since the drain began.
        elapsed_ms: u64,
    }
    /// The platform's store answers again.
    StoreUp("store-up", Info) {
        /// How long it did not answer.
        down_ms: u64,
    }
    /// The platform's store does not answer.
    StoreDown("store-down", Warn) {
        /// The error of the last try.
        error: String,
    }
    /// The host was suspended, and runs again.
    HostSuspended("host-suspended", Warn) {
        /// How long.
        suspended_ms: u64,
    }
    /// The limit on calls in flight to the upstream changed.
    LimitChanged("limit-changed", Debug) {
        /// Service of the upstream.
        service: ServiceName,
        /// The limit before.
        previous: u32,
        /// The limit now.
        limit: u32,
    }
}
