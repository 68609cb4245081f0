//! Tests of the store thread against the table stand-in, with injected faults.

use std::time::Duration;

use bytes::Bytes;
use coltsfoot_node::store::{HttpClient, StoreSettings, StoreThread};
use coltsfoot_standin::table::{FaultCommand, FaultMode, TableCounts};
use coltsfootroute::table::{
    BreakerSettings, ObjectReply, RateShare, StoreBackoff, StoreUse, TableReply, TableRequest,
};

use crate::util::{
    node_metrics::{node_metrics, value_of as series},
    store_fixture::{LONG, StoreFixture, event_log, insert, read},
};

const NEVER: Duration = Duration::from_secs(3_600);

fn value_of(reply: &TableReply) -> Option<&str> {
    match reply {
        TableReply::Rows(rows) => rows.first().map(|row| row.value.as_str()),
        other => panic!("not rows: {other:?}"),
    }
}

fn breaker_after(failures: u32) -> BreakerSettings {
    BreakerSettings {
        failures_to_open: failures,
        initial_open: NEVER,
        max_open: NEVER,
        probe_timeout: NEVER,
    }
}

fn no_retry() -> StoreBackoff {
    StoreBackoff { max_attempts: 1, ..StoreBackoff::default() }
}

#[tokio::test]
async fn conditional_write_conflicts_with_an_existing_row() {
    let fixture = StoreFixture::new();

    let first = fixture.claim(insert("once/a", "1")).await;
    let second = fixture.claim(insert("once/a", "2")).await;

    assert_eq!(first, TableReply::Committed);
    let TableReply::Conflict(rows) = second else { panic!("{second:?}") };
    assert_eq!(rows[0].value, "1");
    assert_eq!(rows[0].version.0, 1);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_uncertain_and_sent_once() {
    let fixture = StoreFixture::new();
    fixture.fault(FaultCommand::new(FaultMode::AckLost));

    let reply = fixture.claim(insert("once/a", "1")).await;

    assert_eq!(reply, TableReply::Uncertain);
    assert_eq!(fixture.table.counts().writes, 1);
    assert_eq!(value_of(&fixture.claim(read("once/a")).await), Some("1"));
}

#[tokio::test]
async fn a_write_past_its_deadline_is_uncertain_and_takes_effect_late() {
    let never_open = breaker_after(u32::MAX);
    let fixture = StoreFixture::with_settings(|settings| settings.with_breaker(never_open));
    fixture.fault(FaultCommand::new(FaultMode::Held));
    let mut unsent = Vec::new();

    // On a busy host a request may not be sent before its deadline. That is not a fault: the reply is `Unavailable`.
    for round in 0.. {
        let key = format!("once/{round}");
        let deadline = Duration::from_millis(20);
        let reply = fixture.store.request(insert(&key, "1"), deadline, StoreUse::Claim).await;
        match reply {
            TableReply::Uncertain if fixture.table.counts().held > 0 => break,
            TableReply::Uncertain => {}
            TableReply::Unavailable => unsent.push(key),
            other => panic!("{other:?} from a store that holds back"),
        }
    }

    let held = fixture.table.counts().held;
    assert_eq!(fixture.table.counts().writes, 0);
    fixture.fault(FaultCommand::new(FaultMode::Up));
    while fixture.table.counts().writes < held {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for key in unsent {
        assert_eq!(value_of(&fixture.claim(read(&key)).await), None, "{key} was sent");
    }
}

#[tokio::test]
async fn a_request_whose_deadline_has_passed_is_not_sent() {
    let fixture = StoreFixture::new();

    let write = insert("once/a", "1");
    let reply = fixture.store.request(write, Duration::ZERO, StoreUse::Claim).await;

    assert_eq!(reply, TableReply::Unavailable);
    assert_eq!(value_of(&fixture.claim(read("once/a")).await), None);
    assert_eq!(fixture.table.counts(), TableCounts { reads: 1, ..no_counts() });
}

#[tokio::test]
async fn a_read_is_retried_after_refusals() {
    let fixture = StoreFixture::new();
    fixture.fault(FaultCommand::new(FaultMode::Down).with_count(2));

    let reply = fixture.claim(read("once/a")).await;

    assert_eq!(reply, TableReply::Rows(Vec::new()));
    assert_eq!(fixture.table.counts().refused_down, 2);
}

#[tokio::test]
async fn a_refused_write_is_retried_and_takes_effect_once() {
    let fixture = StoreFixture::new();
    fixture.fault(FaultCommand::new(FaultMode::Down).with_count(2));

    let reply = fixture.claim(insert("once/a", "1")).await;

    assert_eq!(reply, TableReply::Committed);
    let counts = fixture.table.counts();
    assert_eq!((counts.refused_down, counts.writes), (2, 1));
}

#[tokio::test]
async fn an_unreachable_service_is_unavailable() {
    let fixture = StoreFixture::new();
    let settings = StoreSettings::new(fixture.table.address());
    fixture.table.stop();
    let metrics = node_metrics();
    let (events, _) = event_log(&metrics);
    let store = StoreThread::start(HttpClient::new, settings, metrics, events).expect("thread");

    let reply = store.request(insert("once/a", "1"), LONG, StoreUse::Claim).await;

    assert_eq!(reply, TableReply::Unavailable);
}

#[tokio::test]
async fn an_open_breaker_sends_nothing() {
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(breaker_after(2)).with_backoff(no_retry())
    });
    fixture.fault(FaultCommand::new(FaultMode::Down));

    for _ in 0..5 {
        assert_eq!(fixture.claim(insert("once/a", "1")).await, TableReply::Unavailable);
    }

    assert_eq!(fixture.table.counts().refused_down, 2);
}

