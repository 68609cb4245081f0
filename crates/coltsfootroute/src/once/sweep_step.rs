//! Step of a sweep.

use crate::table::TableRequest;

record_type! {
    /// What to do next for a sweep.
    pub enum SweepStep {
        /// Send this request and give its reply back.
        Send(TableRequest),
        /// Send nothing: the sweep has reached the end, or the store didn't answer. Delete the objects
        /// named, which no record refers to any more.
        Done {
            /// Names of objects.
            objects: Vec<String>,
        },
    }
}
