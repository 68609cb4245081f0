//! Tests of the services that an operation reaches, as observed from responses.

use coltsfootroute::{
    admission::ReachedServices,
    name::{OperationName, ServiceName},
    time::MonotonicTime,
};

fn names(names: &[&str]) -> Vec<ServiceName> {
    names.iter().map(|name| ServiceName::new(name)).collect()
}

fn observe(reached: &mut ReachedServices, seconds: u64, services: &[&str]) {
    let now = MonotonicTime::from_millis(seconds * 1_000);
    let (service, operation) = (ServiceName::new("renewals"), OperationName::new("pay"));
    reached.observe(now, &service, &operation, names(services).iter());
}

fn of(reached: &ReachedServices) -> Option<Vec<ServiceName>> {
    let services = reached.of(&ServiceName::new("renewals"), &OperationName::new("pay"))?;
    Some(services.to_vec())
}

#[test]
fn no_services_are_known_before_the_first_response() {
    assert_eq!(of(&ReachedServices::new()), None);
}

#[test]
fn services_of_all_responses_are_kept() {
    let mut reached = ReachedServices::new();

    observe(&mut reached, 1, &["renewals", "medicals"]);
    observe(&mut reached, 2, &["licences"]);

    assert_eq!(of(&reached), Some(names(&["renewals", "medicals", "licences"])));
}

#[test]
fn a_service_that_is_no_longer_reached_is_removed() {
    let mut reached = ReachedServices::new();
    observe(&mut reached, 1, &["renewals", "medicals"]);

    observe(&mut reached, 50, &["renewals"]);
    observe(&mut reached, 62, &["renewals"]);

    assert_eq!(of(&reached), Some(names(&["renewals"])));
}
