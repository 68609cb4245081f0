//! Schemas: the samples and what is refused.

use coltsfootroute::schema::SchemaDocument;
use rstest::rstest;

#[rstest]
#[case::anga(include_str!("../../../../samples/anga.yaml"), 4)]
#[case::baldosa(include_str!("../../../../samples/baldosa.yaml"), 4)]
fn samples_are_accepted(#[case] text: &str, #[case] services: usize) {
    let document = SchemaDocument::from_yaml(text).expect("the sample is valid");

    assert_eq!(document.services.len(), services);
}

#[rstest]
#[case::unknown_key("deployment: a\nservices: []\nfoo: 1\n")]
#[case::duplicate_key("deployment: a\nservices: []\ndeployment: b\n")]
#[case::alias("deployment: &a a\nservices: [*a]\n")]
fn faulty_text_is_refused(#[case] text: &str) {
    let errors = SchemaDocument::from_yaml(text).expect_err("the text is faulty");

    assert!(errors.errors.iter().all(|error| error.line > 0), "{errors}");
}
