//! Steps of a submission.

use super::SubmissionResult;
use crate::table::TableRequest;

record_type! {
    /// What a [`Submission`](super::Submission) wants next.
    pub enum SubmissionStep {
        /// Carry this out and hand back the reply.
        Send(TableRequest),
        /// The same after a pause: the request before it failed.
        SendLater(TableRequest),
        /// The end.
        Done(SubmissionResult),
    }
}
