//! Steps of a reader state machine.

use super::RowFault;
use crate::table::TableRequest;

record_type! {
    /// Next step of a reader of the table service.
    pub enum ReaderStep<T> {
        /// Send this request and pass the reply to the reader.
        Send(TableRequest),
        /// The read is complete.
        Done(T),
        /// The table service didn't respond: restart the reader later.
        Unavailable,
        /// A row is missing or invalid.
        Faulty(RowFault),
    }
}
