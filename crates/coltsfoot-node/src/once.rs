//! At-most-once runs at the guard.

mod once_desk;

pub use once_desk::OnceDesk;
