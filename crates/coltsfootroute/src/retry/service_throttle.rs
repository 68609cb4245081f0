//! Bound on the retries that reach an upstream.

use super::{ThrottleSettings, retry_bucket::RetryBucket, retry_window::RetryWindow};
use crate::{importance::Importance, time::MonotonicTime};

/// Bounds the retries that reach an upstream to a share of its calls, whichever callers and client requests they
/// belong to. Kept by the guard: each upstream's share adds up to that of its service.
#[derive(Clone, Debug)]
pub struct ServiceThrottle {
    bound: RetryBound,
}

#[derive(Clone, Debug)]
enum RetryBound {
    /// Where nothing but a burst is saved up.
    Bucket(RetryBucket),
    /// Where the calls of some seconds earn for the same seconds.
    Window(Box<RetryWindow>),
}

impl ServiceThrottle {
    /// A throttle with its burst saved up.
    pub fn new(now: MonotonicTime, settings: ThrottleSettings) -> Self {
        let bound = match settings.window_seconds {
            0 => RetryBound::Bucket(RetryBucket::new(now, settings)),
            _ => RetryBound::Window(Box::new(RetryWindow::new(settings))),
        };
        Self { bound }
    }

    /// Another guard of the service, with a throttle of its own, has come, gone or begun anew.
    pub fn record_guard_change(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(_) => {}
            RetryBound::Window(window) => window.record_guard_change(now),
        }
    }

    /// Counts a first attempt.
    pub fn record_call(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.record_call(),
            RetryBound::Window(window) => window.record_call(now),
        }
    }

    /// Whether the upstream bears one more retry now, for a request of `importance`; if so, it is counted.
    pub fn try_retry(&mut self, now: MonotonicTime, importance: Importance) -> bool {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.try_retry(now),
            RetryBound::Window(window) => window.try_retry(now, importance),
        }
    }

    /// Gives back a retry that did not reach the upstream.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.refund(),
            RetryBound::Window(window) => window.refund(now, importance),
        }
    }

    /// Counts a repeat that could not be helped: a first attempt of a call below work that is itself run
    /// again.
    pub fn charge(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.charge(),
            RetryBound::Window(window) => window.charge(now),
        }
    }
}
