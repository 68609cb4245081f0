//! Configuration revisions: submission, history, spread.