#[tokio::test]
async fn a_probe_closes_the_breaker_again() {
    let short = BreakerSettings { initial_open: Duration::from_millis(1), ..breaker_after(1) };
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(short).with_backoff(no_retry())
    });
    fixture.fault(FaultCommand::new(FaultMode::Down).with_count(1));
    assert_eq!(fixture.claim(read("once/a")).await, TableReply::Unavailable);

    while fixture.claim(read("once/a")).await == TableReply::Unavailable {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    assert_eq!(fixture.claim(insert("once/a", "1")).await, TableReply::Committed);
}

#[tokio::test]
async fn a_request_beyond_the_budget_is_not_sent() {
    let share = RateShare { writes_per_s: 0.001, reads_per_s: 0.001, nodes: 1, burst_s: 1.0 };
    let fixture = StoreFixture::with_settings(|settings| settings.with_share(share));

    let first = fixture.claim(insert("once/a", "1")).await;
    let second = fixture.claim(insert("once/b", "1")).await;

    assert_eq!(first, TableReply::Committed);
    assert_eq!(second, TableReply::Unavailable);
    assert_eq!(fixture.table.counts(), TableCounts { writes: 1, rows_written: 1, ..no_counts() });
}

#[tokio::test]
async fn a_refusal_by_rate_is_unavailable_and_keeps_the_breaker_closed() {
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(breaker_after(1)).with_backoff(no_retry())
    });
    let slow = FaultCommand { writes_per_s: Some(0.001), ..FaultCommand::default() };
    fixture.fault(slow);

    assert_eq!(fixture.claim(insert("once/a", "1")).await, TableReply::Committed);
    assert_eq!(fixture.claim(insert("once/b", "1")).await, TableReply::Unavailable);

    assert_eq!(fixture.claim(read("once/b")).await, TableReply::Rows(Vec::new()));
    assert_eq!(fixture.table.counts().refused_by_rate, 1);
}

