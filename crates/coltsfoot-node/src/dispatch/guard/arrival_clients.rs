//! HTTP clients of the upstream, one for each arrival of a request.

use std::time::Duration;

use coltsfootroute::retry::ArrivalNumber;

use crate::http::{OutgoingClient, OutgoingSettings};

/// Time after which an idle connection is closed, well before an upstream would close it (usually after 5 s or more):
/// if the upstream closes a connection while a call is being sent, the call may have run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a connection with unacknowledged data is closed: on one host an acknowledgement takes
/// microseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
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
    /// Clients of the first, second and further arrivals; [`KEPT_ARRIVALS`] of them.
    kept: Vec<OutgoingClient>,
    /// Client of later arrivals, which opens a connection for each.
    unkept: OutgoingClient,
}

impl ArrivalClients {
    /// Creates clients without connections, for answers with a body of at most `body_limit` bytes.
    pub(super) fn new(body_limit: usize) -> Self {
        let kept = || settings(Some(IDLE_TIMEOUT), body_limit).client();
        Self {
            kept: std::iter::repeat_with(kept).take(KEPT_ARRIVALS).collect(),
            unkept: settings(None, body_limit).client(),
        }
    }

    /// Returns the client that carries the arrival with `number`.
    pub(super) fn client(&self, number: ArrivalNumber) -> &OutgoingClient {
        let index = usize::try_from(number.0.saturating_sub(1)).unwrap_or(usize::MAX);
        self.kept.get(index).unwrap_or(&self.unkept)
    }
}

fn settings(idle_timeout: Option<Duration>, body_limit: usize) -> OutgoingSettings {
    OutgoingSettings {
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout,
        keepalive_retries: KEEPALIVE_RETRIES,
        unacknowledged_time: Some(UNACKNOWLEDGED_TIMEOUT),
        body_limit,
    }
}
