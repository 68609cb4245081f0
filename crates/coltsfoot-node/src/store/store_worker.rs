//! Runs each request through rate budget, circuit breaker, client and retries.

use std::{cell::RefCell, future::Future, sync::Arc};

use coltsfootroute::{
    event::EventKind,
    table::{
        BreakerState, CircuitBreaker, ObjectReply, RateBudget, StoreBackoff, StoreHealth, StoreUse,
        TableReply, TableRequest,
    },
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    StorePort, StoreReply, StoreSettings,
    store_command::{ObjectAction, StoreCommand},
    store_results::{failure_text, object_result, store_result},
};
use crate::{clock::MonotonicClock, journal::EventSender, metrics::NodeMetrics};

/// Executes the commands of the store thread, with the state that all requests share.
pub(super) struct StoreWorker<P> {
    port: P,
    backoff: StoreBackoff,
    clock: MonotonicClock,
    policy: RefCell<StorePolicy>,
    metrics: Arc<NodeMetrics>,
    events: EventSender,
}

#[derive(Debug)]
struct StorePolicy {
    budget: RateBudget,
    table_breaker: CircuitBreaker,
    object_breaker: CircuitBreaker,
    /// Time at which the table service was found to be down; `None` while it is up.
    down_since: Option<MonotonicTime>,
    rng: Pcg64,
}

/// Service of the platform. The two fail independently, so each has its own circuit breaker.
#[derive(Clone, Copy, Debug)]
enum StoreService {
    Table,
    Objects,
}

/// Error for a request that was not sent.
#[derive(Debug)]
struct NotSent;

impl<P: StorePort> StoreWorker<P> {
    pub(super) fn new(
        port: P,
        settings: &StoreSettings,
        metrics: Arc<NodeMetrics>,
        events: EventSender,
    ) -> Self {
        let policy = StorePolicy {
            budget: RateBudget::new(&settings.share),
            table_breaker: CircuitBreaker::new(settings.breaker.clone()),
            object_breaker: CircuitBreaker::new(settings.breaker.clone()),
            down_since: None,
            rng: Pcg64::seed_from_u64(settings.seed),
        };
        let backoff = settings.backoff.clone();
        let policy = RefCell::new(policy);
        Self { port, backoff, clock: MonotonicClock::new(), policy, metrics, events }
    }

    pub(super) async fn execute(&self, command: StoreCommand) {
        // Sending a reply fails only if the caller has gone away and needs none.
        match command {
            StoreCommand::Table { request, store_use, deadline, reply } => {
                let _ = reply.send(self.table(&request, store_use, deadline).await);
            }
            StoreCommand::Object { action, deadline, reply } => {
                let _ = reply.send(self.object(&action, deadline).await);
            }
        }
    }

    async fn table(
        &self,
        request: &TableRequest,
        store_use: StoreUse,
        deadline: Instant,
    ) -> TableReply {
        let mut attempt = 1;
        loop {
            let reply = self.attempt_table(request, store_use, deadline).await;
            self.metrics.store.requested(store_use, store_result(reply.as_ref().ok()));
            let Ok(reply) = reply else { return TableReply::Unavailable };
            let pause = {
                let rng = &mut self.policy.borrow_mut().rng;
                self.backoff.pause(request, &reply, attempt, rng)
            };
            let Some(pause) = pause.filter(|pause| Instant::now() + *pause < deadline) else {
                return reply;
            };
            sleep(pause).await;
            attempt += 1;
        }
    }

    async fn attempt_table(
        &self,
        request: &TableRequest,
        store_use: StoreUse,
        deadline: Instant,
    ) -> Result<TableReply, NotSent> {
        self.check_breaker(StoreService::Table)?;
        self.wait_for_budget(request, store_use, deadline).await?;
        let sent =
            self.send_guarded(StoreService::Table, deadline, self.port.table(request)).await?;
        Ok(match sent {
            StoreReply::Answer(reply) => reply,
            StoreReply::RateLimited | StoreReply::Refused => TableReply::Unavailable,
            StoreReply::Lost => TableReply::Uncertain,
        })
    }

