//! Deadlines along the call chain.
