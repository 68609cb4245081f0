//! Tests of the library with a driven clock.

mod deadline;
mod drain;
mod retry;
mod routing;
