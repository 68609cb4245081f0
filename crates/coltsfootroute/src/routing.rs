//! Choice of the upstream for a call.
