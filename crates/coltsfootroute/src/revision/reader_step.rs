//! Steps of a reader.

use super::RowFault;
use crate::table::TableRequest;

record_type! {
    /// What a reader of the table service wants next.
    pub enum ReaderStep<T> {
        /// Carry this out and hand back the reply.
        Send(TableRequest),
        /// All is read.
        Done(T),
        /// The table service didn't answer: start anew later.
        Unavailable,
        /// A row isn't what it should be.
        Faulty(RowFault),
    }
}
