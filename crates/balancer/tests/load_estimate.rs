//! Tests of the load estimates from load reports.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn load_reports_that_are_negative_or_not_finite_are_ignored() {
    let mut harness = Harness::new(settings(), 3, &three_endpoints(0.2));
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        let report = LoadReport { load: Some(invalid), inflight: Some(invalid), ..LoadReport::default() };
        let health_check_ended = Event::HealthCheckEnded {
            endpoint: endpoint_id("a:1"),
            outcome: Outcome::Ok,
            elapsed: 1,
            report: Some(report),
        };
        harness.handle(health_check_ended);
    }
    harness.connect(request(1));
}

#[test]
fn old_load_report_is_trusted_less() {
    let connections_to_less_loaded_endpoint = |report_age: Micros| {
        let mut settings = settings();
        settings.permissions.health_checks = false;
        let mut count = 0;
        for seed in 0..400 {
            let mut harness = Harness::new(settings.clone(), seed, &[("a:1", None), ("b:1", None)]);
            for (name, load) in [("a:1", 0.1), ("b:1", 0.55)] {
                harness.handle(Event::HealthCheckEnded {
                    endpoint: endpoint_id(name),
                    outcome: Outcome::Ok,
                    elapsed: 1_000,
                    report: load_report(load),
                });
            }
            harness.advance(report_age);
            harness.handle(Event::Request(Request { session_key: None, ..request(1) }));
            harness.advance(100_000);
            count += usize::from(harness.last_endpoint(1) == Some(endpoint_id("a:1")));
        }
        count
    };
    let (fresh, old) =
        (connections_to_less_loaded_endpoint(100_000), connections_to_less_loaded_endpoint(60 * SECOND));
    assert!(fresh > 270, "fresh reports: {fresh} of 400 connections to the less loaded endpoint");
    assert!((160..=240).contains(&old), "old reports: {old} of 400 connections to the less loaded endpoint");
}

#[test]
fn connections_that_left_all_at_once_are_admitted_when_they_return() {
    let mut settings = settings();
    settings.fleet_size = 2;
    let mut harness = Harness::new(settings, 3, &three_endpoints(0.3));
    harness.omits_inflight = true;
    for id in 1..=24 {
        harness.connect(request(id));
        harness.advance(SECOND / 2);
    }
    harness.advance(8 * SECOND);
    (1..=24).for_each(|id| harness.end_attempt(id, 0, Outcome::Cancelled, true));
    harness.advance(SECOND);
    (31..=33).for_each(|id| drop(harness.connect(request(id))));
    harness.advance(2 * SECOND);
    for id in 41..=61 {
        harness.handle(Event::Request(request(id)));
        harness.advance(5_000);
    }
    harness.advance(2 * SECOND);
    let rejected = (41..=61).filter(|id| harness.is_rejected(*id)).count();
    assert_eq!(rejected, 0);
}
