//! The thread of the configuration duty.

use std::{io, pin::Pin, sync::Arc, thread, time::Duration};

use coltsfootroute::{
    freshness::draw_head_interval,
    id::NodeId,
    revision::{ConfigDelta, HeadReader, ReaderStep, Revision, RevisionRecord},
    schema::SchemaDocument,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    runtime,
    sync::mpsc,
    time::{Instant, interval, sleep_until},
};

use super::{
    ConfigCell, ConfigCommand, ConfigHandle, ConfigOrigin, FreshnessCell,
    config_book::ConfigBook,
    config_pulls::{ConfigPulls, FinishedPull},
    config_replies,
    submit_desk::{FinishedErrand, SubmitDesk},
};
use crate::{
    clock::MonotonicClock,
    dispatch::{DispatchCommand, DispatchHandle},
    gossip::GossipCommand,
    journal::EventSender,
    metrics::{DutyMeter, NodeDuty, NodeMetrics},
    store::StoreHandle,
};

/// Commands that wait at most.
const COMMAND_RING: usize = 64;
/// Pause between attempts to learn the first configuration.
const FIRST_READ_PERIOD: Duration = Duration::from_secs(1);
/// Where keys are to be revoked within a bound, the head is read so many times within it.
const READS_IN_BOUND: u32 = 4;

/// What the configuration duty is made of.
pub struct ConfigParts {
    /// Who accepts configurations.
    pub origin: ConfigOrigin,
    /// The node.
    pub node: NodeId,
    /// Peers of the settings, asked at the start.
    pub peers: Vec<NodeId>,
    /// Where the configuration in force stands.
    pub cell: ConfigCell,
    /// The newest proof that the configuration in force is the newest.
    pub freshness: FreshnessCell,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Time after which a key that was taken away runs nothing; `None`: no proof is needed.
    pub revoke_within: Option<Duration>,
    /// The platform's table service.
    pub store: StoreHandle,
    /// The dispatch duty.
    pub dispatch: DispatchHandle,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Events of the node.
    pub events: EventSender,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
}

/// The thread of the configuration duty.
pub struct ConfigThread {
    parts: ConfigParts,
    book: ConfigBook,
    pulls: ConfigPulls,
    /// Waits on the store that must not hold up what comes from peers.
    errands: FuturesUnordered<Pin<Box<dyn Future<Output = FinishedErrand> + Send>>>,
}

impl ConfigThread {
    /// The ring to the duty.
    pub fn ring() -> (ConfigHandle, mpsc::Receiver<ConfigCommand>) {
        let (sender, receiver) = mpsc::channel(COMMAND_RING);
        (ConfigHandle::new(sender), receiver)
    }

