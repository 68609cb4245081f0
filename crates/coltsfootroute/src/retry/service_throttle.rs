//! Throttle for the retries that reach an upstream.

use super::{ThrottleSettings, retry_bucket::RetryBucket, retry_window::RetryWindow};
use crate::{importance::Importance, time::MonotonicTime};

/// Limits the retries that reach an upstream to a share of its calls, across all callers and client requests. Each
/// guard has its own throttle, so the limits of the upstreams add up to that of their service.
#[derive(Clone, Debug)]
pub struct ServiceThrottle {
    bound: RetryBound,
}

#[derive(Clone, Debug)]
enum RetryBound {
    /// Used if at most the burst can be saved up.
    Bucket(RetryBucket),
    /// Used if the calls of a window of some seconds earn the retries of that window.
    Window(Box<RetryWindow>),
}

impl ServiceThrottle {
    /// Creates a throttle with its burst available.
    pub fn new(now: MonotonicTime, settings: ThrottleSettings) -> Self {
        let bound = match settings.window_seconds {
            0 => RetryBound::Bucket(RetryBucket::new(now, settings)),
            _ => RetryBound::Window(Box::new(RetryWindow::new(settings))),
        };
        Self { bound }
    }

    /// Records that another guard of the service, which has its own throttle, has joined, left or restarted.
    pub fn record_guard_change(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(_) => {}
            RetryBound::Window(window) => window.record_guard_change(now),
        }
    }

    /// Records a first attempt.
    pub fn record_call(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.record_call(),
            RetryBound::Window(window) => window.record_call(now),
        }
    }

    /// Grants and counts one retry for a request of `importance` if the limit allows it; returns whether it was
    /// granted.
    pub fn try_retry(&mut self, now: MonotonicTime, importance: Importance) -> bool {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.try_retry(now),
            RetryBound::Window(window) => window.try_retry(now, importance),
        }
    }

    /// Refunds a granted retry that did not reach the upstream.
    pub fn refund(&mut self, now: MonotonicTime, importance: Importance) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.refund(),
            RetryBound::Window(window) => window.refund(now, importance),
        }
    }

    /// Charges the throttle for an unavoidable repeat: the first attempt of a call that is nested below a call that is
    /// itself executed again.
    pub fn charge(&mut self, now: MonotonicTime) {
        match &mut self.bound {
            RetryBound::Bucket(bucket) => bucket.charge(),
            RetryBound::Window(window) => window.charge(now),
        }
    }
}
