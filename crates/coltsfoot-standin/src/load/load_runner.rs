//! A run from its first request to its report.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use coltsfootroute::outcome::CallOutcome;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{
    sync::{Semaphore, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::http_client::HttpClient;

use super::{
    ArrivalSchedule, DueRequest, IntervalRecord, LoadReport, LoadSettings, OfferedOperation,
    ProbeReport,
    load_report::ReportBuilder,
    path_probe::PathProbe,
    request_outcome::RequestOutcome,
    request_sender::{ClientRequest, RequestSender},
    target_list::TargetList,
};

/// Unused connections kept a target.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Apart from the schedule's seed, so that sending does not disturb it.
const SENDER_SEED_OFFSET: u64 = 1 << 32;

/// Drives one run on the caller's `tokio` runtime.
pub struct LoadRunner {
    settings: LoadSettings,
    operations: Vec<Arc<OfferedOperation>>,
    sender: Arc<RequestSender>,
    rng: Pcg64,
    report: ReportBuilder,
    record: IntervalRecord,
    key_log: Option<BufWriter<File>>,
}

impl LoadRunner {
    /// A run with these settings.
    ///
    /// # Errors
    /// Where the key log can't be created.
    pub fn new(settings: LoadSettings) -> io::Result<Self> {
        let seed = settings.seed.wrapping_add(SENDER_SEED_OFFSET);
        let sender = RequestSender {
            client: new_client(),
            targets: TargetList::new(settings.targets.clone(), seed),
            places: Semaphore::new(settings.max_in_flight),
            retry: settings.retry,
        };
        let key_log = settings.key_log.as_ref().map(File::create).transpose()?;
        Ok(Self {
            operations: settings.operations.iter().cloned().map(Arc::new).collect(),
            sender: Arc::new(sender),
            rng: Pcg64::seed_from_u64(seed),
            report: ReportBuilder::new(),
            record: IntervalRecord::new(0),
            key_log: key_log.map(BufWriter::new),
            settings,
        })
    }

    /// Sends all requests, gives each full record to `emit`, and returns when the last request
    /// has ended. `stop` turning true ends the sending early.
    pub async fn run(
        mut self,
        mut emit: impl FnMut(&IntervalRecord),
        mut stop: watch::Receiver<bool>,
    ) -> LoadReport {
        let start = Instant::now();
        let probe = self.start_probe(start);
        let (end_sender, mut ends) = mpsc::unbounded_channel();
        let mut schedule = self.new_schedule().peekable();
        let mut stopped = false;
        while !stopped && let Some(next) = schedule.peek().copied() {
            tokio::select! {
                biased;
                () = sleep_until(start + next.due) => {
                    schedule.next();
                    self.roll(start, &mut emit);
                    self.start_request(next, start, end_sender.clone());
                }
                Some(end) = ends.recv() => self.finish_request(start, &end, &mut emit),
                () = sleep(self.settings.interval) => self.roll(start, &mut emit),
                _ = stop.wait_for(|stop| *stop) => stopped = true,
            }
        }
        let sending_time = if stopped { start.elapsed() } else { self.settings.duration };
        drop(end_sender);
        while let Some(end) = ends.recv().await {
            self.finish_request(start, &end, &mut emit);
        }
        emit(&self.record);
        self.finish(sending_time, probe).await
    }

    async fn finish(
        mut self,
        sending_time: Duration,
        probe: Option<JoinHandle<ProbeReport>>,
    ) -> LoadReport {
        let probe = wait_for_probe(probe).await;
        if let Some(log) = &mut self.key_log {
            // A full disk costs a line of a development tool, not the report.
            let _ = log.flush();
        }
        self.report.build(sending_time, probe)
    }

    fn new_schedule(&self) -> ArrivalSchedule {
        ArrivalSchedule::new(
            self.settings.operations.clone(),
            self.settings.surges.clone(),
            self.settings.arrivals,
            self.settings.duration,
            self.settings.seed,
        )
        .with_window(self.settings.arrival_window)
    }

    fn start_probe(&self, start: Instant) -> Option<JoinHandle<ProbeReport>> {
        let settings = self.settings.probe.clone()?;
        let targets = self.settings.targets.clone();
        let probe = PathProbe::new(settings, targets, new_client(), self.settings.seed);
        Some(tokio::spawn(probe.run(start + self.settings.duration)))
    }

    fn start_request(
        &mut self,
        next: DueRequest,
        start: Instant,
        end_sender: mpsc::UnboundedSender<RequestOutcome>,
    ) {
        let operation = Arc::clone(&self.operations[next.operation]);
        self.report.count_offered(&operation);
        self.record.offered += 1;
        self.record.tally(operation.importance).offered += 1;
        let key =
            (!operation.repeatable).then(|| format!("load-{:032x}", self.rng.random::<u128>()));
        let body = self.draw_body();
        let request =
            ClientRequest { index: next.operation, operation, key, body, due: start + next.due };
        let sender = Arc::clone(&self.sender);
        tokio::spawn(async move {
            let outcome = sender.send(request).await;
            // The receiver lives until the last sender is gone.
            let _ = end_sender.send(outcome);
        });
    }

    /// Each body differs, so that a foreign answer shows by its digest.
    fn draw_body(&mut self) -> Bytes {
        let mut body = vec![b'.'; self.settings.body_bytes];
        let mark = format!("{:016x}", self.rng.random::<u64>());
        let length = mark.len().min(body.len());
        body[..length].copy_from_slice(&mark.as_bytes()[..length]);
        Bytes::from(body)
    }

    fn finish_request(
        &mut self,
        start: Instant,
        end: &RequestOutcome,
        emit: &mut impl FnMut(&IntervalRecord),
    ) {
        self.roll(start, emit);
        let operation = Arc::clone(&self.operations[end.operation]);
        let outcome = end.outcome();
        self.report.count_outcome(&operation, end);
        let focus = self.settings.focus;
        if focus.is_some_and(|window| window.covers(end.due.saturating_duration_since(start))) {
            self.report.count_focus(operation.importance, outcome);
        }
        self.record.completed += u64::from(outcome == CallOutcome::Completed);
        self.record.tally(operation.importance).count(outcome);
        if let (Some(log), Some(key)) = (&mut self.key_log, &end.key) {
            // As for the flush.
            let _ = writeln!(log, "{} {key} {outcome}", operation.name);
        }
    }

    /// Gives away the records that are over.
    fn roll(&mut self, start: Instant, emit: &mut impl FnMut(&IntervalRecord)) {
        let interval = self.settings.interval.max(Duration::from_millis(1));
        let now_ms = as_ms(start.elapsed());
        let interval_ms = as_ms(interval);
        while now_ms >= self.record.t_ms + interval_ms {
            emit(&self.record);
            self.record = IntervalRecord::new(self.record.t_ms + interval_ms);
        }
    }
}

fn new_client() -> HttpClient {
    HttpClient::new(MAX_IDLE_CONNECTIONS)
}

async fn wait_for_probe(probe: Option<JoinHandle<ProbeReport>>) -> Option<ProbeReport> {
    probe?.await.ok()
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
