//! Next step of a sweep.

use crate::table::TableRequest;

record_type! {
    /// Next step of a sweep.
    pub enum SweepStep {
        /// Send this request and pass its reply to
        /// [`RecordSweeper::on_reply`](super::RecordSweeper::on_reply).
        Send(TableRequest),
        /// The sweep has reached the last page, or the store didn't answer. Delete these objects, which no
        /// record refers to any more.
        Done {
            /// Names of objects.
            objects: Vec<String>,
        },
    }
}
