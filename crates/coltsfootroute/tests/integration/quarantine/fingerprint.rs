//! Tests of the fingerprint of requests.

use coltsfootroute::quarantine::{FingerprintParts, RequestFingerprint};
use rstest::rstest;

fn parts() -> FingerprintParts<'static> {
    FingerprintParts {
        method: b"GET",
        host: b"a.example",
        target: b"/view/7?x=1",
        credential: b"Bearer k",
        body: b"body",
    }
}

#[test]
fn each_part_changes_the_fingerprint() {
    let own = RequestFingerprint::of(&parts());
    let others = [
        FingerprintParts { method: b"POST", ..parts() },
        FingerprintParts { host: b"b.example", ..parts() },
        FingerprintParts { target: b"/view/7?x=2", ..parts() },
        FingerprintParts { credential: b"Bearer l", ..parts() },
        FingerprintParts { body: b"bodz", ..parts() },
        // The same bytes, divided in another place.
        FingerprintParts { credential: b"Bearer kb", body: b"ody", ..parts() },
    ];

    assert_eq!(own, RequestFingerprint::of(&parts()));
    for other in others {
        assert_ne!(own, RequestFingerprint::of(&other), "{other:?}");
    }
}

#[rstest]
#[case(RequestFingerprint(0))]
#[case(RequestFingerprint(u128::MAX))]
#[case(RequestFingerprint::of(&parts()))]
fn fingerprint_parses_back_from_its_text(#[case] fingerprint: RequestFingerprint) {
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
}
