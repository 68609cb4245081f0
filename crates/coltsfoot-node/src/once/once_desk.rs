//! Where the guard claims keys before it dispatches.

use crate::store::StoreHandle;

/// Where the guard claims keys before it dispatches.
#[derive(Clone)]
pub struct OnceDesk {
    store: StoreHandle,
}

impl OnceDesk {
    /// A desk that claims in the table service behind `store`.
    pub fn new(store: StoreHandle) -> Self {
        Self { store }
    }

    /// The table service.
    pub fn store(&self) -> &StoreHandle {
        &self.store
    }
}
