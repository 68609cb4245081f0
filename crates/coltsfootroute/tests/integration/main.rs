//! Integration tests of the library.

mod membership;
