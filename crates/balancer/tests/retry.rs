//! Tests of retries, depending on idempotency and outcome.

mod support;

use honeyknot_balancer::*;
use support::*;

/// A request may be retried on another endpoint if it certainly has not run or if a repeat is harmless.
#[test]
fn retry_depends_on_idempotency_and_outcome() {
    let with_key = |scope| Idempotency::IdempotencyKey { scope, window: 5 * SECOND };
    let idempotencies = [
        Idempotency::Idempotent,
        with_key(DeduplicationScope::All),
        with_key(DeduplicationScope::Zone),
        with_key(DeduplicationScope::Cell),
        Idempotency::AtMostOnce,
    ];
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for idempotency in idempotencies {
        for outcome in outcomes {
            let mut settings = settings();
            settings.classes = vec![request_class(idempotency)];
            let mut harness = Harness::new(settings, 5, &[]);
            // Four endpoints, two in each of the zones 0 and 1, each in a cell of its own.
            let entries: Vec<Endpoint> = (0..4)
                .map(|i| Endpoint {
                    zone: Some(ZoneId(i / 2)),
                    cell: CellId(i as u64),
                    ..ready_endpoint(&format!("s{i}:1"))
                })
                .collect();
            for entry in &entries {
                harness.reported_loads.insert(entry.id.clone(), Some(0.2));
            }
            harness.handle(full_update(entries.clone()));
            harness.handle(Event::Request(request(1)));
            harness.advance(50_000);
            let first = harness.last_endpoint(1).expect("the request should have an attempt");
            harness.end_attempt(1, 0, outcome, false);
            harness.advance(3 * SECOND);
            let zone =
                |id: &EndpointId| entries.iter().find(|entry| entry.id == *id).and_then(|entry| entry.zone);
            let second = (harness.attempt_count(1) > 1).then(|| harness.last_endpoint(1)).flatten();
            let is_always_safe = outcome.proves_not_run() || idempotency == Idempotency::Idempotent;
            let case = format!("{idempotency:?} {outcome:?}");
            match idempotency {
                _ if is_always_safe => assert!(second.is_some(), "{case}"),
                Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                    assert!(second.is_some(), "{case}")
                }
                Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
                    assert_eq!(second.as_ref().and_then(zone), zone(&first), "{case}")
                }
                _ => assert!(second.is_none() && harness.is_failed(1) && !harness.is_rejected(1), "{case}"),
            }
        }
    }
}

#[test]
fn request_with_idempotency_key_is_not_retried_after_the_deduplication_window() {
    let mut settings = settings();
    settings.classes = vec![request_class(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::All,
        window: SECOND / 2,
    })];
    let mut harness = Harness::new(settings, 5, &three_endpoints(0.2));
    harness.handle(Event::Request(request(1)));
    harness.advance(SECOND);
    harness.end_attempt(1, 0, Outcome::Timeout, false);
    harness.advance(2 * SECOND);
    assert_eq!(harness.attempt_count(1), 1);
    assert!(harness.is_rejected(1));
}

#[test]
fn request_that_times_out_at_its_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.handle(Event::Request(request(1)));
    harness.advance(2 * SECOND);
    harness.end_attempt(1, 0, Outcome::Timeout, false);
    assert_eq!(harness.attempt_count(1), 1);
    assert!(harness.is_rejected(1));
}

#[test]
fn attempts_never_overlap_and_stop_at_their_maximum_number() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.reported_loads.insert(endpoint_id("d:1"), Some(0.2));
    harness.reported_loads.insert(endpoint_id("e:1"), Some(0.2));
    harness.handle(delta_update(vec![ready_endpoint("d:1"), ready_endpoint("e:1")]));
    harness.handle(Event::Request(request(1)));
    for attempt in 0..4 {
        harness.advance(100_000);
        assert_eq!(harness.attempt_count(1), attempt as usize + 1, "there should be one attempt at a time");
        harness.end_attempt(1, attempt, Outcome::Rejected, false);
    }
    harness.advance(2 * SECOND);
    assert_eq!(harness.attempt_count(1), 4);
    assert!(harness.is_rejected(1));
}

#[test]
fn attempt_that_was_not_sent_is_not_retried() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.handle(Event::Request(request(1)));
    harness.advance(100_000);
    harness.end_attempt(1, 0, Outcome::NotSent, false);
    assert_eq!(harness.attempt_count(1), 1);
    assert!(harness.is_rejected(1));
}

#[test]
fn events_for_finished_or_unknown_requests_are_ignored() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.handle(Event::Request(request(1)));
    harness.advance(100_000);
    harness.handle(Event::ClientLeft(RequestId(1)));
    harness.handle(Event::ClientLeft(RequestId(1)));
    let before = harness.actions.len();
    harness.end_attempt(1, 0, Outcome::Timeout, false);
    harness.handle(Event::ClientLeft(RequestId(9)));
    harness.handle(Event::TimerFired(TimerToken(9)));
    harness.advance(3 * SECOND);
    assert_eq!(harness.actions.len(), before);
}
