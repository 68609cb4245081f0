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
    config_pulls::{ConfigPulls, FinishedPull},
    config_replies,
    revision_tracker::RevisionTracker,
    submission_handler::{FinishedTask, SubmissionHandler},
};
use crate::{
    clock::MonotonicClock,
    dispatch::{DispatchCommand, DispatchHandle},
    gossip::GossipCommand,
    journal::EventSender,
    metrics::{DutyMeter, NodeDuty, NodeMetrics},
    store::StoreHandle,
};

/// Maximum number of commands waiting in the channel.
const MAX_WAITING_COMMANDS: usize = 64;
/// Pause between attempts to read the first configuration.
const FIRST_READ_PERIOD: Duration = Duration::from_secs(1);
/// Minimum number of reads of the newest revision within the time bound for revoking keys, if there is one.
const READS_PER_BOUND: u32 = 4;

/// Parts from which the configuration duty is built.
pub struct ConfigParts {
    /// System that accepts configurations.
    pub origin: ConfigOrigin,
    /// Id of the node.
    pub node: NodeId,
    /// Peers named in the settings, queried at the start.
    pub peers: Vec<NodeId>,
    /// Cell that holds the configuration in force.
    pub cell: ConfigCell,
    /// Latest proof that the configuration in force is the newest revision.
    pub freshness: FreshnessCell,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Time after which a revoked key must no longer run anything; `None` if no proof of freshness is needed.
    pub revoke_within: Option<Duration>,
    /// Handle of the platform's table service.
    pub store: StoreHandle,
    /// Handle of the dispatch duty.
    pub dispatch: DispatchHandle,
    /// Channel to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Sender of the node's events.
    pub events: EventSender,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
}

/// The thread of the configuration duty.
pub struct ConfigThread {
    parts: ConfigParts,
    tracker: RevisionTracker,
    pulls: ConfigPulls,
    /// Requests to the store, run concurrently so that they do not delay changes from peers.
    store_tasks: FuturesUnordered<Pin<Box<dyn Future<Output = FinishedTask> + Send>>>,
}

