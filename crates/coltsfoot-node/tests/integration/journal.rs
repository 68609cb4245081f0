//! The journal.
