//! Answers that the node still has to hand over to their callers, on whichever listener or link they wait for them.

mod answer_tracker;
mod open_answer;
mod tracked_body;

pub use answer_tracker::AnswerTracker;
pub use open_answer::OpenAnswer;
pub use tracked_body::TrackedBody;
