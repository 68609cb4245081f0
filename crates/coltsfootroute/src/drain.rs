//! Leaving: no new work, nothing in flight interrupted.
