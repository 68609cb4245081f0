//! A call's place at the gate, given back however the call ends.

use std::rc::Rc;

use coltsfootroute::admission::CallFinish;

use super::dispatcher::Dispatcher;

/// A call that waits for the gate's verdict; dropping it withdraws the call.
pub struct WaitPermit {
    dispatcher: Option<Rc<Dispatcher>>,
    id: u64,
}

impl WaitPermit {
    /// The call `id`, just about to be offered.
    pub fn new(dispatcher: Rc<Dispatcher>, id: u64) -> Self {
        Self { dispatcher: Some(dispatcher), id }
    }

    /// The gate has let the call run.
    pub fn into_run(mut self) -> RunPermit {
        RunPermit { dispatcher: self.dispatcher.take(), id: self.id }
    }
}

impl Drop for WaitPermit {
    fn drop(&mut self) {
        let Some(dispatcher) = &self.dispatcher else { return };
        let now = dispatcher.clock.now();
        let id = self.id;
        dispatcher.guard.waiting.borrow_mut().swap_remove(&id);
        dispatcher.guard.with_gate(|gate| {
            // The verdict may have been on its way: then the call holds a slot already.
            let mut verdicts = gate.cancel(now, id);
            verdicts.extend(gate.finish(now, id, CallFinish::Cancelled));
            verdicts
        });
    }
}

/// A slot of the upstream; dropping it without [`RunPermit::finish`] counts as cancelled.
pub struct RunPermit {
    dispatcher: Option<Rc<Dispatcher>>,
    id: u64,
}

impl RunPermit {
    /// A permit where no gate is in force.
    pub fn without_gate() -> Self {
        Self { dispatcher: None, id: 0 }
    }

    /// Gives the slot back.
    pub fn finish(mut self, finish: CallFinish) {
        self.give_back(finish);
    }

    fn give_back(&mut self, finish: CallFinish) {
        let Some(dispatcher) = self.dispatcher.take() else { return };
        let now = dispatcher.clock.now();
        dispatcher.guard.with_gate(|gate| gate.finish(now, self.id, finish));
        dispatcher.guard.queue_changed.notify_one();
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.give_back(CallFinish::Cancelled);
    }
}
