//! Permits for a call's queue entry and slot at the gate, released when dropped.

use std::rc::Rc;

use coltsfootroute::admission::CallFinish;

use super::call_guard::CallGuard;

/// A call that waits for the gate's verdict. Dropping the permit withdraws the call.
pub struct WaitPermit {
    guard: Option<Rc<CallGuard>>,
    id: u64,
}

impl WaitPermit {
    /// Creates a permit for the call `id`, which is about to be offered to the gate.
    pub fn new(guard: Rc<CallGuard>, id: u64) -> Self {
        Self { guard: Some(guard), id }
    }

    /// Converts the permit once the gate has admitted the call.
    pub fn into_run(mut self) -> RunPermit {
        RunPermit { guard: self.guard.take(), id: self.id }
    }
}

impl Drop for WaitPermit {
    fn drop(&mut self) {
        let Some(guard) = &self.guard else { return };
        let now = guard.context.now();
        let id = self.id;
        guard.state.waiting.borrow_mut().swap_remove(&id);
        guard.state.with_gate(|gate| {
            // If the verdict was already sent, the call holds a slot, which is released here.
            let mut verdicts = gate.cancel(now, id);
            verdicts.extend(gate.finish(now, id, CallFinish::Cancelled));
            verdicts
        });
    }
}

/// A slot of the upstream. Dropping the permit without [`RunPermit::finish`] counts the call as cancelled.
pub struct RunPermit {
    guard: Option<Rc<CallGuard>>,
    id: u64,
}

impl RunPermit {
    /// Creates a permit for a call that bypasses the gate.
    pub fn without_gate() -> Self {
        Self { guard: None, id: 0 }
    }

    /// Releases the slot.
    pub fn finish(mut self, finish: CallFinish) {
        self.release(finish);
    }

    fn release(&mut self, finish: CallFinish) {
        let Some(guard) = self.guard.take() else { return };
        let now = guard.context.now();
        guard.state.with_gate(|gate| gate.finish(now, self.id, finish));
        guard.state.queue_changed.notify_one();
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.release(CallFinish::Cancelled);
    }
}
