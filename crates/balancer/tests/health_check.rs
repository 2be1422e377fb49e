//! Tests of the number of health checks and of their results.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn number_of_health_checks_does_not_grow_with_the_number_of_endpoints() {
    let health_checks = |count: usize| {
        let names: Vec<String> = (0..count).map(|i| format!("s{i}:1")).collect();
        let endpoints: Vec<(&str, Option<f64>)> =
            names.iter().map(|name| (name.as_str(), Some(0.3))).collect();
        let mut harness = Harness::new(settings(), 43, &endpoints);
        for id in 0..50 {
            harness.connect(request(id));
            harness.advance(SECOND);
        }
        harness.health_check_count
    };
    let (small, large) = (health_checks(20), health_checks(200));
    assert!(large <= small + small / 4, "{small} health checks with 20 endpoints, {large} with 200");
}

#[test]
fn endpoint_that_answers_health_checks_with_errors_keeps_its_connections() {
    let mut harness = Harness::new(settings(), 3, &three_endpoints(0.2));
    (1..=20).for_each(|id| harness.handle(Event::ConnectionAdopted(request(id), endpoint_id("a:1"))));
    harness.endpoint_with_errors = Some(endpoint_id("a:1"));
    harness.handle(Event::HealthCheckEnded {
        endpoint: endpoint_id("a:1"),
        outcome: Outcome::Error,
        elapsed: 1_000,
        report: None,
    });
    (31..=35).for_each(|id| {
        assert_ne!(
            harness.connect(request(id)),
            endpoint_id("a:1"),
            "an endpoint with errors should get no new connection"
        )
    });
    harness.advance(3 * SECOND);
    assert!(harness.migrations().is_empty());
    assert!(harness.health_check_count < 30, "{} health checks", harness.health_check_count);
}

#[test]
fn all_balancers_together_check_an_ejected_endpoint_at_a_bounded_rate() {
    for size in [4, 100, 400] {
        let mut health_checks = 0;
        for harness in &mut large_fleet(size, 0.3) {
            harness.endpoint_with_errors = Some(endpoint_id("s1:1"));
            let error = || Event::HealthCheckEnded {
                endpoint: endpoint_id("s1:1"),
                outcome: Outcome::Error,
                elapsed: 1_000,
                report: None,
            };
            (0..3).for_each(|_| harness.handle(error()));
            harness.advance(SECOND);
            let before = harness.health_check_count;
            harness.advance(20 * SECOND);
            health_checks += harness.health_check_count - before;
        }
        assert!(
            (1..=600).contains(&health_checks),
            "{size} balancers: {health_checks} health checks in 20 s"
        );
    }
}
