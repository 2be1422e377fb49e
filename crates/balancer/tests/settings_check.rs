//! Settings that are refused, and extreme ones that are not.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn new_refuses_settings_out_of_range() {
    let mut bad = vec![settings(); 5];
    bad[0].rules.initial_capacity = 1.5;
    bad[1].rules.overload_factor = f64::NAN;
    bad[2].classes[0].priority_weight = -1.0;
    bad[3].prices.cross_zone = f64::NAN;
    bad[4].prices.migration = -0.1;
    for (i, settings) in bad.into_iter().enumerate() {
        assert!(Balancer::new(settings, 1, START).is_err(), "case {i}");
    }
}

#[test]
fn extreme_settings_neither_panic_nor_leave_a_request_unanswered() {
    let mut edges = vec![settings(); 6];
    edges[0].fleet_size = 0;
    edges[1].classes.clear();
    edges[2].rules.slow_start_duration = 0;
    edges[3].permissions.max_attempts = 0;
    edges[4].rules.max_list_age = 0;
    edges[4].discovery = DiscoveryMode::OnRequest;
    edges[5].load_reports = LoadReportSource::Unavailable;
    for (i, settings) in edges.into_iter().enumerate() {
        let mut harness = Harness::new(settings, 3, &[("a:1", Some(0.1))]);
        harness.handle(Event::Request(request(1)));
        harness.advance(3 * SECOND);
        assert!(
            harness.attempt_count(1) + usize::from(harness.is_rejected(1) || harness.is_failed(1)) > 0,
            "case {i}"
        );
    }
}
