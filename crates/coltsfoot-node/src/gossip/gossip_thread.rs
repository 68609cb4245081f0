//! The thread of the gossip duty.

use std::{io, net::UdpSocket, sync::Arc, thread, time::Duration};

use coltsfoot_wire::gossip::{decode, encode};
use coltsfootroute::{
    event::EventKind,
    freshness::RevisionProof,
    id::{Incarnation, NodeId},
    membership::{
        DATAGRAM_OVERHEAD_BYTES, GossipEffect, GossipEngine, GossipMessage, GossipSettings,
        MAX_DATAGRAM_BYTES, MemberRecord, MemberState,
    },
    name::ServiceName,
    revision::Revision,
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
    config::{ConfigHandle, FreshnessCell},
    dispatch::{DispatchCommand, DispatchHandle},
    journal::EventSender,
    metrics::{
        ControlKind, DutyMeter, MemberState as MemberLabel, NodeDuty, NodeMetrics, TrafficDirection,
    },
};

/// Maximum number of commands that wait in the channel.
const MAX_QUEUED_COMMANDS: usize = 256;
/// Period at which the engine performs due actions.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Period at which the member counts in the metrics are updated.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Components that the gossip duty is created from.
pub struct GossipParts {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Settings of the engine.
    pub settings: GossipSettings,
    /// Record of the node until its upstream has announced itself.
    pub record: MemberRecord,
    /// The dispatch duty, which is notified of changed members.
    pub dispatch: DispatchHandle,
    /// The configuration duty, which is notified of peers with a newer revision.
    pub config: ConfigHandle,
    /// The latest proof that the configuration in force is the newest; sent to other nodes, and updated from their
    /// messages.
    pub freshness: FreshnessCell,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub events: EventSender,
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
    freshness: FreshnessCell,
    metrics: Arc<NodeMetrics>,
    events: EventSender,
}

impl GossipThread {
    /// Creates the channel for commands to the duty.
    pub fn channel() -> (mpsc::Sender<GossipCommand>, mpsc::Receiver<GossipCommand>) {
        mpsc::channel(MAX_QUEUED_COMMANDS)
    }

