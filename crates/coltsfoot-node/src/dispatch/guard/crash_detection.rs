//! Detection of crashes of the upstream beside the node.
//!
//! An interrupted call alone doesn't prove a crash: answers can get lost, garbled or truncated. The upstream has
//! crashed if its address refuses connections shortly afterwards, or if another incarnation of it announces itself. An
//! upstream that has announced its leave terminates as planned.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use coltsfoot_wire::peer::CallRequest;
use coltsfootroute::{event::EventKind, membership::InstanceIncarnation, quarantine::CrashId};
use rand::RngExt;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    call_guard::CallGuard,
    calls_in_flight::CallSpan,
    interrupted_calls::{InterruptedCall, InterruptedCalls},
};
use crate::dispatch::context::CallContent;

/// Time after the first interrupted call within which further ones belong to the same crash: a process that terminates
/// closes all its connections together.
const INTERRUPTION_WINDOW: Duration = Duration::from_millis(500);
/// Delays before the connection attempts that test whether the upstream still listens. The listener of a process that
/// terminates may outlast its connections for a moment.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(250)];
/// Timeout for opening a connection to a process on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay until all calls interrupted by a crash are recorded: their connections close in the same iteration of the
/// event loop.
const GATHER_DELAY: Duration = Duration::from_millis(5);

impl CallGuard {
    /// Records a call that was interrupted at the incarnation `instance` of the upstream at `address`, and starts the test
    /// for a crash.
    pub(super) fn record_interrupted_call(
        self: &Rc<Self>,
        call: &CallRequest,
        span: &CallSpan,
        address: SocketAddr,
        instance: Option<InstanceIncarnation>,
    ) {
        if self.has_withdrawn() {
            return;
        }
        let now = self.context.now();
        let content = call_content(call);
        let cut = InterruptedCall {
            request: call.request,
            fingerprint: span.fingerprint(content),
            answered: self.answered.borrow_mut().contains(now, &content.parts()),
        };
        let mut open = self.interrupted_calls.borrow_mut();
        if let Some(calls) = open.as_mut().filter(|calls| {
            calls.instance == instance && now.since(calls.since) <= INTERRUPTION_WINDOW
        }) {
            let is_late = calls.add(cut) && calls.has_crashed;
            let crash = calls.crash;
            drop(open);
            if is_late {
                self.report_suspects(crash, &[cut]);
            }
            return;
        }
        let crash = CrashId(self.context.rng.borrow_mut().random());
        *open = Some(InterruptedCalls {
            crash,
            address,
            instance,
            since: now,
            calls: vec![cut],
            count: 1,
            has_crashed: false,
        });
        drop(open);
        tokio::task::spawn_local(self.clone().probe_for_crash(crash, address));
    }

    /// Records that the upstream has answered a call, with any status: the call did not crash it.
    pub(super) fn record_answer(self: &Rc<Self>, call: &CallRequest, span: &CallSpan) {
        let content = call_content(call);
        self.answered.borrow_mut().record(self.context.now(), &content.parts());
        self.quarantine.note_answer(|| span.fingerprint(content));
    }

    /// Concludes a crash if an incarnation other than the one with interrupted calls announces itself soon after. It may
    /// have the same name.
    pub(super) fn note_new_instance(self: &Rc<Self>, instance: Option<&InstanceIncarnation>) {
        let now = self.context.now();
        let crash = self.interrupted_calls.borrow().as_ref().and_then(|calls| {
            (calls.precede(instance, now) && !calls.has_crashed).then_some(calls.crash)
        });
        if let Some(crash) = crash {
            self.conclude_crash(crash, false);
        }
    }

    /// Notes that the current incarnation has probably crashed, if its calls were interrupted and another one sends
    /// heartbeats. The other one may then take its place, though its start time looks older.
    pub(super) fn note_successor(&self, instance: &InstanceIncarnation) {
        let now = self.context.now();
        let interrupted = self.interrupted_calls.borrow();
        let calls = interrupted.as_ref().filter(|calls| calls.precede(Some(instance), now));
        if let Some(interrupted) = calls.and_then(|calls| calls.instance.as_ref()) {
            self.state.instances.borrow_mut().note_crash(interrupted);
        }
    }

    async fn probe_for_crash(self: Rc<Self>, crash: CrashId, address: SocketAddr) {
        for pause in PROBE_DELAYS {
            sleep(pause).await;
            if refuses_connections(address).await {
                sleep(GATHER_DELAY).await;
                self.conclude_crash(crash, true);
                return;
            }
        }
    }

    fn conclude_crash(self: &Rc<Self>, crash: CrashId, refused: bool) {
        let interrupted = {
            let mut open = self.interrupted_calls.borrow_mut();
            let Some(calls) = open.as_mut().filter(|calls| calls.crash == crash) else { return };
            // The upstream may have announced its leave in the meantime.
            if std::mem::replace(&mut calls.has_crashed, true) || self.has_withdrawn() {
                return;
            }
            calls.clone()
        };
        self.context.metrics.requests.upstream_ended();
        if let Some(service) = self.service() {
            self.context.events.emit(EventKind::UpstreamEnded {
                service,
                upstream: interrupted.address,
                instance: interrupted.instance.map(|instance| instance.name),
                crash,
                cut_off: interrupted.count,
                refused,
            });
        }
        self.report_suspects(crash, &interrupted.calls);
    }

    fn report_suspects(&self, crash: CrashId, calls: &[InterruptedCall]) {
        for InterruptedCall { request, fingerprint, answered } in calls.iter().copied() {
            let suspected = EventKind::RequestSuspected { request, fingerprint, crash, answered };
            self.context.events.emit(suspected);
        }
        let suspects = calls.iter().filter(|cut| !cut.answered).map(|cut| cut.fingerprint);
        self.quarantine.report(crash, suspects.collect());
    }
}

/// Returns the content of a call, from which its fingerprint is computed.
pub(super) fn call_content(call: &CallRequest) -> CallContent<'_> {
    CallContent {
        service: &call.service,
        operation: &call.operation,
        team: call.team.as_ref(),
        head: call.head.as_ref(),
        body: &call.body,
    }
}

/// Returns whether `address` refuses connections. Any other failure, such as a lack of file descriptors, says nothing
/// about the upstream.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
