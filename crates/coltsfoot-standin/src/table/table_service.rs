//! Requests to the stand-in, independent of HTTP.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use coltsfootroute::{
    table::{MemoryTable, TableReply, TableRequest, TokenBucket},
    time::MonotonicTime,
};

use tokio::sync::watch;

use super::{
    FaultCommand, FaultMode, TableCounts, TableSettings,
    fault_state::{FaultState, FaultVerdict},
};
use crate::objects::ObjectStore;

/// What all connections share.
#[derive(Debug)]
pub(super) struct TableService {
    started: Instant,
    inner: Mutex<ServiceState>,
    /// Number of commands so far; what is held back waits for the next.
    commands: watch::Sender<u64>,
}

#[derive(Debug)]
struct ServiceState {
    rows: MemoryTable,
    objects: ObjectStore,
    fault: FaultState,
    counts: TableCounts,
    writes: TokenBucket,
    reads: TokenBucket,
}

/// Why there is no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceError {
    /// Refused while down; nothing was carried out.
    Down,
    /// Refused by the rate limits; nothing was carried out.
    RateLimited,
    /// Carried out, and the answer lost.
    AnswerLost,
}

impl TableService {
    pub(super) fn new(settings: &TableSettings) -> Self {
        let state = ServiceState {
            rows: MemoryTable::default(),
            objects: ObjectStore::default(),
            fault: FaultState::default(),
            counts: TableCounts::default(),
            writes: TokenBucket::new(settings.writes_per_s, settings.writes_per_s),
            reads: TokenBucket::new(settings.reads_per_s, settings.reads_per_s),
        };
        let commands = watch::Sender::new(0);
        Self { started: Instant::now(), inner: Mutex::new(state), commands }
    }

    pub(super) fn fault(&self, command: &FaultCommand) {
        let mut state = self.lock();
        state.fault = FaultState::new(command);
        if let Some(rate) = command.writes_per_s {
            state.writes = TokenBucket::new(rate, rate);
        }
        if let Some(rate) = command.reads_per_s {
            state.reads = TokenBucket::new(rate, rate);
        }
        drop(state);
        self.commands.send_modify(|commands| *commands += 1);
    }

    pub(super) fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    pub(super) async fn table(&self, request: &TableRequest) -> Result<TableReply, ServiceError> {
        let is_write = request.is_write();
        let verdict = self.pass(is_write, true).await?;
        let reply = self.lock().apply(request);
        answer(verdict, reply)
    }

    pub(super) async fn put_object(&self, name: &str, body: Bytes) -> Result<(), ServiceError> {
        let verdict = self.pass(true, false).await?;
        self.lock().objects.put(name, body);
        answer(verdict, ())
    }

    pub(super) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, ServiceError> {
        let verdict = self.pass(false, false).await?;
        let object = self.lock().objects.get(name);
        answer(verdict, object)
    }

    pub(super) async fn delete_object(&self, name: &str) -> Result<(), ServiceError> {
        let verdict = self.pass(true, false).await?;
        self.lock().objects.delete(name);
        answer(verdict, ())
    }

    /// Lets the fault and the rate limits meet a request.
    async fn pass(&self, is_write: bool, is_table: bool) -> Result<FaultVerdict, ServiceError> {
        // Before the fault is looked at: no command between the two may be missed.
        let mut commands = self.commands.subscribe();
        let now = MonotonicTime::ZERO + self.started.elapsed();
        let verdict = self.lock().meet(now, is_write, is_table)?;
        if verdict.mode == FaultMode::Held {
            // An error means that the stand-in is gone, and this request with it.
            let _ = commands.changed().await;
        }
        if !verdict.delay.is_zero() {
            tokio::time::sleep(verdict.delay).await;
        }
        Ok(verdict)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceState {
    fn meet(
        &mut self,
        now: MonotonicTime,
        is_write: bool,
        is_table: bool,
    ) -> Result<FaultVerdict, ServiceError> {
        let verdict = self.fault.meet(is_write);
        if verdict.mode == FaultMode::Down {
            self.counts.refused_down += 1;
            return Err(ServiceError::Down);
        }
        if !is_table {
            self.counts.objects += 1;
            return Ok(verdict);
        }
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        if bucket.acquire(now, 0.0, Duration::ZERO).is_none() {
            self.counts.refused_by_rate += 1;
            return Err(ServiceError::RateLimited);
        }
        self.counts.held += u64::from(verdict.mode == FaultMode::Held);
        Ok(verdict)
    }

    fn apply(&mut self, request: &TableRequest) -> TableReply {
        let reply = self.rows.apply(request);
        match (request, &reply) {
            (TableRequest::Transact(writes), TableReply::Committed) => {
                self.counts.writes += 1;
                self.counts.rows_written += writes.len() as u64;
            }
            (TableRequest::Transact(_), _) => {
                self.counts.writes += 1;
                self.counts.conflicts += 1;
            }
            _ => self.counts.reads += 1,
        }
        reply
    }
}

fn answer<T>(verdict: FaultVerdict, value: T) -> Result<T, ServiceError> {
    match verdict.mode {
        FaultMode::AckLost => Err(ServiceError::AnswerLost),
        _ => Ok(value),
    }
}
