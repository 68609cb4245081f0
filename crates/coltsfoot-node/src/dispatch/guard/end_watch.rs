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
    cut_calls::{CutCall, CutCalls},
};
use crate::dispatch::context::CallContent;

/// Calls that break off within so long of the first belong to one end: a process closes its connections at once.
const BURST: Duration = Duration::from_millis(500);
/// Pauses before the connections that ask whether the upstream is still there. The listener of a process that ends may
/// outlast its connections for a moment.
const ASK_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(250)];
/// Time to open a connection to a process on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An upstream that is back under another name so soon has ended when its calls broke off.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// Time in which all calls that broke off with the upstream have been noted: they end in the same round of events.
const GATHER_TIME: Duration = Duration::from_millis(5);

impl CallGuard {
    /// A call has broken off at the life `instance` of the upstream at `address`.
    pub(super) fn note_cut(
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
        let content = content_of(call);
        let cut = CutCall {
            request: call.request,
            fingerprint: span.fingerprint(content),
            answered: self.answered.borrow_mut().contains(now, &content.parts()),
        };
        let mut open = self.cut_calls.borrow_mut();
        if let Some(calls) = open
            .as_mut()
            .filter(|calls| calls.instance == instance && now.since(calls.since) <= BURST)
        {
            let is_late = calls.add(cut) && calls.has_ended;
            let crash = calls.crash;
            drop(open);
            if is_late {
                self.tell_suspects(crash, &[cut]);
            }
            return;
        }
        let crash = CrashId(self.context.rng.borrow_mut().random());
        *open = Some(CutCalls {
            crash,
            address,
            instance,
            since: now,
            calls: vec![cut],
            count: 1,
            has_ended: false,
        });
        drop(open);
        tokio::task::spawn_local(self.clone().ask_whether_ended(crash, address));
    }

    /// The upstream has answered a call, whatever it says: the call did not end it.
    pub(super) fn note_answered(self: &Rc<Self>, call: &CallRequest, span: &CallSpan) {
        let content = content_of(call);
        self.answered.borrow_mut().record(self.context.now(), &content.parts());
        self.quarantine.note_answer(|| span.fingerprint(content));
    }

    /// Another life of the upstream has announced itself.
    pub(super) fn note_next_life(self: &Rc<Self>, instance: Option<&InstanceName>) {
        let now = self.context.now();
        let crash = self.cut_calls.borrow().as_ref().and_then(|calls| {
            let is_next = calls.instance.as_ref() != instance;
            let is_soon = now.since(calls.since) <= RESTART_TIME;
            (is_next && is_soon && !calls.has_ended).then_some(calls.crash)
        });
        if let Some(crash) = crash {
            self.conclude_end(crash, false);
        }
    }

    async fn ask_whether_ended(self: Rc<Self>, crash: CrashId, address: SocketAddr) {
        for pause in ASK_PAUSES {
            sleep(pause).await;
            if refuses(address).await {
                sleep(GATHER_TIME).await;
                self.conclude_end(crash, true);
                return;
            }
        }
    }

    fn conclude_end(self: &Rc<Self>, crash: CrashId, refused: bool) {
        let ended = {
            let mut open = self.cut_calls.borrow_mut();
            let Some(calls) = open.as_mut().filter(|calls| calls.crash == crash) else { return };
            // It may have said meanwhile that it leaves.
            if std::mem::replace(&mut calls.has_ended, true) || self.has_withdrawn() {
                return;
            }
            calls.clone()
        };
        self.context.metrics.requests.upstream_ended();
        if let Some(service) = self.service() {
            self.context.events.emit(EventKind::UpstreamEnded {
                service,
                upstream: ended.address,
                instance: ended.instance,
                crash,
                cut_off: ended.count,
                refused,
            });
        }
        self.tell_suspects(crash, &ended.calls);
    }

    fn tell_suspects(&self, crash: CrashId, calls: &[CutCall]) {
        for CutCall { request, fingerprint, answered } in calls.iter().copied() {
            let suspected = EventKind::RequestSuspected { request, fingerprint, crash, answered };
            self.context.events.emit(suspected);
        }
        let suspects = calls.iter().filter(|cut| !cut.answered).map(|cut| cut.fingerprint);
        self.quarantine.report(crash, suspects.collect());
    }
}

/// What a call asks for.
pub(super) fn content_of(call: &CallRequest) -> CallContent<'_> {
    CallContent {
        service: &call.service,
        operation: &call.operation,
        team: call.team.as_ref(),
        head: call.head.as_ref(),
        body: &call.body,
    }
}

/// Whether nobody listens at `address`. Any other failure, such as want of descriptors, says nothing of the upstream.
async fn refuses(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
}
