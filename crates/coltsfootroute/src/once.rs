//! At-most-once execution of operations that must not be repeated.
