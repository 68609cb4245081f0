//! Tests of the library, one file for each subject.

mod admission;
