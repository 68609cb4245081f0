//! Stand-in for the platform's object store.

mod object_store;

pub use object_store::ObjectStore;
