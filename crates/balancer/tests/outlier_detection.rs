//! Unresponsive, slow and overloaded endpoints.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn connections_of_an_unresponsive_endpoint_migrate() {
    let mut harness = Harness::new(settings(), 17, &three_endpoints(0.2));
    let mut on_a = 0;
    for id in 0..30 {
        on_a += usize::from(harness.connect(request(id)) == endpoint_id("a:1"));
        harness.advance(300_000);
    }
    assert!(on_a > 3);
    harness.reported_loads.insert(endpoint_id("a:1"), None);
    for id in 100..130 {
        harness.handle(Event::Request(request(id)));
        harness.advance(300_000);
    }
    assert_eq!(harness.migrations().len(), on_a);
    let late = (110..130).filter(|id| harness.last_endpoint(*id) == Some(endpoint_id("a:1"))).count();
    assert_eq!(late, 0, "an ejected endpoint gets no new connection");
}

#[test]
fn unresponsive_fleet_keeps_its_connections_and_still_gets_requests() {
    let mut harness = Harness::new(settings(), 17, &three_endpoints(0.2));
    for id in 0..30 {
        harness.connect(request(id));
        harness.advance(300_000);
    }
    for load in harness.reported_loads.values_mut() {
        *load = None;
    }
    for id in 100..130 {
        harness.handle(Event::Request(request(id)));
        harness.advance(300_000);
    }
    let migrated = harness.migrations().len();
    assert!(migrated <= 15, "{migrated} of 30 migrated: at most those of one endpoint");
    assert!((120..130).all(|id| harness.attempt_count(id) == 1), "requests are still forwarded");
}

/// Regression: endpoints whose load had fallen, while queued work kept messages late, got new connections.
#[test]
fn endpoint_with_slow_messages_gets_no_new_connection() {
    let mut harness = Harness::new(settings(), 19, &three_endpoints(0.4));
    let mut id = 0;
    while harness.connect(request(id)) != endpoint_id("a:1") {
        id += 1;
    }
    let latency = Event::ConnectionUpdated {
        id: RequestId(id),
        attempt: AttemptId(0),
        endpoint: endpoint_id("a:1"),
        update: ConnectionUpdate::MessageLatency(500.0),
    };
    harness.handle(latency);
    let away: Vec<_> = (1_000..1_020).map(|id| harness.connect(request(id))).collect();
    assert!(away.iter().all(|s| *s != endpoint_id("a:1")));
}

#[test]
fn overloaded_endpoint_sheds_a_fraction_from_the_low_priority_class() {
    let mut settings = settings();
    settings.classes = vec![
        request_class(Idempotency::Idempotent),
        RequestClass { priority_weight: 10.0, ..request_class(Idempotency::Idempotent) },
    ];
    let mut harness = Harness::new(settings, 23, &[("a:1", Some(0.2))]);
    for id in 0..40 {
        harness.connect(Request { class: ClassId(id as usize % 2), ..request(id) });
        harness.advance(200_000);
    }
    harness.handle(Event::HealthCheckEnded {
        endpoint: endpoint_id("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load_report(1.1),
    });
    harness.advance(3 * SECOND);
    let migrations = harness.migrations();
    assert!((6..=20).contains(&migrations.len()), "{} of 40", migrations.len());
    assert!(migrations.iter().all(|(_, id)| id.0 % 2 == 0), "only the class of low priority");
}

#[test]
fn overloaded_endpoint_sheds_most_of_its_load_while_others_are_idle() {
    let mut harness =
        Harness::new(settings(), 3, &[("a:1", Some(1.0)), ("b:1", Some(0.1)), ("c:1", Some(0.1))]);
    (1..=40).for_each(|id| harness.handle(Event::ConnectionAdopted(request(id), endpoint_id("a:1"))));
    harness.handle(Event::Request(request(50)));
    let health_check_ended = Event::HealthCheckEnded {
        endpoint: endpoint_id("a:1"),
        outcome: Outcome::Ok,
        elapsed: 1_000,
        report: load_report(1.0),
    };
    harness.handle(health_check_ended);
    harness.advance(2 * SECOND);
    assert!(harness.migrations().len() > 16, "{} of 40", harness.migrations().len());
}
