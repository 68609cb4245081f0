//! Eras that the store states in its answers.

use coltsfoot_node::store::EraCell;
use coltsfootroute::table::StoreEra;
use rstest::rstest;

/// Guards against an era that late or malformed answers change.
#[rstest]
#[case::first(&["3"], Some(3))]
#[case::next(&["3", "4"], Some(4))]
#[case::jump(&["3", "9"], Some(9))]
#[case::late_answer(&["4", "3"], Some(4))]
#[case::nonsense(&["3", "four", "", "-1", "99999999999999999999"], Some(3))]
#[case::only_nonsense(&["four"], None)]
#[case::spaces(&[" 3 "], Some(3))]
fn an_era_never_falls(#[case] stated: &[&str], #[case] expected: Option<u64>) {
    let eras = EraCell::new();

    for text in stated {
        eras.record_text(text);
    }

    assert_eq!(eras.latest(), expected.map(StoreEra));
}

/// Guards against returns that are seen where there are none: each means that rows are written again.
#[test]
fn a_late_answer_is_no_return() {
    let eras = EraCell::new();
    eras.record(StoreEra(4));
    let receiver = eras.subscribe();

    eras.record(StoreEra(3));
    eras.record(StoreEra(4));
    let before = receiver.has_changed().expect("the cell lives");
    eras.record(StoreEra(5));

    assert_eq!((before, receiver.has_changed().expect("the cell lives")), (false, true));
}