    async fn object(&self, action: &ObjectAction, deadline: Instant) -> ObjectReply {
        let sent = match action {
            ObjectAction::Put { name, body } => {
                let put = self.port.put_object(name, body.clone());
                self.send_guarded(StoreService::Objects, deadline, put).await
            }
            ObjectAction::Get { name } => {
                let get = self.port.get_object(name);
                self.send_guarded(StoreService::Objects, deadline, get).await
            }
        };
        // Objects hold parts of answers, so they count as that use.
        self.metrics.store.requested(StoreUse::Answer, object_result(sent.as_ref().ok()));
        match sent {
            Ok(StoreReply::Answer(reply)) => reply,
            Ok(StoreReply::Lost) => ObjectReply::Uncertain,
            Ok(StoreReply::RateLimited | StoreReply::Refused) | Err(NotSent) => {
                ObjectReply::Unavailable
            }
        }
    }

    fn check_breaker(&self, service: StoreService) -> Result<(), NotSent> {
        let now = self.now();
        if self.policy.borrow_mut().breaker(service).would_admit(now) {
            Ok(())
        } else {
            Err(NotSent)
        }
    }

    async fn wait_for_budget(
        &self,
        request: &TableRequest,
        store_use: StoreUse,
        deadline: Instant,
    ) -> Result<(), NotSent> {
        let left = deadline.saturating_duration_since(Instant::now());
        let now = self.now();
        let wait = self.policy.borrow_mut().budget.acquire(now, request, store_use, left);
        sleep(wait.ok_or(NotSent)?).await;
        Ok(())
    }

    /// Sends a request within the deadline if the breaker admits it, and records the outcome in the breaker.
    async fn send_guarded<T>(
        &self,
        service: StoreService,
        deadline: Instant,
        sending: impl Future<Output = StoreReply<T>>,
    ) -> Result<StoreReply<T>, NotSent> {
        if Instant::now() >= deadline {
            return Err(NotSent);
        }
        let now = self.now();
        if !self.policy.borrow_mut().breaker(service).admit(now) {
            return Err(NotSent);
        }
        let reply = timeout_at(deadline, sending).await.unwrap_or(StoreReply::Lost);
        let now = self.now();
        self.policy.borrow_mut().record(service, now, reply.health());
        if matches!(service, StoreService::Table) {
            self.record_health(now, &reply);
        }
        Ok(reply)
    }

    /// Records whether the store is up. The node depends on the table service, so only its replies count: the store is
    /// up from the first answer, and down once the breaker has opened.
    fn record_health<T>(&self, now: MonotonicTime, reply: &StoreReply<T>) {
        let mut policy = self.policy.borrow_mut();
        let is_closed = matches!(policy.table_breaker.state(), BreakerState::Closed(_));
        match reply.health() {
            StoreHealth::Answering => {
                self.metrics.store.set_up(true);
                if let Some(since) = policy.down_since.take() {
                    let down_ms = now.since(since).as_millis();
                    let down_ms = u64::try_from(down_ms).unwrap_or(u64::MAX);
                    self.events.emit(EventKind::StoreUp { down_ms });
                }
            }
            StoreHealth::Failing if !is_closed && policy.down_since.is_none() => {
                policy.down_since = Some(now);
                self.metrics.store.set_up(false);
                self.events.emit(EventKind::StoreDown { error: failure_text(reply).to_owned() });
            }
            StoreHealth::Failing => {}
        }
    }

    fn now(&self) -> MonotonicTime {
        self.clock.now()
    }
}

impl StorePolicy {
    fn breaker(&mut self, service: StoreService) -> &mut CircuitBreaker {
        match service {
            StoreService::Table => &mut self.table_breaker,
            StoreService::Objects => &mut self.object_breaker,
        }
    }

    fn record(&mut self, service: StoreService, now: MonotonicTime, health: StoreHealth) {
        let breaker = match service {
            StoreService::Table => &mut self.table_breaker,
            StoreService::Objects => &mut self.object_breaker,
        };
        breaker.record(now, health, &mut self.rng);
    }
}
