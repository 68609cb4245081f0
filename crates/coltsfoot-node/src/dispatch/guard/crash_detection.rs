//! How the guard finds that the upstream beside it has ended unplanned.
//!
//! A call that breaks off says little: answers get lost, garbled, cut. The upstream has ended if its address refuses
//! connections just after, or if another life of it announces itself. One that says that it leaves ends as planned.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use coltsfoot_wire::peer::CallRequest;
use coltsfootroute::{event::EventKind, membership::InstanceName, quarantine::CrashId};
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

/// Calls that break off within so long of the first belong to one end: a process closes its connections at once.
const INTERRUPTION_WINDOW: Duration = Duration::from_millis(500);
/// Pauses before the connections that ask whether the upstream is still there. The listener of a process that ends may
/// outlast its connections for a moment.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(250)];
/// Time to open a connection to a process on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An upstream that is back under another name so soon has ended when its calls broke off.
const RESTART_WINDOW: Duration = Duration::from_secs(10);
/// Time in which all calls that broke off with the upstream have been noted: they end in the same round of events.
const GATHER_DELAY: Duration = Duration::from_millis(5);

impl CallGuard {
    /// A call has broken off at the life `instance` of the upstream at `address`.
    pub(super) fn record_interrupted_call(
        self: &Rc<Self>,
        call: &CallRequest,
        span: &CallSpan,
        address: SocketAddr,
        instance: Option<InstanceName>,
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

    /// The upstream has answered a call, whatever it says: the call did not end it.
    pub(super) fn record_answer(self: &Rc<Self>, call: &CallRequest, span: &CallSpan) {
        let content = call_content(call);
        self.answered.borrow_mut().record(self.context.now(), &content.parts());
        self.quarantine.note_answer(|| span.fingerprint(content));
    }

    /// Another life of the upstream has announced itself.
    pub(super) fn note_new_instance(self: &Rc<Self>, instance: Option<&InstanceName>) {
        let now = self.context.now();
        let crash = self.interrupted_calls.borrow().as_ref().and_then(|calls| {
            let is_next = calls.instance.as_ref() != instance;
            let is_soon = now.since(calls.since) <= RESTART_WINDOW;
            (is_next && is_soon && !calls.has_crashed).then_some(calls.crash)
        });
        if let Some(crash) = crash {
            self.conclude_crash(crash, false);
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
            // It may have said meanwhile that it leaves.
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
                instance: interrupted.instance,
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

/// What a call asks for.
pub(super) fn call_content(call: &CallRequest) -> CallContent<'_> {
    CallContent {
        service: &call.service,
        operation: &call.operation,
        team: call.team.as_ref(),
        head: call.head.as_ref(),
        body: &call.body,
    }
}

/// Whether nobody listens at `address`. Any other failure, such as want of descriptors, says nothing of the upstream.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
