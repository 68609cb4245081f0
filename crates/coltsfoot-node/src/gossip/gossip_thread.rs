//! The thread of the gossip duty.

use std::{io, net::UdpSocket, sync::Arc, thread, time::Duration};

use coltsfoot_wire::gossip::{decode, encode};
use coltsfootroute::{
    id::NodeId,
    membership::{
        DATAGRAM_OVERHEAD_BYTES, GossipEffect, GossipEngine, GossipMessage, GossipSettings,
        MAX_DATAGRAM_BYTES, MemberRecord, MemberState,
    },
    name::ServiceName,
};
use indexmap::IndexSet;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::{
    runtime,
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::GossipCommand;
use crate::{
    clock::MonotonicClock,
    config::{ConfigCommand, ConfigHandle},
    dispatch::{DispatchCommand, DispatchHandle},
    metrics::{ControlKind, NodeMetrics, TrafficDirection},
};

/// Commands that wait at most.
const COMMAND_RING: usize = 256;
/// How often the engine looks what is due.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// What the gossip duty is made of.
pub struct GossipParts {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Settings of the engine.
    pub settings: GossipSettings,
    /// What the node says of itself before its upstream has announced itself.
    pub record: MemberRecord,
    /// The dispatch duty, told of changed members.
    pub dispatch: DispatchHandle,
    /// The configuration duty, told of peers that are ahead.
    pub config: ConfigHandle,
    /// Counts the bytes of gossip.
    pub metrics: Arc<NodeMetrics>,
    /// Seed of the random generator.
    pub seed: u64,
}

/// The thread of the gossip duty.
pub struct GossipThread {
    clock: MonotonicClock,
    engine: GossipEngine,
    rng: Pcg64,
    socket: tokio::net::UdpSocket,
    dispatch: DispatchHandle,
    config: ConfigHandle,
    metrics: Arc<NodeMetrics>,
}

impl GossipThread {
    /// The ring to the duty.
    pub fn ring() -> (mpsc::Sender<GossipCommand>, mpsc::Receiver<GossipCommand>) {
        mpsc::channel(COMMAND_RING)
    }

    /// Starts the thread; it ends with the process.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be created.
    pub fn start(
        parts: GossipParts,
        socket: UdpSocket,
        commands: mpsc::Receiver<GossipCommand>,
    ) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let socket = {
            let _context = runtime.enter();
            tokio::net::UdpSocket::from_std(socket)?
        };
        let engine = GossipEngine::new(parts.settings, parts.record, parts.clock.now());
        let duty = Self {
            clock: parts.clock,
            engine,
            rng: Pcg64::seed_from_u64(parts.seed),
            socket,
            dispatch: parts.dispatch,
            config: parts.config,
            metrics: parts.metrics,
        };
        thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || runtime.block_on(duty.run(commands)))?;
        Ok(())
    }

    async fn run(mut self, mut commands: mpsc::Receiver<GossipCommand>) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let effects = tokio::select! {
                _ = ticks.tick() => self.engine.tick(self.clock.now(), &mut self.rng),
                command = commands.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], NodeId(from)),
                    // A refused datagram of ours is reported here; the engine will notice silence.
                    Err(_) => Vec::new(),
                },
            };
            self.carry_out(effects).await;
        }
    }

    fn receive(&mut self, datagram: &[u8], from: NodeId) -> Vec<GossipEffect> {
        self.count(TrafficDirection::Received, datagram);
        match decode(datagram) {
            Ok(message) => self.engine.receive(self.clock.now(), &mut self.rng, from, message),
            Err(err) => {
                log::debug!("event=gossip-malformed from={from} error={:?}", err.to_string());
                Vec::new()
            }
        }
    }

    async fn obey(&mut self, command: GossipCommand) -> Vec<GossipEffect> {
        let now = self.clock.now();
        match command {
            GossipCommand::Announce(offer) => self.engine.announce(now, &mut self.rng, offer),
            GossipCommand::Leave => self.engine.leave(now, &mut self.rng),
            GossipCommand::Watch(services) => {
                self.engine.watch(now, &mut self.rng, services.iter().cloned());
                for service in services {
                    self.publish(service).await;
                }
                Vec::new()
            }
            GossipCommand::SetRevision(revision) => {
                self.engine.set_revision(revision);
                Vec::new()
            }
            GossipCommand::Introduce(nodes) => {
                self.engine.introduce(now, nodes);
                Vec::new()
            }
            GossipCommand::Status(reply) => {
                // The asker may have gone away; nothing is owed to it then.
                let _ = reply.send(self.engine.status());
                Vec::new()
            }
        }
    }

    async fn carry_out(&mut self, effects: Vec<GossipEffect>) {
        let mut changed = IndexSet::new();
        for effect in effects {
            match effect {
                GossipEffect::Send { to, message } => self.send(to, &message).await,
                GossipEffect::Changed { service } => {
                    changed.insert(service);
                }
                GossipEffect::RevisionBehind { peer, revision } => {
                    self.config.behind(ConfigCommand::Behind { peer, revision });
                }
                GossipEffect::MemberDown { service, node, state: MemberState::Dead } => {
                    log::info!("event=member-dead service={service} node={node}");
                }
                _ => {}
            }
        }
        for service in changed {
            self.publish(service).await;
        }
    }

    async fn send(&self, to: NodeId, message: &GossipMessage) {
        match encode(message) {
            // A datagram that cannot be sent is as good as lost, which the engine expects.
            Ok(datagram) => {
                self.count(TrafficDirection::Sent, &datagram);
                drop(self.socket.send_to(&datagram, to.0).await);
            }
            Err(err) => log::warn!("event=gossip-unsendable error={:?}", err.to_string()),
        }
    }

    /// Counts a datagram with its headers.
    fn count(&self, direction: TrafficDirection, datagram: &[u8]) {
        let bytes = datagram.len() + DATAGRAM_OVERHEAD_BYTES;
        self.metrics.control.add_bytes(ControlKind::Gossip, direction, bytes);
    }

    async fn publish(&self, service: ServiceName) {
        let members = self.engine.records(service.as_str()).cloned().collect();
        self.dispatch.tell(DispatchCommand::Members(service, members)).await;
    }
}
