//! Which services an operation reaches, learnt from answers.

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
fn nothing_is_known_before_the_first_answer() {
    assert_eq!(of(&ReachedServices::new()), None);
}

#[test]
fn the_services_of_all_answers_are_kept() {
    let mut reached = ReachedServices::new();

    observe(&mut reached, 1, &["renewals", "medicals"]);
    observe(&mut reached, 2, &["licences"]);

    assert_eq!(of(&reached), Some(names(&["renewals", "medicals", "licences"])));
}

#[test]
fn a_service_that_is_not_reached_any_more_is_forgotten() {
    let mut reached = ReachedServices::new();
    observe(&mut reached, 1, &["renewals", "medicals"]);

    observe(&mut reached, 50, &["renewals"]);
    observe(&mut reached, 62, &["renewals"]);

    assert_eq!(of(&reached), Some(names(&["renewals"])));
}
