//! Admission by importance within an adaptive limit on concurrency.
