//! Typed events and the logical clock that orders them over all processes.
