//! Retries by idempotency and outcome.

mod support;

use honeyknot_balancer::*;
use support::*;

/// An attempt may be followed by another one elsewhere if it proves not to have run or if repeats are
/// harmless.
#[test]
fn retry_depends_on_idempotency_and_outcome() {
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 5 * SECOND };
    let effects = [
        Idempotency::Idempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
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
    for effect in effects {
        for outcome in outcomes {
            let mut settings = settings();
            settings.classes = vec![request_class(effect)];
            let mut harness = Harness::new(settings, 5, &[]);
            // Four endpoints in zones 0 and 1, cells 0 to 3, so that cells lie within zones.
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
            let first = harness.last_endpoint(1).expect("a first attempt");
            harness.end_attempt(1, 0, outcome, false);
            harness.advance(3 * SECOND);
            let zone = |id: &EndpointId| entries.iter().find(|e| e.id == *id).and_then(|e| e.zone);
            let second = (harness.attempt_count(1) > 1).then(|| harness.last_endpoint(1)).flatten();
            let free = outcome.proves_not_run() || effect == Idempotency::Idempotent;
            let case = format!("{effect:?} {outcome:?}");
            match effect {
                _ if free => assert!(second.is_some(), "{case}"),
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
fn request_with_idempotency_key_is_not_retried_after_its_window() {
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
fn timeout_at_the_deadline_is_answered_at_once() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.handle(Event::Request(request(1)));
    harness.advance(2 * SECOND);
    harness.end_attempt(1, 0, Outcome::Timeout, false);
    assert_eq!(harness.attempt_count(1), 1);
    assert!(harness.is_rejected(1));
}

#[test]
fn attempts_stop_at_their_limit_and_never_overlap() {
    let mut harness = Harness::new(settings(), 5, &three_endpoints(0.2));
    harness.reported_loads.insert(endpoint_id("d:1"), Some(0.2));
    harness.reported_loads.insert(endpoint_id("e:1"), Some(0.2));
    harness.handle(delta_update(vec![ready_endpoint("d:1"), ready_endpoint("e:1")]));
    harness.handle(Event::Request(request(1)));
    for attempt in 0..4 {
        harness.advance(100_000);
        assert_eq!(harness.attempt_count(1), attempt as usize + 1, "one attempt at a time");
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
