//! Integration tests of the library.

mod event;