    /// Starts the thread; it ends with the process.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be created.
    pub fn start(parts: ConfigParts, commands: mpsc::Receiver<ConfigCommand>) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let book = ConfigBook::new(parts.node, &parts.peers, parts.origin);
        let pulls = ConfigPulls::new(parts.dispatch.clone(), parts.clock);
        let duty = Self { parts, book, pulls, errands: FuturesUnordered::new() };
        thread::Builder::new()
            .name("config".to_owned())
            .spawn(move || runtime.block_on(duty.run(commands)))?;
        Ok(())
    }

    async fn run(mut self, mut commands: mpsc::Receiver<ConfigCommand>) {
        let mut next_read = Instant::now();
        let mut meter = DutyMeter::new(self.parts.metrics.clone(), NodeDuty::Config);
        let mut reports = interval(DutyMeter::IDLE_PERIOD);
        loop {
            self.pulls.ask_due(self.book.held());
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                Some(errand) = self.errands.next(), if !self.errands.is_empty() => {
                    self.settle(errand).await;
                }
                pull = self.pulls.next() => if let Some(pull) = pull {
                    self.settle_pull(pull).await;
                },
                _ = reports.tick() => meter.report(),
                () = sleep_until(next_read) => {
                    self.learn().await;
                    next_read = Instant::now() + self.pause();
                }
            }
        }
    }

    /// Pause until the newest revision is read again.
    fn pause(&self) -> Duration {
        let Some(config) = self.parts.cell.load() else { return FIRST_READ_PERIOD };
        let pause = draw_head_interval(self.parts.freshness.nodes(), &mut rand::rng());
        match self.parts.revoke_within {
            Some(bound) if !config.teams().is_empty() => pause.min(bound / READS_IN_BOUND),
            _ => pause,
        }
    }

    async fn obey(&mut self, command: ConfigCommand) {
        match command {
            ConfigCommand::Submit(_, _, reply) if self.parts.origin == ConfigOrigin::Outside => {
                // The asker may have gone away; nothing is owed to it then.
                let _ = reply.send(config_replies::accepted_elsewhere());
            }
            ConfigCommand::Accepted { accepted, told } => {
                self.hear_accepted(&accepted.record, &accepted.document, told).await;
            }
            ConfigCommand::Submit(request, body, reply) => {
                self.errands.push(Box::pin(self.desk().submit(request, body, reply)));
            }
            ConfigCommand::Show(reply) => {
                // The asker may have gone away; nothing is owed to it then.
                let _ = reply.send(config_replies::schema(self.parts.cell.load().as_deref()));
            }
            ConfigCommand::History(reply) => {
                let recent = self.book.recent();
                self.errands.push(Box::pin(self.desk().history(recent, reply)));
            }
            ConfigCommand::Behind { peer, revision } => self.pulls.hear(peer, revision),
        }
    }

    /// Learns the newest configuration: from the store, and before the first one from peers as well.
    async fn learn(&mut self) {
        if self.parts.origin == ConfigOrigin::Submitted {
            self.read_head().await;
        }
        if self.parts.cell.load().is_some() {
            return;
        }
        for peer in &self.parts.peers {
            self.pulls.ask(*peer, self.book.held(), Instant::now());
        }
    }

    async fn read_head(&mut self) {
        let asked = self.parts.clock.now();
        let mut reader = HeadReader::new().with_held_chain(self.book.held_chain());
        let mut request = reader.start();
        let newest = loop {
            let reply = self.desk().ask_store(request).await;
            match reader.handle_reply(&reply) {
                ReaderStep::Send(next) => request = next,
                ReaderStep::Done(newest) => break newest,
                ReaderStep::Unavailable => return,
                ReaderStep::Faulty(fault) => {
                    log::error!("event=configuration-row-faulty error={:?}", fault.to_string());
                    return;
                }
            }
        };
        let newest = newest.as_ref().map(|row| (&row.record, &row.document));
        let revision = newest.map_or(self.book.held(), |(record, _)| record.revision);
        self.hear_store(newest, Instant::now()).await;
        self.parts.freshness.note_own(asked, revision);
    }

    async fn hear_accepted(
        &mut self,
        record: &RevisionRecord,
        document: &SchemaDocument,
        told: Instant,
    ) {
        let newer = (record.revision > self.book.held()).then_some((record, document));
        self.hear_store(newer, told).await;
    }

    async fn hear_store(
        &mut self,
        newest: Option<(&RevisionRecord, &SchemaDocument)>,
        told: Instant,
    ) {
        if let Err(fault) = self.book.hear_store(newest) {
            log::error!("event=configuration-refused source=store error={:?}", fault.to_string());
        }
        self.put_in_force(None, told).await;
    }

    fn desk(&self) -> SubmitDesk {
        SubmitDesk::new(self.parts.store.clone(), self.parts.events.clone())
    }

    /// Puts in force what the book holds, if it is newer and may be used; it came from the peer `from` or else from the
    /// store, and was told of at `told`.
    async fn put_in_force(&mut self, from: Option<NodeId>, told: Instant) {
        let Some(config) = self.book.take_newer() else { return };
        let revision = config.revision();
        self.parts.cell.store(config.clone());
        self.parts.freshness.hold(Revision(revision));
        self.parts.events.emit(self.book.in_force_event(from, told.elapsed()));
        self.parts.dispatch.tell(DispatchCommand::Configure(config)).await;
        // A closed ring means that the process stops.
        let _ = self.parts.gossip.send(GossipCommand::SetRevision(revision)).await;
    }

    /// Takes in what a peer sent. Where it does not fit what is held, the peer is asked for all.
    async fn settle_pull(&mut self, pull: FinishedPull) {
        let FinishedPull { peer, since, told, encoded } = pull;
        let Some(encoded) = encoded else {
            self.book.give_up(peer);
            return self.put_in_force(None, told).await;
        };
        if !self.take_delta(peer, &encoded) && since > Revision::ZERO {
            self.pulls.ask(peer, Revision::ZERO, told);
        }
        self.put_in_force(Some(peer), told).await;
    }

    /// Whether the delta was taken in, or there was none.
    fn take_delta(&mut self, peer: NodeId, encoded: &[u8]) -> bool {
        let delta = match encoded.is_empty() {
            true => None,
            false => match serde_json::from_slice::<ConfigDelta>(encoded) {
                Ok(delta) => Some(delta),
                Err(err) => {
                    log::warn!("event=delta-malformed peer={peer} error={:?}", err.to_string());
                    return false;
                }
            },
        };
        match self.book.hear_peer(peer, delta.as_ref()) {
            Ok(()) => true,
            Err(fault) => {
                log::warn!("event=delta-refused peer={peer} error={:?}", fault.to_string());
                false
            }
        }
    }

    /// Takes in what an errand brought, then answers its asker.
    async fn settle(&mut self, errand: FinishedErrand) {
        if let Some(accepted) = &errand.accepted {
            let newest = Some((&accepted.record, &accepted.document));
            if let Err(fault) = self.book.hear_store(newest) {
                // The next read of the head brings what was accepted.
                log::warn!("event=configuration-refused source=own error={:?}", fault.to_string());
            }
            self.put_in_force(None, Instant::now()).await;
        }
        // The asker may have gone away; nothing is owed to it then.
        let _ = errand.reply.send(errand.answer);
    }
}
