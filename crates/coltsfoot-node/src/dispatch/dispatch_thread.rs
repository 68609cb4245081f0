//! The thread of the dispatch duty.

use std::{io, net::TcpListener, rc::Rc, thread, time::Duration};

use coltsfootroute::{event::EventKind, time::SuspensionDetector};
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::interval,
};

use super::{
    DispatchCommand, DispatchHandle,
    dispatch_duty::DispatchDuty,
    dispatch_parts::DispatchParts,
    ingress::{CallOrigin, IncomingCall},
    links::{FinderOptions, accept_peers, discover_nodes, pull_config},
    quarantine_body::{quarantine_reply, release_reply},
};
use crate::{
    border::{ClientFront, RepeatGuard},
    http::HttpReply,
    metrics::{DutyMeter, NodeDuty},
};

/// Maximum number of commands queued for the dispatch duty; calls beyond it are refused.
const MAX_QUEUED_COMMANDS: usize = 4_096;
/// Period of the maintenance tasks, such as closing idle links and detecting a silent upstream.
const UPKEEP_PERIOD: Duration = Duration::from_secs(1);

/// A client front and the listener that it serves.
pub struct BoundFront<F> {
    /// The front.
    pub front: F,
    /// Open listener for clients.
    pub listener: TcpListener,
}

/// The thread of the dispatch duty.
pub struct DispatchThread;

impl DispatchThread {
    /// Creates the command queue of the duty; this happens before the thread starts, so that the other duties can be
    /// given the handle.
    pub fn channel() -> (DispatchHandle, mpsc::Receiver<DispatchCommand>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        (DispatchHandle::new(sender), receiver)
    }

    /// Starts the thread, which accepts peers on `listener` and clients on the listener of `front`, and runs until
    /// the process exits.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be created.
    pub fn start<F: ClientFront>(
        parts: DispatchParts,
        front: Option<BoundFront<F>>,
        listener: TcpListener,
        commands: mpsc::Receiver<DispatchCommand>,
    ) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        if let Some(front) = &front {
            front.listener.set_nonblocking(true)?;
        }
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("dispatch".to_owned()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(parts, front, listener, commands));
        })?;
        Ok(())
    }
}

async fn run<F: ClientFront>(
    parts: DispatchParts,
    front: Option<BoundFront<F>>,
    listener: TcpListener,
    mut commands: mpsc::Receiver<DispatchCommand>,
) {
    let start = FinderOptions { has_peers: parts.has_peers, first_start: parts.first_start };
    let duty = Rc::new(DispatchDuty::new(parts));
    // The listener is a bound socket in non-blocking mode, which is all that the conversion requires.
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    if let Some(BoundFront { front, listener }) = front {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        spawn_local(front.serve(listener, duty.entry()));
    }
    spawn_local(accept_peers(listener, duty.clone()));
    duty.start_tasks(start);
    while let Some(command) = commands.recv().await {
        // Each command runs in its own task, so that none blocks the queue.
        spawn_local(duty.clone().execute(command));
    }
}

impl DispatchDuty {
    /// Starts what runs beside the calls.
    fn start_tasks(self: &Rc<Self>, start: FinderOptions) {
        spawn_local(self.clone().upkeep());
        spawn_local(self.guard.clone().tick_gate());
        if self.context.repeat_guard == RepeatGuard::Claims {
            spawn_local(self.guard.clone().run_store_tasks());
            spawn_local(self.guard.clone().sweep_records());
        }
        spawn_local(self.introduction.clone().sync_rows());
        spawn_local(self.introduction.clone().watch_eras());
        spawn_local(self.quarantine.clone().sync_cases());
        spawn_local(self.quarantine.clone().watch_eras());
        spawn_local(self.quarantine.clone().send_waiting_reports());
        spawn_local(self.guard.clone().resume_upstream());
        spawn_local(self.ingress.clone().watch_callees());
        spawn_local(self.clone().find_nodes(start));
    }

    /// Finds other nodes, then from time to time members of services of which none is known.
    async fn find_nodes(self: Rc<Self>, start: FinderOptions) {
        let (desk, store) = (self.introduction.clone(), self.introductions.clone());
        discover_nodes(self.context.clone(), desk, store, start).await;
        self.ingress.clone().find_members().await;
    }

    async fn execute(self: Rc<Self>, command: DispatchCommand) {
        match command {
            DispatchCommand::Call(call, reply) => self.serve(*call, reply).await,
            DispatchCommand::Announce(announcement, reply) => {
                // The listener may have stopped waiting for the reply.
                let _ = reply.send(self.guard.announce_upstream(announcement).await);
            }
            DispatchCommand::Withdraw(reply) => {
                let _ = reply.send(self.guard.withdraw_upstream().await);
            }
            DispatchCommand::Configure(config) => self.ingress.configure(&config).await,
            DispatchCommand::Members(service, members) => {
                self.quarantine.note_members(&service, &members);
                self.owner.note_members(&service, &members);
                self.guard.note_members(&service, &members);
                self.ingress.update_members(&service, &members)
            }
            DispatchCommand::PullConfig { peer, since, reply } => {
                let _ = reply.send(pull_config(&self.context, &self.links, peer, since).await);
            }
            DispatchCommand::PullQuarantine(peer) => self.quarantine.clone().pull(peer).await,
            DispatchCommand::Quarantine(reply) => {
                let _ = reply.send(quarantine_reply(&self.quarantine));
            }
            DispatchCommand::Release(fingerprint, reply) => {
                let _ = reply.send(release_reply(&self.quarantine, fingerprint).await);
            }
            DispatchCommand::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            DispatchCommand::Drain(done) => self.guard.clone().leave(done).await,
        }
    }

    /// Serves a call; cancels it if its caller disconnects first.
    async fn serve(self: Rc<Self>, call: IncomingCall, mut reply: oneshot::Sender<HttpReply>) {
        let answer = tokio::select! {
            answer = self.serve_origin(call) => answer,
            () = reply.closed() => return,
        };
        let _ = reply.send(answer);
    }

    async fn serve_origin(self: &Rc<Self>, mut call: IncomingCall) -> HttpReply {
        match &mut call.origin {
            CallOrigin::Client { address } => {
                let address = *address;
                self.ingress.serve_client(call, address).await
            }
            CallOrigin::Upstream { context } => {
                let context = context.take();
                self.ingress.serve_nested(call, context).await
            }
        }
    }

    async fn upkeep(self: Rc<Self>) {
        let mut period = interval(UPKEEP_PERIOD);
        let mut meter = DutyMeter::new(self.context.metrics.clone(), NodeDuty::Dispatch);
        let mut suspensions = SuspensionDetector::default();
        loop {
            period.tick().await;
            meter.report();
            if let Some(time) = suspensions.detect(self.context.clock.suspended()) {
                let suspended_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                self.context.events.emit(EventKind::HostSuspended { suspended_ms });
                self.guard.note_suspension();
            }
            self.links.close_idle();
            self.guard.notice_silence().await;
            self.ingress.unwatch_idle().await;
            self.ingress.evict_idle_quotas();
            self.owner.prune();
            self.guard.report_gauges();
        }
    }
}