#[tokio::test]
async fn objects_are_stored_and_read_back() {
    let fixture = StoreFixture::new();
    let body = Bytes::from(vec![7; 200_000]);

    let put = fixture.store.put_object("answer-1", body.clone(), LONG).await;
    let found = fixture.store.get_object("answer-1", LONG).await;
    let missing = fixture.store.get_object("answer-2", LONG).await;

    assert_eq!(put, ObjectReply::Stored);
    assert_eq!(found, ObjectReply::Found(body.to_vec()));
    assert_eq!(missing, ObjectReply::Missing);
}

#[tokio::test]
async fn a_scan_pages_through_a_prefix() {
    let fixture = StoreFixture::new();
    for key in ["once/a", "once/b", "once/c", "other"] {
        fixture.claim(insert(key, "1")).await;
    }

    let page = |after: &str| TableRequest::Scan {
        prefix: "once/".to_owned(),
        after: after.to_owned(),
        limit: 2,
    };
    let first = fixture.claim(page("")).await;
    let second = fixture.claim(page("once/b")).await;

    assert_eq!(keys_of(first), ["once/a", "once/b"]);
    assert_eq!(keys_of(second), ["once/c"]);
}

fn keys_of(reply: TableReply) -> Vec<String> {
    match reply {
        TableReply::Rows(rows) => rows.into_iter().map(|row| row.key.into()).collect(),
        other => panic!("not rows: {other:?}"),
    }
}

fn no_counts() -> TableCounts {
    TableCounts::default()
}

#[tokio::test]
async fn requests_are_counted_by_use_and_result() {
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(breaker_after(2)).with_backoff(no_retry())
    });

    fixture.claim(insert("once/a", "1")).await;
    fixture.claim(insert("once/a", "2")).await;
    fixture.fault(FaultCommand::new(FaultMode::AckLost).with_count(1));
    fixture.claim(insert("once/b", "1")).await;
    fixture.fault(FaultCommand::new(FaultMode::Down));
    fixture.claim(insert("once/c", "1")).await;
    fixture.claim(insert("once/d", "1")).await;

    for result in ["done", "conflict", "timed-out", "unavailable", "limited"] {
        let name = format!(r#"coltsfoot_store_requests_total{{result="{result}",use="claim"}}"#);
        assert_eq!(series(&fixture.metrics, &name), 1.0, "{name}");
    }
    for direction in ["sent", "received"] {
        let name =
            format!(r#"coltsfoot_control_bytes_total{{direction="{direction}",kind="store"}}"#);
        assert!(series(&fixture.metrics, &name) > 0.0, "{name}");
    }
}

#[tokio::test]
async fn the_store_is_up_from_its_first_answer_until_the_breaker_opens() {
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(breaker_after(1)).with_backoff(no_retry())
    });
    let up = || series(&fixture.metrics, "coltsfoot_store_up");
    assert_eq!(up(), 0.0);

    fixture.claim(read("once/a")).await;
    assert_eq!(up(), 1.0);

    fixture.fault(FaultCommand::new(FaultMode::Down));
    fixture.claim(read("once/a")).await;
    assert_eq!(up(), 0.0);
}

#[tokio::test]
async fn an_outage_is_reported_once_from_start_to_end() {
    let short = BreakerSettings { initial_open: Duration::from_millis(1), ..breaker_after(1) };
    let fixture = StoreFixture::with_settings(|settings| {
        settings.with_breaker(short).with_backoff(no_retry())
    });
    fixture.fault(FaultCommand::new(FaultMode::Down).with_count(2));

    for _ in 0..2 {
        while fixture.table.counts().refused_down < 2 {
            fixture.claim(read("once/a")).await;
        }
        while fixture.claim(read("once/a")).await == TableReply::Unavailable {}
    }

    let names = || -> Vec<_> {
        let records = fixture.events.read_since(0, 10);
        records.iter().map(|record| record.kind.name()).collect()
    };
    while names().len() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(names(), ["store-down", "store-up"]);
}