    /// Starts the thread, which runs until the process ends or all command senders are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be set up, or the runtime or the thread cannot be created.
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
            freshness: parts.freshness,
            metrics: parts.metrics,
            events: parts.events,
        };
        thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || runtime.block_on(duty.run(commands)))?;
        Ok(())
    }

    async fn run(mut self, mut commands: mpsc::Receiver<GossipCommand>) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut counts = interval(COUNT_PERIOD);
        counts.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut meter = DutyMeter::new(self.metrics.clone(), NodeDuty::Gossip);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let effects = tokio::select! {
                _ = ticks.tick() => self.engine.tick(self.clock.now(), &mut self.rng),
                _ = counts.tick() => {
                    self.count_members();
                    meter.report();
                    continue;
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], NodeId(from)),
                    // A refusal of a datagram that this node sent is reported here; the engine detects that the peer
                    // does not respond.
                    Err(_) => Vec::new(),
                },
            };
            self.apply_effects(effects).await;
        }
    }

    fn count_members(&self) {
        let status = self.engine.status();
        self.freshness.set_node_count(status.alive);
        let counts = [
            (MemberLabel::Up, status.alive),
            (MemberLabel::Suspect, status.suspect),
            (MemberLabel::Down, status.dead),
            (MemberLabel::Left, status.left),
        ];
        for (state, count) in counts {
            self.metrics.control.set_members(state, count);
        }
    }

    fn count_datagram(&self, direction: TrafficDirection, length: usize) {
        self.metrics.control.add_bytes(
            ControlKind::Gossip,
            direction,
            length + DATAGRAM_OVERHEAD_BYTES,
        );
    }

    fn receive(&mut self, datagram: &[u8], from: NodeId) -> Vec<GossipEffect> {
        self.count_datagram(TrafficDirection::Received, datagram.len());
        match decode(datagram) {
            Ok(message) => {
                if let Some(at) = message.confirmed {
                    self.freshness
                        .record_proof(RevisionProof { revision: Revision(message.revision), at });
                }
                self.engine.receive(self.clock.now(), &mut self.rng, from, message)
            }
            Err(err) => {
                log::debug!("event=gossip-malformed from={from} error={:?}", err.to_string());
                Vec::new()
            }
        }
    }

    async fn handle_command(&mut self, command: GossipCommand) -> Vec<GossipEffect> {
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
            GossipCommand::Touch(service) => {
                self.engine.note_use(now, service.as_str());
                Vec::new()
            }
            GossipCommand::Reached(service) => {
                self.engine.note_call_reached(now, service.as_str());
                Vec::new()
            }
            GossipCommand::Unreached(service) => {
                self.engine.note_call_unreachable(now, service.as_str());
                Vec::new()
            }
            GossipCommand::SetRevision(revision) => {
                self.engine.set_revision(revision);
                Vec::new()
            }
            GossipCommand::SetQuarantine(digest) => {
                self.engine.set_quarantine(digest);
                Vec::new()
            }
            GossipCommand::Introduce(nodes) => {
                self.engine.introduce(now, nodes);
                Vec::new()
            }
            GossipCommand::Ping(nodes) => self.engine.ping_nodes(now, &mut self.rng, nodes),
            GossipCommand::Status(reply) => {
                // The requester may have stopped waiting; the reply is dropped then.
                let _ = reply.send(self.engine.status());
                Vec::new()
            }
        }
    }

    async fn apply_effects(&mut self, effects: Vec<GossipEffect>) {
        let mut changed = IndexSet::new();
        for effect in effects {
            match effect {
                GossipEffect::Send { to, message } => self.send(to, message).await,
                GossipEffect::Changed { service } => {
                    changed.insert(service);
                }
                GossipEffect::RevisionBehind { peer, revision } => {
                    self.config.report_peer_ahead(peer, Revision(revision));
                }
                GossipEffect::QuarantineDiffers { peer } => {
                    self.dispatch.tell(DispatchCommand::PullQuarantine(peer)).await;
                }
                GossipEffect::MemberUp { node, incarnation, .. } => {
                    self.events.emit(EventKind::MemberUp { member: node, incarnation });
                }
                GossipEffect::MemberDown { service, node, state } => {
                    self.events.emit(self.down_event(&service, node, state));
                }
                GossipEffect::MemberLeft { service, node } => {
                    let incarnation = self.incarnation(&service, node);
                    self.events.emit(EventKind::MemberLeft { member: node, incarnation });
                }
                _ => {}
            }
        }
        for service in changed {
            self.publish(service).await;
        }
    }

    fn down_event(&self, service: &ServiceName, member: NodeId, state: MemberState) -> EventKind {
        let incarnation = self.incarnation(service, member);
        match state {
            MemberState::Suspect => EventKind::MemberSuspect { member, incarnation },
            _ => EventKind::MemberDown { member, incarnation },
        }
    }

    /// Returns the incarnation of a member that an effect refers to; 0 if the engine has already removed the member.
    fn incarnation(&self, service: &ServiceName, member: NodeId) -> Incarnation {
        let record = self.engine.record(service.as_str(), member);
        record.map_or(Incarnation(0), |record| record.incarnation)
    }

    async fn send(&self, to: NodeId, message: GossipMessage) {
        let confirmed = self.freshness.proof_time_for(Revision(message.revision));
        match encode(&GossipMessage { confirmed, ..message }) {
            Ok(datagram) => {
                self.count_datagram(TrafficDirection::Sent, datagram.len());
                // The engine tolerates lost datagrams, so a failure to send one is ignored.
                let _ = self.socket.send_to(&datagram, to.0).await;
            }
            Err(err) => log::warn!("event=gossip-unsendable error={:?}", err.to_string()),
        }
    }

    async fn publish(&self, service: ServiceName) {
        let members = self.engine.records(service.as_str()).cloned().collect();
        self.dispatch.tell(DispatchCommand::Members(service, members)).await;
    }
}
