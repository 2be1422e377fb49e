//! Tests of settings that are rejected and of extreme settings that are accepted.

mod support;

use honeyknot_balancer::*;
use support::*;

#[test]
fn new_rejects_settings_out_of_range() {
    let mut invalid = vec![settings(); 5];
    invalid[0].rules.initial_capacity = 1.5;
    invalid[1].rules.overload_factor = f64::NAN;
    invalid[2].classes[0].priority_weight = -1.0;
    invalid[3].prices.cross_zone = f64::NAN;
    invalid[4].prices.migration = -0.1;
    for (i, settings) in invalid.into_iter().enumerate() {
        assert!(Balancer::new(settings, 1, START).is_err(), "case {i}");
    }
}

#[test]
fn extreme_settings_neither_panic_nor_leave_a_request_unanswered() {
    let mut extreme = vec![settings(); 6];
    extreme[0].fleet_size = 0;
    extreme[1].classes.clear();
    extreme[2].rules.slow_start_duration = 0;
    extreme[3].permissions.max_attempts = 0;
    extreme[4].rules.max_list_age = 0;
    extreme[4].discovery = DiscoveryMode::OnRequest;
    extreme[5].load_reports = LoadReportSource::Unavailable;
    for (i, settings) in extreme.into_iter().enumerate() {
        let mut harness = Harness::new(settings, 3, &[("a:1", Some(0.1))]);
        harness.handle(Event::Request(request(1)));
        harness.advance(3 * SECOND);
        assert!(
            harness.attempt_count(1) + usize::from(harness.is_rejected(1) || harness.is_failed(1)) > 0,
            "case {i}"
        );
    }
}
