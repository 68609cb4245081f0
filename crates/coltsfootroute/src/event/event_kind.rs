//! Kinds of events with their levels and fields.

use std::net::SocketAddr;

use super::{
    ClaimOutcome, DenialReason, EventLevel, incarnation_form::IncarnationForm,
    key_values::KeyValues, request_text,
};
use crate::{
    id::{Incarnation, NodeId, RequestId},
    importance::Importance,
    membership::{InstanceName, StartTime},
    name::{DomainName, OperationName, OperatorName, RegionName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    quarantine::{CrashId, RequestFingerprint},
    retry::ArrivalNumber,
};

event_kinds! {
    /// The process has started.
    Started("started", Info) {
        /// Incarnation of the process.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
        /// Region of the node.
        region: RegionName,
        /// Failure domain of the node.
        domain: DomainName,
    }
    /// The listeners are open.
    Listening("listening", Info) {
        /// Address of the client listener.
        client: SocketAddr,
        /// Address of the host listener.
        host: SocketAddr,
        /// Address of the peer listener.
        peer: SocketAddr,
    }
    /// The process is stopping.
    Stopped("stopped", Info) {
        /// Number of answers that are cut off because the grace time of the stop is over.
        interrupted: u32,
    }
    /// The guard beside the upstream admitted a request.
    RequestAdmitted("request-admitted", Debug) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Importance of the client request.
        importance: Importance,
        /// Number of calls in flight, including this one.
        in_flight: u32,
        /// Limit on the number of calls in flight.
        limit: u32,
    }
    /// A request was refused.
    RequestRefused("request-refused", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Importance of the client request.
        importance: Importance,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Outcome reported to the caller.
        outcome: CallOutcome,
        /// Number of upstreams tried; 0 if the request was refused on arrival.
        attempts: u32,
        /// Service whose shed level caused the refusal on arrival; absent if the request was refused later.
        shed_by: Option<ServiceName>,
        /// Shed level of that service, or else of the called service, as known to this node, in thousandths of an
        /// importance.
        severity: u16,
        /// Revision of the configuration in force.
        revision: u64,
        /// Time from arrival to refusal.
        elapsed_us: u64,
    }
    /// The guard rejected a call to the upstream beside it.
    GuardRefused("guard-refused", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Importance of the client request.
        importance: Importance,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Number of calls in flight to the upstream.
        in_flight: u32,
        /// Limit on the number of calls in flight.
        limit: u32,
        /// Number of waiting calls.
        queued: u32,
        /// Limit that the upstream names, in thousandths of a request per second; absent if it names none.
        upstream_limit_milli: Option<u64>,
        /// Calls that this limit still has room for, in thousandths; absent if it does not apply.
        upstream_tokens_milli: Option<u64>,
    }
    /// The upstream beside the node returned no usable response to a call.
    UpstreamCallFailed("upstream-call-failed", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Description of the failure.
        error: String,
        /// Instance of the upstream; absent if the upstream doesn't report its name.
        instance: Option<InstanceName>,
        /// Number of the request's arrival at this upstream; absent if requests have no identity of their own.
        arrival: Option<ArrivalNumber>,
        /// Local port of the connection that carried the call; absent if there was none.
        connection: Option<u16>,
        /// Time from sending to the failure.
        elapsed_us: u64,
    }
    /// The upstream answered a call that reports a failure, or that was not the request's first arrival.
    UpstreamCallAnswered("upstream-call-answered", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// HTTP status.
        status: u16,
        /// Instance of the upstream; absent if the upstream doesn't report its name.
        instance: Option<InstanceName>,
        /// Number of the request's arrival at this upstream; absent if requests have no identity of their own.
        arrival: Option<ArrivalNumber>,
        /// Local port of the connection that carried the call; absent if there was none.
        connection: Option<u16>,
        /// Time from sending to the answer.
        elapsed_us: u64,
    }
    /// The upstream beside the node terminated unexpectedly while calls were in flight.
    UpstreamEnded("upstream-ended", Warn) {
        /// Service of the upstream.
        service: ServiceName,
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Instance of the upstream; absent if the upstream doesn't report its name.
        instance: Option<InstanceName>,
        /// Identity of the crash.
        crash: CrashId,
        /// Number of calls interrupted by the crash.
        cut_off: u32,
        /// Whether the crash was detected by a refused connection; otherwise by the start of another instance.
        refused: bool,
    }
    /// A call was interrupted when its upstream crashed. At most 128 of these events are recorded per crash.
    RequestSuspected("request-suspected", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Crash of the upstream.
        crash: CrashId,
        /// Whether the upstream beside the node recently answered the same request, which clears it of suspicion.
        answered: bool,
    }
    /// A request was quarantined or released from quarantine.
    QuarantineChanged("quarantine-changed", Warn) {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Number of changes of the quarantine case.
        term: u32,
        /// Whether the request is quarantined.
        held: bool,
        /// Number of upstream crashes attributed to the request; 0 if peers reported the case.
        crashes: u32,
    }
    /// A request was refused because requests with its fingerprint crashed their upstreams.
    QuarantineRefused("quarantine-refused", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Number of changes of the quarantine case.
        term: u32,
    }
    /// A quarantined request is run once to determine whether it still crashes its upstream.
    QuarantineTrial("quarantine-trial", Warn) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    }
    /// A request was rejected before a service was found for it.
    RequestDenied("request-denied", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// HTTP status of the response.
        status: u16,
        /// Revision of the configuration in force; 0 before the first.
        revision: u64,
    }
    /// A heartbeat of the upstream beside the node was ignored.
    HeartbeatIgnored("heartbeat-ignored", Info) {
        /// Instance of the upstream that sent the heartbeat.
        instance: InstanceName,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Whether the instance has departed; otherwise a newer heartbeat was received earlier.
        departed: bool,
    }
    /// A leave does not apply to the upstream beside the node, which keeps serving.
    LeaveIgnored("leave-ignored", Info) {
        /// Instance that leaves.
        instance: InstanceName,
        /// Start time of the incarnation that leaves, if it is known.
        started: Option<StartTime>,
        /// Instance of the upstream.
        current: InstanceName,
        /// Start time of the upstream, if it reports one.
        current_started: Option<StartTime>,
    }
    /// A message of the upstream beside the node was not acknowledged; the upstream sends it again.
    NotAcknowledged("not-acknowledged", Warn) {
        /// Instance of the upstream.
        instance: InstanceName,
        /// Whether the upstream is leaving and its departure isn't yet recorded outside this node; otherwise the rows
        /// written by this node's previous incarnation have not been read.
        leaving: bool,
    }
    /// A request received its complete response.
    RequestCompleted("request-completed", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// HTTP status of the response.
        status: u16,
        /// Time from arrival to response.
        elapsed_us: u64,
    }
    /// A request ended without a response that shows whether it ran.
    RequestUnknown("request-unknown", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Status of the upstream's failure response; 0 if there is none.
        status: u16,
        /// Number of upstreams tried.
        attempts: u32,
        /// Time from arrival to the end.
        elapsed_us: u64,
    }
    /// An attempt of a call was sent.
    AttemptStarted("attempt-started", Debug) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Node beside the chosen upstream.
        guard: NodeId,
        /// Number of the attempt, from 1.
        attempt: u32,
    }
    /// An attempt of a call ended.
    AttemptFinished("attempt-finished", Debug) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Node beside the chosen upstream.
        guard: NodeId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: CallOutcome,
        /// Time from sending to the end of the attempt.
        elapsed_us: u64,
    }
    /// A retry acquired a token from the request's account.
    RetryGranted("retry-granted", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service to be called again.
        service: ServiceName,
        /// Number of tokens remaining in the account.
        remaining: u32,
    }
    /// A retry was denied.
    RetryDenied("retry-denied", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service that is not called again.
        service: ServiceName,
        /// Reason for the denial.
        reason: DenialReason,
    }
    /// A claim on an idempotency key was decided.
    ClaimDecided("claim-decided", Debug) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Operation called.
        operation: OperationName,
        /// Outcome of the claim.
        outcome: ClaimOutcome,
    }
    /// A request was refused for overload while less important work was admitted.
    ImportanceBreached("importance-breached", Error) {
        /// Identity of the refused client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Importance of the refused request.
        refused: Importance,
        /// Lower importance of the work admitted meanwhile.
        admitted: Importance,
    }
    /// A submitted configuration was accepted.
    RevisionAccepted("revision-accepted", Info) {
        /// Revision of the configuration.
        revision: u64,
        /// Operator who submitted the configuration.
        operator: OperatorName,
        /// Digest of the schema, hexadecimal.
        digest: String,
    }
    /// A configuration was put in force on this node.
    RevisionInForce("revision-in-force", Info) {
        /// Revision of the configuration.
        revision: u64,
        /// Revision in force before; absent if there was none.
        previous: Option<u64>,
        /// Peer that provided the configuration; absent if the store did.
        from: Option<NodeId>,
        /// Time until the configuration was in force, from the store's notification to the configuration duty or the
        /// request to the peer.
        waited_ms: u64,
    }
    /// A member was detected as up.
    MemberUp("member-up", Info) {
        /// Node of the member.
        member: NodeId,
        /// Incarnation of the member.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member does not respond and is suspected.
    MemberSuspect("member-suspect", Info) {
        /// Node of the member.
        member: NodeId,
        /// Suspected incarnation.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member is considered down.
    MemberDown("member-down", Warn) {
        /// Node of the member.
        member: NodeId,
        /// Incarnation that is down.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// A member left as planned.
    MemberLeft("member-left", Info) {
        /// Node of the member.
        member: NodeId,
        /// Incarnation that left.
        #[serde(with = "IncarnationForm")]
        incarnation: Incarnation,
    }
    /// The upstream beside the node announced itself.
    UpstreamAnnounced("upstream-announced", Info) {
        /// Service of the upstream.
        service: ServiceName,
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Number of requests that the upstream runs concurrently.
        slots: u32,
        /// Number of connections that the upstream accepts.
        connections: u32,
    }
    /// The upstream beside the node left, or its heartbeat stopped.
    UpstreamLeft("upstream-left", Info) {
        /// Service of the upstream.
        service: ServiceName,
        /// Address of the upstream.
        upstream: SocketAddr,
    }
    /// A graceful shutdown has begun; new work is refused from now on.
    DrainBegun("drain-begun", Info) {
        /// Number of requests in flight.
        in_flight: u32,
        /// Number of requests whose answers have not been handed over, those in flight included.
        #[serde(default)]
        unsent: u32,
    }
    /// A graceful shutdown exceeded its time limit and continues to wait.
    DrainOverdue("drain-overdue", Warn) {
        /// Number of requests in flight.
        in_flight: u32,
        /// Number of requests whose answers have not been handed over, those in flight included.
        #[serde(default)]
        unsent: u32,
        /// Time since the drain began.
        waited_ms: u64,
    }
    /// The drain is complete: no requests are in flight, and every answer has been handed over.
    Drained("drained", Info) {
        /// Time since the drain began.
        elapsed_ms: u64,
    }
    /// The platform's store responds again.
    StoreUp("store-up", Info) {
        /// Time during which the store did not respond.
        down_ms: u64,
    }
    /// The platform's store does not respond.
    StoreDown("store-down", Warn) {
        /// Error of the last attempt.
        error: String,
    }
    /// The platform's store has come back from an older copy of itself: what was written after the copy may be gone.
    StoreReturned("store-returned", Warn) {
        /// Era of the store before.
        previous_era: u64,
        /// Era of the store from now on.
        era: u64,
    }
    /// The row of the upstream beside a node that has just started was written before the store came back from an older
    /// copy: the upstream may have left since. It serves once a heartbeat shows that it has not.
    UpstreamRowOutdated("upstream-row-outdated", Warn) {
        /// Era of the store in which the row was written.
        row_era: u64,
        /// Era of the store.
        era: u64,
    }
    /// The host was suspended and has resumed.
    HostSuspended("host-suspended", Warn) {
        /// Duration of the suspension.
        suspended_ms: u64,
    }
    /// The upstream beside the node named a limit in an answer, another one than before, or none any more.
    UpstreamLimitChanged("upstream-limit-changed", Info) {
        /// Client request whose answer named it.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service of the upstream.
        service: ServiceName,
        /// Instance of the upstream; absent if the upstream doesn't report its name.
        instance: Option<InstanceName>,
        /// Limit in thousandths of a request per second; absent if the upstream names none any more.
        limit_milli: Option<u64>,
        /// Limit before, in the same unit; absent if the upstream named none.
        previous_milli: Option<u64>,
        /// Time from the sending of the request to its answer.
        elapsed_us: u64,
    }
    /// The guard beside the upstream learned from a caller what the upstream has stated in earlier answers.
    UpstreamNoticeAdopted("upstream-notice-adopted", Info) {
        /// Client request with whose call the caller said so.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service of the upstream.
        service: ServiceName,
        /// Instance of the upstream.
        instance: InstanceName,
        /// Limit in thousandths of a request per second; absent if the caller knows none.
        limit_milli: Option<u64>,
        /// Whether the upstream has said that it is leaving.
        leaving: bool,
    }
    /// A reply told this node what another node's upstream has stated, and it differs from what was known.
    UpstreamNoticeReceived("upstream-notice-received", Info) {
        /// Client request with whose reply it came.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service called.
        service: ServiceName,
        /// Node beside the upstream.
        guard: NodeId,
        /// Instance of the upstream.
        instance: InstanceName,
        /// Limit in thousandths of a request per second; absent if it names none.
        limit_milli: Option<u64>,
        /// Whether it has said that it is leaving.
        leaving: bool,
    }
    /// The upstream beside the node named a limit that is no rate; it is ignored.
    UpstreamLimitUnreadable("upstream-limit-unreadable", Warn) {
        /// Client request whose answer named it.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service of the upstream.
        service: ServiceName,
        /// Value of the header.
        value: String,
    }
    /// The upstream beside the node said in an answer that it is leaving.
    UpstreamLeaveAnswered("upstream-leave-answered", Info) {
        /// Client request whose answer said so.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service of the upstream.
        service: ServiceName,
        /// Instance of the upstream; absent if the upstream doesn't report its name.
        instance: Option<InstanceName>,
    }
    /// A service sheds, and a request was refused because its team uses more of its rate than others; once a second at most.
    TeamShareApplied("team-share-applied", Info) {
        /// Identity of the client request.
        #[serde(with = "request_text")]
        request: RequestId,
        /// Service that sheds.
        service: ServiceName,
        /// Importance of the request.
        importance: Importance,
        /// Shed level of the service, in thousandths of a level of importance.
        severity: u16,
        /// Fraction of this importance that the level admits, in thousandths.
        fraction_milli: u32,
        /// Probability with which this request was admitted, in thousandths.
        probability_milli: u32,
        /// Usage up to which requests are always admitted, in thousandths of the rate; absent if it does not apply.
        limit_milli: Option<u32>,
        /// Requests of the team offered over all nodes, in hundredths of its rate; absent if unknown.
        usage_percent: Option<u16>,
        /// Time since the owner of the team's credit reported the usage, in milliseconds; absent if it never has.
        usage_age_ms: Option<u64>,
    }
    /// The limit on calls in flight to the upstream changed.
    LimitChanged("limit-changed", Debug) {
        /// Service of the upstream.
        service: ServiceName,
        /// Previous limit.
        previous: u32,
        /// Current limit.
        limit: u32,
    }
}
