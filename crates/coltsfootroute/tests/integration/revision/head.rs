//! Tests of the requests that a reader of the newest configuration sends.

use super::world::{World, submission_request};
use coltsfootroute::revision::{ChainDigest, HeadReader, ReaderStep};
use rstest::rstest;

/// Returns the number of requests sent and whether a configuration was read.
fn read(world: &mut World, held: Option<ChainDigest>) -> (usize, bool) {
    let mut reader = HeadReader::new().with_held_chain(held);
    let mut request = reader.start();
    let mut requests = 1;
    loop {
        match reader.handle_reply(&world.table.execute(&request)) {
            ReaderStep::Send(next) => request = next,
            ReaderStep::Done(row) => return (requests, row.is_some()),
            other => panic!("{other:?}"),
        }
        requests += 1;
    }
}

#[rstest]
#[case::nothing(|_| None, (2, true))]
#[case::other(|_| Some(ChainDigest::ROOT), (2, true))]
#[case::newest(Some, (1, false))]
fn the_row_of_the_revision_held_is_not_read_again(
    #[case] held_of: fn(ChainDigest) -> Option<ChainDigest>,
    #[case] expected: (usize, bool),
) {
    let mut world = World::default();
    world.submit("a", submission_request("amina", "a", 0, "licences 1"));
    world.run("a");
    let newest = world.history()[0].chain;

    let outcome = read(&mut world, held_of(newest));

    assert_eq!(outcome, expected);
}
