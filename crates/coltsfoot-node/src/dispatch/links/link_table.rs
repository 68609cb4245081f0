//! Table of connections by node, opened on first use.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use coltsfootroute::{id::NodeId, time::MonotonicTime};
use indexmap::IndexMap;
use tokio::sync::OnceCell;

use super::LinkError;

struct LinkSlot<L> {
    /// Distinguishes this connection from later ones to the same node.
    serial: u64,
    used: MonotonicTime,
    link: Rc<OnceCell<L>>,
}

type LinkSlots<L> = Rc<RefCell<IndexMap<NodeId, LinkSlot<L>>>>;

/// Connections by node, one per node, opened on first use.
pub(super) struct LinkTable<L> {
    slots: LinkSlots<L>,
    next_serial: Cell<u64>,
}

/// The registration of one connection in its table. Dropping it removes the connection from the table: a call sent over
/// it later would be lost with an unknown outcome.
pub(super) struct LinkRegistration<L> {
    slots: LinkSlots<L>,
    node: NodeId,
    serial: u64,
}

impl<L> LinkRegistration<L> {
    /// Returns the serial number of the connection, which is never reused.
    pub(super) fn serial(&self) -> u64 {
        self.serial
    }
}

impl<L> Drop for LinkRegistration<L> {
    fn drop(&mut self) {
        remove_link(&self.slots, self.node, self.serial);
    }
}

impl<L: Clone> LinkTable<L> {
    /// Creates an empty table.
    pub(super) fn new() -> Self {
        Self { slots: Rc::default(), next_serial: Cell::new(0) }
    }

    /// Returns the connection to `node`; concurrent callers share one attempt to `open` it.
    ///
    /// # Errors
    ///
    /// Returns the error of `open`.
    pub(super) async fn get(
        &self,
        now: MonotonicTime,
        node: NodeId,
        open: impl AsyncFnOnce(LinkRegistration<L>) -> Result<L, LinkError>,
    ) -> Result<L, LinkError> {
        let (cell, serial) = self.slot(now, node);
        if let Some(link) = cell.get() {
            return Ok(link.clone());
        }
        let registration = || LinkRegistration { slots: self.slots.clone(), node, serial };
        let link = cell.get_or_try_init(|| open(registration())).await;
        link.cloned()
    }

    fn slot(&self, now: MonotonicTime, node: NodeId) -> (Rc<OnceCell<L>>, u64) {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.entry(node).or_insert_with(|| {
            let serial = self.next_serial.get();
            self.next_serial.set(serial + 1);
            LinkSlot { serial, used: now, link: Rc::default() }
        });
        slot.used = now;
        (slot.link.clone(), slot.serial)
    }

    /// Removes a failed connection, unless it has been replaced since.
    pub(super) fn remove_failed(&self, node: NodeId, serial: u64) {
        remove_link(&self.slots, node, serial);
    }

    /// Removes connections that have not been used since `since`. A call in flight holds a clone of its link.
    pub(super) fn close_unused(&self, since: MonotonicTime) {
        self.slots.borrow_mut().retain(|_, slot| slot.used > since);
    }

    /// Returns the number of connections.
    pub(super) fn count(&self) -> usize {
        self.slots.borrow().len()
    }
}

fn remove_link<L>(slots: &LinkSlots<L>, node: NodeId, serial: u64) {
    let mut slots = slots.borrow_mut();
    if slots.get(&node).is_some_and(|slot| slot.serial == serial) {
        slots.swap_remove(&node);
    }
}
