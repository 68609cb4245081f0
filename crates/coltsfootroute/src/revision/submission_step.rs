//! Steps of the submission state machine.

use super::SubmissionResult;
use crate::table::TableRequest;

record_type! {
    /// Next step of a [`Submission`](super::Submission).
    pub enum SubmissionStep {
        /// Send this request and pass the reply to the submission.
        Send(TableRequest),
        /// Send this request after a pause, because the previous one failed.
        SendLater(TableRequest),
        /// The submission has ended.
        Done(SubmissionResult),
    }
}
