//! Claims of two guards over the store thread and the table stand-in.

use coltsfoot_standin::table::{FaultCommand, FaultMode};
use coltsfootroute::{
    once::{AnswerBody, ClaimResult},
    outcome::CallOutcome,
    table::ObjectReply,
};

use crate::util::{
    claim_driver::ClaimDriver,
    store_fixture::{LONG, StoreFixture},
};

const LARGE: usize = 100_000;

fn guards(fixture: &StoreFixture) -> (ClaimDriver, ClaimDriver) {
    (ClaimDriver::new(&fixture.store, 7_001), ClaimDriver::new(&fixture.store, 7_002))
}

#[tokio::test]
async fn a_claim_whose_acknowledgement_is_lost_is_found_again() {
    let fixture = StoreFixture::new();
    let (mut a, mut b) = guards(&fixture);
    fixture.fault(FaultCommand::new(FaultMode::AckLost).with_count(1));

    let first = a.claim(1, "fee").await;
    let second = b.claim(2, "fee").await;

    assert!(matches!(first, ClaimResult::Dispatch(_)), "{first:?}");
    assert!(matches!(second, ClaimResult::Busy(_)), "{second:?}");
}

#[tokio::test]
async fn a_refused_claim_is_released_for_the_repeat() {
    let fixture = StoreFixture::new();
    let (mut a, mut b) = guards(&fixture);
    fixture.fault(FaultCommand::new(FaultMode::Down));

    let refused = a.claim(1, "fee").await;
    fixture.fault(FaultCommand::new(FaultMode::Up));
    a.settle().await;
    let repeat = b.claim(2, "fee").await;

    assert_eq!(refused.outcome(), Some(CallOutcome::NotRun));
    assert!(matches!(repeat, ClaimResult::Dispatch(_)), "{repeat:?}");
}

#[tokio::test]
async fn an_answer_is_replayed_by_the_other_guard() {
    let fixture = StoreFixture::new();
    let (mut a, mut b) = guards(&fixture);
    let first = a.claim(1, "fee").await;
    a.run(first, b"renewed".to_vec());
    fixture.fault(FaultCommand::new(FaultMode::AckLost).with_count(1));
    a.settle().await;

    let repeat = b.claim(2, "fee").await;

    let ClaimResult::Replay(answer) = repeat else { panic!("{repeat:?}") };
    assert_eq!(answer.body, AnswerBody::Inline(b"renewed".to_vec()));
    assert_eq!(a.guard.open_claims(), 0);
}

#[tokio::test]
async fn a_large_answer_goes_to_the_object_store() {
    let fixture = StoreFixture::new();
    let (mut a, mut b) = guards(&fixture);
    let first = a.claim(1, "fee").await;
    a.run(first, vec![7; LARGE]);
    a.settle().await;

    let repeat = b.claim(2, "fee").await;

    let ClaimResult::Replay(answer) = repeat else { panic!("{repeat:?}") };
    let AnswerBody::Object { name, .. } = answer.body else { panic!("{answer:?}") };
    let found = fixture.store.get_object(&name, LONG).await;
    assert_eq!(found, ObjectReply::Found(vec![7; LARGE]));
}
