//! Counter of refusals that violate the order of importance.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{importance::Importance, name::ServiceName, time::MonotonicTime};

/// Default length of the window.
const WINDOW: Duration = Duration::from_millis(50);

/// Counter of refusals that violate the order of importance, as seen by one observer (a guard or a
/// caller).
///
/// A breach is a refusal for overload of work of importance *i* for service *S* at time *t*, where
/// the observer admitted work for *S* of lower importance, or was notified of its admission, in the
/// window before *t*. Admissions at the same time as the refusal count. The count is an upper bound:
/// a surge that fills the upstream within one window is counted too.
#[derive(Clone, Debug)]
pub struct BreachCounter {
    window: Duration,
    /// Time of the last admission, by importance.
    admissions: IndexMap<ServiceName, [Option<MonotonicTime>; Importance::COUNT]>,
    breaches: u64,
}

impl Default for BreachCounter {
    fn default() -> Self {
        Self::new()
    }
}

impl BreachCounter {
    /// Creates a counter with a window of 50 ms.
    pub fn new() -> Self {
        Self { window: WINDOW, admissions: IndexMap::new(), breaches: 0 }
    }

    /// Sets the length of the window.
    pub fn with_window(self, window: Duration) -> Self {
        Self { window, ..self }
    }

    /// Records that work of `importance` was admitted for `service`.
    pub fn on_admission(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        importance: Importance,
    ) {
        if !self.admissions.contains_key(service) {
            self.admissions.insert(service.clone(), [None; Importance::COUNT]);
        }
        if let Some(times) = self.admissions.get_mut(service) {
            times[importance.index()] = Some(now);
        }
    }

    /// Records that work of `importance` was refused for overload; returns whether that is a breach.
    pub fn on_refusal(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        importance: Importance,
    ) -> bool {
        let is_breach = self.admitted_below(now, service, importance).is_some();
        self.breaches += u64::from(is_breach);
        is_breach
    }

    /// Returns the lowest importance below `importance` that was admitted for `service` within the window;
    /// `None` if there was no such admission.
    pub fn admitted_below(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        importance: Importance,
    ) -> Option<Importance> {
        let times = self.admissions.get(service)?;
        let in_window =
            |time: &Option<MonotonicTime>| time.is_some_and(|time| now.since(time) <= self.window);
        let index = times[..importance.index()].iter().position(in_window)?;
        Importance::from_index(index)
    }

    /// Returns the number of breaches since the counter was created.
    pub fn breaches(&self) -> u64 {
        self.breaches
    }
}
