//! HTTP clients of the upstream, one for each arrival of a request.

use std::time::Duration;

use coltsfootroute::retry::ArrivalNumber;

use crate::http::{OutgoingClient, OutgoingSettings};

/// Time after which an idle connection is closed, well before an upstream would close it (usually after 5 s or more):
/// if the upstream closes a connection while a call is being sent, the call may have run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a connection with unacknowledged data is closed: on one host an acknowledgement takes
/// microseconds, unless the upstream does not read.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest body in bytes that the system takes for an upstream that does not read. While one reads a larger body slowly, data
/// may stay unacknowledged for as long as it likes; only the deadline of the call ends that.
const MAX_BUFFERED_BODY_BYTES: usize = 8 * 1024;
/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Timeout for opening a connection to a process on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of arrivals of one request that use kept connections: as many as one caller makes at most.
const KEPT_ARRIVALS: usize = 6;

/// HTTP clients of the upstream, each with connections of its own.
///
/// Invariant: no connection carries a request twice. An upstream may send an answer again, and the copy bears the same
/// identity as the answer to a later arrival of the request.
pub(super) struct ArrivalClients {
    /// Clients of requests whose body the system takes at once.
    quick: ClientSet,
    /// Clients of requests with a larger body, which wait for an upstream that reads slowly.
    patient: ClientSet,
}

/// Clients of requests of one kind, by the number of the arrival.
struct ClientSet {
    /// Clients of the first, second and further arrivals; [`KEPT_ARRIVALS`] of them.
    kept: Vec<OutgoingClient>,
    /// Client of later arrivals, which opens a connection for each.
    unkept: OutgoingClient,
}

impl ArrivalClients {
    /// Creates clients without connections, for answers with a body of at most `body_limit` bytes.
    pub(super) fn new(body_limit: usize) -> Self {
        Self {
            quick: ClientSet::new(Some(UNACKNOWLEDGED_TIMEOUT), body_limit),
            patient: ClientSet::new(None, body_limit),
        }
    }

    /// Returns the client that carries the arrival with `number` of a request with a body of `body_bytes`.
    pub(super) fn client(&self, number: ArrivalNumber, body_bytes: usize) -> &OutgoingClient {
        let set = if body_bytes > MAX_BUFFERED_BODY_BYTES { &self.patient } else { &self.quick };
        let index = usize::try_from(number.0.saturating_sub(1)).unwrap_or(usize::MAX);
        set.kept.get(index).unwrap_or(&set.unkept)
    }
}

impl ClientSet {
    fn new(unacknowledged_time: Option<Duration>, body_limit: usize) -> Self {
        let client = |idle_timeout| {
            let settings = OutgoingSettings {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout,
                keepalive_retries: KEEPALIVE_RETRIES,
                unacknowledged_time,
                body_limit,
            };
            settings.client()
        };
        Self {
            kept: (0..KEPT_ARRIVALS).map(|_| client(Some(IDLE_TIMEOUT))).collect(),
            unkept: client(None),
        }
    }
}
