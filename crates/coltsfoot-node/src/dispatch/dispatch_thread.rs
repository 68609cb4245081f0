//! The thread of the dispatch duty.

use std::{io, net::TcpListener, rc::Rc, sync::Arc, thread, time::Duration};

use coltsfootroute::{
    admission::ShedPolicy,
    drain::{DrainReport, DrainSettings},
    event::EventKind,
    retry::ThrottleSettings,
    time::MonotonicTime,
};
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::{interval, sleep},
};

use super::{
    DispatchCommand, DispatchHandle,
    dispatcher::{Dispatcher, NodeIdentity},
    entry_port::EntryPort,
    incoming_call::{CallOrigin, IncomingCall},
    peer_server::accept_peers,
};
use crate::{
    border::{ClientFront, RepeatGuard, UpstreamDialect},
    clock::MonotonicClock,
    config::ConfigCell,
    gossip::GossipCommand,
    http::HttpReply,
    journal::EventSender,
    metrics::{DutyMeter, NodeDuty, NodeMetrics},
    settings::ControlMode,
    store::StoreHandle,
};

/// Commands that wait for the dispatch duty at most; beyond them calls are refused.
const COMMAND_RING: usize = 4_096;
/// How often idle links are closed and silence of the upstream is noticed.
const UPKEEP_PERIOD: Duration = Duration::from_secs(1);
/// How often a leaving node looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What the dispatch duty is made of.
pub struct DispatchParts {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The node.
    pub identity: NodeIdentity,
    /// Whether load is controlled.
    pub control: ControlMode,
    /// Headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// What keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// What the guard's shed level follows.
    pub shed_policy: ShedPolicy,
    /// Bound on the retries into one service.
    pub throttle: ThrottleSettings,
    /// Configuration in force, written by the configuration duty.
    pub config: ConfigCell,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most calls waiting in front of the upstream.
    pub queue: u32,
    /// How a planned stop goes.
    pub drain: DrainSettings,
    /// How long a node that is to stop serves on as before, while clients hear that they should not come.
    pub closing_time: Duration,
    /// The platform's services.
    pub store: StoreHandle,
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Nodes that share the platform's rates.
    pub nodes: u32,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub events: EventSender,
    /// Seed of the random generator.
    pub seed: u64,
}

/// A client front and the listener that it serves.
pub struct FrontDoor<F> {
    /// The front.
    pub front: F,
    /// Open listener for clients.
    pub listener: TcpListener,
}

/// The thread of the dispatch duty.
pub struct DispatchThread;

impl DispatchThread {
    /// The ring to the duty, made before the thread so that the other duties can be given the handle.
    pub fn ring() -> (DispatchHandle, mpsc::Receiver<DispatchCommand>) {
        let (sender, receiver) = mpsc::channel(COMMAND_RING);
        (DispatchHandle::new(sender), receiver)
    }

    /// Starts the thread; it accepts peers on `listener`, clients on the listener of `front`, and ends with
    /// the process.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be created.
    pub fn start<F: ClientFront>(
        parts: DispatchParts,
        front: Option<FrontDoor<F>>,
        listener: TcpListener,
        commands: mpsc::Receiver<DispatchCommand>,
    ) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        if let Some(door) = &front {
            door.listener.set_nonblocking(true)?;
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
    front: Option<FrontDoor<F>>,
    listener: TcpListener,
    mut commands: mpsc::Receiver<DispatchCommand>,
) {
    let dispatcher = Rc::new(Dispatcher::new(parts));
    // The listener is a bound socket in non-blocking mode, which is all the conversion asks for.
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    if let Some(FrontDoor { front, listener }) = front {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        let entry = EntryPort::new(dispatcher.clone());
        spawn_local(front.serve(listener, entry));
    }
    spawn_local(accept_peers(listener, dispatcher.clone()));
    spawn_local(dispatcher.clone().tick_gate());
    spawn_local(dispatcher.clone().upkeep());
    spawn_local(dispatcher.clone().run_errands());
    spawn_local(dispatcher.clone().sweep_records());
    spawn_local(dispatcher.clone().keep_introduced());
    spawn_local(dispatcher.clone().resume_upstream());
    spawn_local(dispatcher.clone().find_others());
    spawn_local(dispatcher.clone().find_members());
    while let Some(command) = commands.recv().await {
        // Each command is a task of its own: none may hold up the ring.
        spawn_local(dispatcher.clone().obey(command));
    }
}

impl Dispatcher {
    async fn obey(self: Rc<Self>, command: DispatchCommand) {
        match command {
            DispatchCommand::Call(call, reply) => self.serve(*call, reply).await,
            DispatchCommand::Announce(announcement, reply) => {
                // The listener may have stopped waiting; nothing is owed to it then.
                let _ = reply.send(self.announce_upstream(announcement).await);
            }
            DispatchCommand::Withdraw(reply) => {
                let _ = reply.send(self.withdraw_upstream().await);
            }
            DispatchCommand::Configure(config) => self.configure(&config).await,
            DispatchCommand::Members(service, members) => self.update_members(&service, &members),
            DispatchCommand::PullConfig { peer, since, reply } => {
                let _ = reply.send(self.pull_config(peer, since).await);
            }
            DispatchCommand::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            DispatchCommand::Drain(done) => self.leave(done).await,
        }
    }

    /// Serves a call, unless its caller goes away first.
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
                self.serve_client(call, address).await
            }
            CallOrigin::Upstream { context } => {
                let context = context.take();
                self.serve_nested(call, context).await
            }
        }
    }

    async fn upkeep(self: Rc<Self>) {
        let mut period = interval(UPKEEP_PERIOD);
        let mut meter = DutyMeter::new(self.metrics.clone(), NodeDuty::Dispatch);
        loop {
            period.tick().await;
            meter.report();
            self.links.close_idle();
            self.notice_silence().await;
            self.forget_unused().await;
            self.report_gauges();
        }
    }

    /// Reports what keeps a planned stop from its end, once in each period. Nothing is cut off: whoever
    /// stops the process decides.
    fn report_overdue(&self, reported: &mut MonotonicTime) {
        let now = self.clock.now();
        let Some(DrainReport { in_flight, waited }) = self.drain.borrow().overdue(now) else {
            return;
        };
        if now.since(*reported) < self.drain_period {
            return;
        }
        *reported = now;
        self.events.emit(EventKind::DrainOverdue {
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// A planned stop: refuse new work, tell everyone, end when nothing is in flight.
    async fn leave(self: Rc<Self>, done: oneshot::Sender<()>) {
        // The upstream stays in service as long as clients still come here: leaving earlier would only take
        // its slots away from everyone.
        self.is_closing.set(true);
        if self.closing_time > Duration::ZERO {
            // Others turn to it only where no other upstream takes a call.
            let _ = self.gossip.send(GossipCommand::Leave).await;
            sleep(self.closing_time).await;
        }
        let begun: MonotonicTime = self.clock.now();
        self.drain.borrow_mut().begin(begun);
        let in_flight = u32::try_from(self.drain.borrow().in_flight()).unwrap_or(u32::MAX);
        self.events.emit(EventKind::DrainBegun { in_flight });
        self.announce_leave().await;
        let mut reported = begun;
        while !self.is_drained() {
            sleep(DRAIN_POLL).await;
            self.report_overdue(&mut reported);
        }
        self.introduction.settle().await;
        let elapsed = self.clock.now().since(begun).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.events.emit(EventKind::Drained { elapsed_ms });
        let _ = done.send(());
    }
}
