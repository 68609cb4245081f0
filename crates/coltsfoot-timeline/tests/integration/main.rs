//! Integration tests of the time line.

mod collect;
mod merge;
mod output;
mod run;
mod util;
