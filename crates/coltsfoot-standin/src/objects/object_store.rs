//! Objects in memory.

use bytes::Bytes;
use indexmap::IndexMap;

/// Objects by name. A put replaces the object whole.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: IndexMap<String, Bytes>,
}

impl ObjectStore {
    /// Stores `bytes` under `name`.
    pub fn put(&mut self, name: &str, bytes: Bytes) {
        self.objects.insert(name.to_owned(), bytes);
    }

    /// The object called `name`.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Deletes the object called `name`, if there is one.
    pub fn delete(&mut self, name: &str) {
        self.objects.swap_remove(name);
    }
}