impl ConfigThread {
    /// Creates the bounded command channel to the duty.
    pub fn ring() -> (ConfigHandle, mpsc::Receiver<ConfigCommand>) {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_COMMANDS);
        (ConfigHandle::new(sender), receiver)
    }

    /// Starts the thread, which runs until the process exits.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the runtime or the thread cannot be created.
    pub fn start(parts: ConfigParts, commands: mpsc::Receiver<ConfigCommand>) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let tracker = RevisionTracker::new(parts.node, &parts.peers, parts.origin);
        let pulls = ConfigPulls::new(parts.dispatch.clone(), parts.clock);
        let duty = Self { parts, tracker, pulls, store_tasks: FuturesUnordered::new() };
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
            self.pulls.pull_due_peers(self.tracker.held());
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                Some(task) = self.store_tasks.next(), if !self.store_tasks.is_empty() => {
                    self.finish_task(task).await;
                }
                pull = self.pulls.next() => if let Some(pull) = pull {
                    self.finish_pull(pull).await;
                },
                _ = reports.tick() => meter.report(),
                () = sleep_until(next_read) => {
                    self.read_newest().await;
                    next_read = Instant::now() + self.read_pause();
                }
            }
        }
    }

    /// Returns the pause before the newest revision is read again.
    fn read_pause(&self) -> Duration {
        let Some(config) = self.parts.cell.load() else { return FIRST_READ_PERIOD };
        let pause = draw_head_interval(self.parts.freshness.node_count(), &mut rand::rng());
        match self.parts.revoke_within {
            Some(bound) if !config.teams().is_empty() => pause.min(bound / READS_PER_BOUND),
            _ => pause,
        }
    }

    async fn handle_command(&mut self, command: ConfigCommand) {
        match command {
            ConfigCommand::Submit(_, _, reply) if self.parts.origin == ConfigOrigin::External => {
                // Fails only if the requester has gone away and needs no reply.
                let _ = reply.send(config_replies::accepted_elsewhere());
            }
            ConfigCommand::Accepted { accepted, notified_at } => {
                self.apply_accepted(&accepted.record, &accepted.document, notified_at).await;
            }
            ConfigCommand::Submit(request, body, reply) => {
                self.store_tasks.push(Box::pin(self.handler().submit(request, body, reply)));
            }
            ConfigCommand::Show(reply) => {
                // Fails only if the requester has gone away and needs no reply.
                let _ = reply.send(config_replies::schema(self.parts.cell.load().as_deref()));
            }
            ConfigCommand::History(reply) => {
                let recent = self.tracker.recent();
                self.store_tasks.push(Box::pin(self.handler().history(recent, reply)));
            }
            ConfigCommand::PeerAhead { peer, revision } => {
                self.pulls.record_revision(peer, revision)
            }
        }
    }

    /// Reads the newest configuration from the store; until the first one is in force, also requests it from the peers.
    async fn read_newest(&mut self) {
        if self.parts.origin == ConfigOrigin::Submitted {
            self.read_head().await;
        }
        if self.parts.cell.load().is_some() {
            return;
        }
        for peer in &self.parts.peers {
            self.pulls.pull_from(*peer, self.tracker.held(), Instant::now());
        }
    }

    async fn read_head(&mut self) {
        let requested_at = self.parts.clock.now();
        let mut reader = HeadReader::new().with_held_chain(self.tracker.held_chain());
        let mut request = reader.start();
        let newest = loop {
            let reply = self.handler().request_store(request).await;
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
        let revision = newest.map_or(self.tracker.held(), |(record, _)| record.revision);
        self.apply_store_row(newest, Instant::now()).await;
        self.parts.freshness.record_local_read(requested_at, revision);
    }

    async fn apply_accepted(
        &mut self,
        record: &RevisionRecord,
        document: &SchemaDocument,
        notified_at: Instant,
    ) {
        let newer = (record.revision > self.tracker.held()).then_some((record, document));
        self.apply_store_row(newer, notified_at).await;
    }

    async fn apply_store_row(
        &mut self,
        newest: Option<(&RevisionRecord, &SchemaDocument)>,
        notified_at: Instant,
    ) {
        if let Err(fault) = self.tracker.apply_store_row(newest) {
            log::error!("event=configuration-refused source=store error={:?}", fault.to_string());
        }
        self.put_in_force(None, notified_at).await;
    }

    fn handler(&self) -> SubmissionHandler {
        SubmissionHandler::new(self.parts.store.clone(), self.parts.events.clone())
    }

    /// Puts the tracker's configuration in force if it is newer and the start gate is open. `from` is the peer that
    /// sent it, `None` if it came from the store; `notified_at` is when this node was notified of it or requested it.
    async fn put_in_force(&mut self, from: Option<NodeId>, notified_at: Instant) {
        let Some(config) = self.tracker.take_newer_config() else { return };
        let revision = config.revision();
        self.parts.cell.store(config.clone());
        self.parts.freshness.set_revision(Revision(revision));
        self.parts.events.emit(self.tracker.in_force_event(from, notified_at.elapsed()));
        self.parts.dispatch.tell(DispatchCommand::Configure(config)).await;
        // The channel is closed only when the process is stopping.
        let _ = self.parts.gossip.send(GossipCommand::SetRevision(revision)).await;
    }

    /// Applies the reply of a peer. If its delta does not apply to the state held, requests the whole configuration.
    async fn finish_pull(&mut self, pull: FinishedPull) {
        let FinishedPull { peer, since, requested_at, encoded } = pull;
        let Some(encoded) = encoded else {
            self.tracker.stop_awaiting_peer(peer);
            return self.put_in_force(None, requested_at).await;
        };
        if !self.apply_delta(peer, &encoded) && since > Revision::ZERO {
            self.pulls.pull_from(peer, Revision::ZERO, requested_at);
        }
        self.put_in_force(Some(peer), requested_at).await;
    }

    /// Returns whether the delta was applied or the reply was empty.
    fn apply_delta(&mut self, peer: NodeId, encoded: &[u8]) -> bool {
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
        match self.tracker.apply_peer_delta(peer, delta.as_ref()) {
            Ok(()) => true,
            Err(fault) => {
                log::warn!("event=delta-refused peer={peer} error={:?}", fault.to_string());
                false
            }
        }
    }

    /// Puts in force what a finished task had accepted, if anything, then replies to its requester.
    async fn finish_task(&mut self, task: FinishedTask) {
        if let Some(accepted) = &task.accepted {
            let newest = Some((&accepted.record, &accepted.document));
            if let Err(fault) = self.tracker.apply_store_row(newest) {
                // The next read of the newest revision retrieves the accepted configuration.
                log::warn!("event=configuration-refused source=own error={:?}", fault.to_string());
            }
            self.put_in_force(None, Instant::now()).await;
        }
        // Fails only if the requester has gone away and needs no reply.
        let _ = task.reply.send(task.answer);
    }
}
