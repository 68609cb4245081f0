//! State shared by the tasks of one upstream.

use std::{
    fs::File,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use coltsfootroute::{name::OperationName, schema::OperationEntry, schema::ServiceEntry};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::Notify;

use super::{
    ControlCommand, CountsReport, UpstreamError, UpstreamSettings, control_state::ControlState,
    run_counts::RunCounts, service_time::ServiceTime, slot_queue::SlotQueue,
};

/// Everything that the calls of one upstream share.
pub(super) struct UpstreamState {
    /// Settings as given.
    pub(super) settings: UpstreamSettings,
    /// The service as declared.
    pub(super) service: ServiceEntry,
    /// Slots and queue.
    pub(super) queue: SlotQueue,
    /// Slots in all.
    pub(super) slots: u32,
    service_time: ServiceTime,
    started: Instant,
    leaving: AtomicBool,
    /// Woken when a call has ended the upstream.
    ended: Notify,
    counts: Mutex<RunCounts>,
    control: Mutex<ControlState>,
    rng: Mutex<Pcg64>,
}

impl UpstreamState {
    /// # Errors
    /// [`UpstreamError::UnknownService`] where the schema lacks the service, or
    /// [`UpstreamError::RunLog`].
    pub(super) fn new(settings: UpstreamSettings) -> Result<Self, UpstreamError> {
        let service = settings
            .schema
            .service(&settings.service)
            .cloned()
            .ok_or_else(|| UpstreamError::UnknownService(settings.service.clone()))?;
        let slots = settings.slots.unwrap_or(service.slots);
        Ok(Self {
            queue: SlotQueue::new(slots as usize, settings.max_waiting),
            slots,
            service,
            service_time: ServiceTime::new(settings.service_time),
            started: Instant::now(),
            leaving: AtomicBool::new(false),
            ended: Notify::new(),
            counts: Mutex::new(RunCounts::new(open_run_log(&settings)?)),
            control: Mutex::new(ControlState::new()),
            rng: Mutex::new(Pcg64::seed_from_u64(settings.seed)),
            settings,
        })
    }

    /// The operation called `name`.
    pub(super) fn operation(&self, name: &str) -> Option<&OperationEntry> {
        self.service.operation(&OperationName::new(name))
    }

    /// Whether a call with this body ends the upstream.
    pub(super) fn is_fatal(&self, body: &[u8]) -> bool {
        let text = self.settings.ends_on.as_ref().filter(|text| !text.is_empty());
        text.is_some_and(|text| body.windows(text.len()).any(|part| part == text.as_bytes()))
    }

    /// A call ends the upstream.
    pub(super) fn end(&self) {
        self.ended.notify_one();
    }

    /// Waits until a call has ended the upstream.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// The counters.
    pub(super) fn counts(&self) -> MutexGuard<'_, RunCounts> {
        lock(&self.counts)
    }

    /// The counters as told to others.
    pub(super) fn report(&self) -> CountsReport {
        self.counts().report(self.queue.waiting() as u64)
    }

    /// The faults in force.
    pub(super) fn control(&self) -> ControlState {
        *lock(&self.control)
    }

    /// Sets faults.
    pub(super) fn apply(&self, command: ControlCommand) {
        lock(&self.control).apply(command);
    }

    /// Marks the upstream as leaving.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the upstream has announced its leave.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Draws the service time of a run that starts now.
    pub(super) fn draw_service_time(&self) -> Duration {
        let cold = self.started.elapsed() < self.settings.cold_start;
        let cold_factor = if cold { self.settings.cold_factor } else { 1.0 };
        let factor = self.control().slow_factor * cold_factor;
        self.service_time.draw(factor, &mut *lock(&self.rng))
    }

    /// Whether something of probability `ratio` happens.
    pub(super) fn draw_chance(&self, ratio: f64) -> bool {
        ratio > 0.0 && lock(&self.rng).random::<f64>() < ratio
    }

    /// Draws a token for keys of nested calls whose parent has none.
    pub(super) fn draw_token(&self) -> u64 {
        lock(&self.rng).random()
    }
}

fn open_run_log(settings: &UpstreamSettings) -> Result<Option<File>, UpstreamError> {
    let Some(path) = &settings.run_log else { return Ok(None) };
    let opened = File::options().create(true).append(true).open(path);
    opened.map(Some).map_err(UpstreamError::RunLog)
}

/// The counters stay usable after a panic elsewhere: each update is complete in itself.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
