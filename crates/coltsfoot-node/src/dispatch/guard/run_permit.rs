//! A call's place at the gate, given back however the call ends.

use std::rc::Rc;

use coltsfootroute::admission::CallFinish;

use super::call_guard::CallGuard;

/// A call that waits for the gate's verdict; dropping it withdraws the call.
pub struct WaitPermit {
    guard: Option<Rc<CallGuard>>,
    id: u64,
}

impl WaitPermit {
    /// The call `id`, just about to be offered.
    pub fn new(guard: Rc<CallGuard>, id: u64) -> Self {
        Self { guard: Some(guard), id }
    }

    /// The gate has let the call run.
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
            // The verdict may have been on its way: then the call holds a slot already.
            let mut verdicts = gate.cancel(now, id);
            verdicts.extend(gate.finish(now, id, CallFinish::Cancelled));
            verdicts
        });
    }
}

/// A slot of the upstream; dropping it without [`RunPermit::finish`] counts as cancelled.
pub struct RunPermit {
    guard: Option<Rc<CallGuard>>,
    id: u64,
}

impl RunPermit {
    /// A permit where no gate is in force.
    pub fn without_gate() -> Self {
        Self { guard: None, id: 0 }
    }

    /// Gives the slot back.
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
