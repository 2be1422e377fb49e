//! Tests of the connections that migrate away from overloaded endpoints.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn overloaded_endpoint_sheds_a_fraction_of_its_load_from_the_low_priority_class() {
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
    assert!((6..=20).contains(&migrations.len()), "{} of 40 connections migrated", migrations.len());
    assert!(
        migrations.iter().all(|(_, id)| id.0 % 2 == 0),
        "only connections of the low-priority class should migrate"
    );
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
    assert!(harness.migrations().len() > 16, "{} of 40 connections migrated", harness.migrations().len());
}
