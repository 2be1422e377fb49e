//! Zone failover of several relays on a simulated clock.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet::{
    ENDPOINTS_PER_ZONE, Fleet, S, START, all_endpoints, config, delta, endpoint_id, relay, zone_ready,
    zone_removed,
};
use honeyknot_balancer::{AffinityGroup, EndpointState, EndpointUpdate, RequestId, ZoneId};
use honeyknot_zone_failover::{EndpointSignal, RetryAfterRange, ZoneDecision, ZoneFailoverConfig, ZoneState};

#[test]
fn zone_that_is_up_keeps_its_connections() {
    let mut fleet = Fleet::new(&config());
    let (established, rejected) = fleet.connect_many(2, 20, 5 * S);
    assert_eq!((established, rejected.len()), ([0, 0, 100, 0], 0));
    assert!(fleet.migrations.is_empty());
}

#[test]
fn lost_zone_spills_by_tier_within_the_limit_and_the_rest_is_rejected() {
    let tiers = vec![vec!["east".to_owned()], vec!["north".to_owned(), "kasoa".to_owned()]];
    let config = ZoneFailoverConfig { tiers: BTreeMap::from([("tema".to_owned(), tiers)]), ..config() };
    let mut fleet = Fleet::new(&config);
    fleet.update_all(&zone_removed(2));
    let first = fleet.connect(2, None);
    assert_eq!(first, Ok(1));
    let (established, rejected) = fleet.connect_many(2, 50, 20 * S);
    // The spill limit of 25 % of four endpoints is 40 connections, at 2.5 % of an endpoint each. 75 % of it
    // is for this relay, the only one of a lost zone, and a third of the other 25 % (the overflow share).
    assert_eq!(established, [33, 32, 0, 33]);
    for zone in [0, 1, 3] {
        assert!(fleet.spill(zone) <= config.spill_limit, "zone {zone}: spill of {}", fleet.spill(zone));
    }
    let RetryAfterRange { min, max } = config.retry_after;
    assert!(rejected.iter().all(|retry_after| (min..=max).contains(retry_after)));
    let late = rejected.iter().filter(|retry_after| **retry_after > (min + max) / 2).count();
    assert!(
        late * 4 > rejected.len() && late * 4 < rejected.len() * 3,
        "{late} of {} delays in the upper half of the range",
        rejected.len()
    );
}

#[test]
fn leave_limit_bounds_spilled_connections() {
    let config = ZoneFailoverConfig {
        leave_limit: 0.5,
        spill_limit: 1.0,
        overflow_share: 0.0,
        max_update_skew: 0,
        ..config()
    };
    let mut fleet = Fleet::new(&config);
    fleet.update_all(&zone_removed(2));
    let (established, rejected) = fleet.connect_many(2, 20, 5 * S);
    let left: usize = established.iter().sum();
    assert!(
        (45..=56).contains(&left) && left + rejected.len() == 100,
        "{left} connections left the home zone"
    );
}

/// Two zones are lost, together or one after another, and the relays learn of it at different times.
#[test]
fn spill_limit_holds_for_all_relays_together() {
    for (order, gap) in [([2, 3], 0), ([2, 3], 2 * S), ([2, 3], 8 * S), ([3, 2], 30 * S)] {
        let config = config();
        let mut fleet = Fleet::new(&config);
        let mut worst = 0.0f64;
        fleet.update_all(&zone_removed(order[0]));
        let mut second_at = Some(fleet.now + gap);
        for step in 0..3_000 {
            if second_at.is_some_and(|at| fleet.now >= at) {
                // The zone's own relay gets the update first, the others up to the configured skew later.
                fleet.update(order[1], &zone_removed(order[1]));
                second_at = None;
            }
            if second_at.is_none() && step % 100 == 99 {
                fleet.update_all(&zone_removed(order[1]));
            }
            let _ = fleet.connect(order[0], None);
            let _ = fleet.connect(order[1], None);
            fleet.advance(S / 50);
            worst = (0..2).map(|zone| fleet.spill(zone)).fold(worst, f64::max);
        }
        assert!(worst <= config.spill_limit, "gap {gap}: spill of up to {worst}");
        assert!(
            worst > config.spill_limit * 0.6,
            "gap {gap}: spill of up to {worst}, so the limit was not used"
        );
    }
}

#[test]
fn recovering_zone_is_filled_along_a_ramp_that_relays_start_at_different_times() {
    let config = config();
    let mut fleet = Fleet::new(&config);
    fleet.update_all(&zone_removed(2));
    fleet.advance(5 * S);
    let started = fleet.now;
    fleet.update_all(&zone_ready(2, started));
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Recovering { .. })));
    let mut home = Vec::new();
    for _ in 0..1_000 {
        if fleet.connect(2, None) == Ok(2) {
            home.push(fleet.now);
        }
        fleet.advance(S / 100);
    }
    // In any window of 2 s the zone gets at most 3 times the connections that fill it over its warm-up,
    // scaled by the capacity at the start of the window.
    let fill_rate = ENDPOINTS_PER_ZONE as f64 / config.connection_load / 9.0;
    for from in home.iter().filter(|from| **from + 2 * S <= started + 9 * S) {
        let warm_share = 0.32 + 0.68 * ((from - started) as f64 / 9e6).min(1.0);
        let sent = home.iter().filter(|at| (*from..from + 2 * S).contains(*at)).count() as f64;
        assert!(
            sent <= 3.0 * 2.0 * fill_rate * warm_share,
            "{sent} connections in 2 s at {warm_share} of the capacity"
        );
    }
    assert!(home.len() > 100, "{} connections in the home zone", home.len());
    let states: Vec<_> = fleet.relays.iter().map(|r| r.zone_state(ZoneId(2))).collect();
    assert!(
        states.windows(2).all(|w| w[0] != w[1]),
        "the relays start the ramp at the same time: {states:?}"
    );
}

#[test]
fn connections_return_home_at_the_migration_rate_group_by_group_after_the_ramp() {
    let config = config();
    let mut fleet = Fleet::new(&config);
    fleet.update_all(&zone_removed(2));
    fleet.advance(4 * S);
    let groups: Vec<AffinityGroup> = (0..4).map(|n| AffinityGroup(Arc::from(format!("group-{n}")))).collect();
    let mut group_of = BTreeMap::new();
    for n in 0..40 {
        let group = &groups[n % 4];
        if fleet.connect(2, Some(group)).is_ok() {
            group_of.insert(RequestId(fleet.last_id), group.clone());
        }
        fleet.advance(S / 10);
    }
    assert!(group_of.len() > 20);
    fleet.update_all(&zone_ready(2, fleet.now));
    let returned = fleet.now;
    fleet.advance(60 * S);
    let first_migration_at = fleet.migrations.first().expect("a migration").at;
    assert!(
        first_migration_at >= returned + config.ramp_duration + config.settle_time / 2,
        "first migration {} us after the zone was back",
        first_migration_at - returned
    );
    assert_eq!(fleet.migrations.len(), group_of.len());
    assert_eq!(fleet.relays[2].spilled_count(), 0);
    // Each of the 4 relays has an equal share of 4 migrations a second.
    assert!(fleet.migrations.windows(2).all(|w| w[1].at - w[0].at >= S * 8 / 10));
    let order: Vec<&AffinityGroup> =
        fleet.migrations.iter().map(|migration| &group_of[&migration.id]).collect();
    let changes = order.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(changes <= groups.len(), "groups were interleaved: the group changed {changes} times");
}

#[test]
fn zone_that_flaps_twice_is_held_down_and_migrates_each_connection_once_at_most() {
    let mut fleet = Fleet::new(&config());
    fleet.update_all(&zone_removed(2));
    fleet.advance(2 * S);
    let (established, _) = fleet.connect_many(2, 10, 5 * S);
    let spilled = established.iter().sum::<usize>();
    for _ in 0..2 {
        fleet.update_all(&zone_ready(2, fleet.now));
        let _ = fleet.connect_many(2, 10, 10 * S);
        fleet.update_all(&zone_removed(2));
        let _ = fleet.connect_many(2, 10, 10 * S);
    }
    fleet.update_all(&zone_ready(2, fleet.now));
    let state = fleet.relays[2].zone_state(ZoneId(2));
    assert!(matches!(state, Some(ZoneState::HeldDown { until }) if until > fleet.now + 4 * S), "{state:?}");
    let _ = fleet.connect_many(2, 10, 10 * S);
    assert!(
        fleet.migrations.len() <= spilled,
        "{} migrations of {spilled} spilled connections",
        fleet.migrations.len()
    );
    // The number of flaps decays, so a later loss causes no hold-down.
    fleet.advance(900 * S);
    fleet.update_all(&zone_removed(2));
    fleet.advance(S);
    fleet.update_all(&zone_ready(2, fleet.now));
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Recovering { .. })));
}

#[test]
fn unresponsive_zone_is_lost_though_listed_and_recovers_by_health_checks() {
    let mut fleet = Fleet::new(&config());
    fleet.unresponsive_zones.push(2);
    let mut actions = Vec::new();
    for number in [0, 0, 1, 1] {
        fleet.relays[2].endpoint_signal_received(
            fleet.now,
            &endpoint_id(2, number),
            EndpointSignal::Unresponsive,
            &mut actions,
        );
    }
    fleet.apply(2, actions);
    fleet.advance(2 * S);
    assert!(
        matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Lost { .. })),
        "{:?}",
        fleet.events
    );
    assert!(matches!(fleet.connect(2, None), Ok(zone) if zone != 2));
    // A zone in which other endpoints respond stays up.
    let mut actions = Vec::new();
    for number in [0, 0, 1, 1] {
        fleet.relays[0].endpoint_signal_received(
            fleet.now,
            &endpoint_id(0, number),
            EndpointSignal::Unresponsive,
            &mut actions,
        );
    }
    fleet.apply(0, actions);
    fleet.advance(2 * S);
    assert!(matches!(fleet.relays[0].zone_state(ZoneId(0)), Some(ZoneState::Up { .. })));
    fleet.unresponsive_zones.clear();
    fleet.advance(S);
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Recovering { .. })));
}

#[test]
fn local_fault_is_suspected_if_nearly_all_endpoints_are_unresponsive() {
    let mut fleet = Fleet::new(&config());
    fleet.unresponsive_zones.extend(0..4);
    let mut actions = Vec::new();
    for zone in 0..4 {
        for number in (0..ENDPOINTS_PER_ZONE).chain(0..ENDPOINTS_PER_ZONE) {
            fleet.relays[1].endpoint_signal_received(
                fleet.now,
                &endpoint_id(zone, number),
                EndpointSignal::Unresponsive,
                &mut actions,
            );
        }
    }
    fleet.apply(1, actions);
    fleet.advance(10 * S);
    assert!(
        matches!(fleet.relays[1].zone_state(ZoneId(1)), Some(ZoneState::Up { .. })),
        "{:?}",
        fleet.events
    );
    assert_eq!(fleet.connect(1, None), Ok(1));
    assert!(fleet.migrations.is_empty());
}

#[test]
fn relay_with_a_cached_list_admits_slowly_and_does_not_spill() {
    let mut relay = relay(2, config(), 3);
    relay.endpoints_updated(START, &EndpointUpdate::Cached(Arc::new(all_endpoints())), &mut Vec::new());
    let admitted = (0..100).filter(|n| {
        let allowed =
            matches!(relay.admit(START, None), ZoneDecision::Allow(zones) if zones.contains(Some(ZoneId(2))));
        if allowed {
            relay.attempt_started(START, RequestId(*n), &endpoint_id(2, 0), None);
        }
        allowed
    });
    assert!(admitted.count() <= 3);
    // No endpoint of another zone has responded yet.
    assert!(matches!(relay.admit(START, None), ZoneDecision::Reject { .. }));
    relay.endpoints_updated(START + S, &EndpointUpdate::Full(Arc::new(all_endpoints())), &mut Vec::new());
    assert!(
        matches!(relay.admit(START + S, None), ZoneDecision::Allow(zones) if zones.contains(Some(ZoneId(2))))
    );
}

#[test]
fn first_start_without_a_list_treats_no_zone_as_lost() {
    let mut relay = relay(2, config(), 3);
    let mut actions = Vec::new();
    relay.endpoints_updated(START, &EndpointUpdate::Cached(Arc::new(Vec::new())), &mut actions);
    relay.tick(START + S, &mut actions);
    relay.endpoints_updated(START + 2 * S, &EndpointUpdate::Full(Arc::new(all_endpoints())), &mut actions);
    assert!(matches!(relay.zone_state(ZoneId(2)), Some(ZoneState::Up { .. })));
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn overloaded_receiving_zone_accepts_no_spill_and_gets_capacity_back() {
    let mut fleet = Fleet::new(&config());
    fleet.update_all(&zone_removed(2));
    fleet.advance(4 * S);
    let (established, _) = fleet.connect_many(2, 20, 3 * S);
    assert!(established[0] > 5, "{established:?}");
    fleet.load = [0.95, 0.72, 0.0, 0.3];
    fleet.advance(4 * S);
    let (more, _) = fleet.connect_many(2, 20, 3 * S);
    assert_eq!((more[0], more[1]), (0, 0));
    fleet.advance(20 * S);
    let given_back = fleet.migrations.len();
    assert!(given_back >= established[0] / 2, "{given_back} connections given back of {}", established[0]);
    let own = fleet.connect(0, None);
    assert_eq!(own, Ok(0));
}

#[test]
fn zone_recovers_at_once_with_half_its_capacity_and_after_a_delay_with_less() {
    let mut fleet = Fleet::new(&config());
    fleet.update_all(&zone_removed(2));
    fleet.advance(5 * S);
    fleet.update_all(&delta(2, 0..1, EndpointState::Ready, fleet.now));
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Lost { .. })));
    fleet.advance(6 * S);
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Recovering { .. })));
    let mut fleet = Fleet::new(&config());
    fleet.update_all(&zone_removed(3));
    fleet.advance(S);
    fleet.update_all(&delta(3, 0..2, EndpointState::Ready, fleet.now));
    assert!(matches!(fleet.relays[3].zone_state(ZoneId(3)), Some(ZoneState::Recovering { .. })));
}

#[test]
fn zone_restart_without_an_update_is_detected_by_the_endpoints_start_times() {
    let mut fleet = Fleet::new(&config());
    fleet.advance(30 * S);
    fleet.update_all(&zone_ready(2, fleet.now - S));
    assert!(matches!(fleet.relays[2].zone_state(ZoneId(2)), Some(ZoneState::Recovering { .. })));
    // The restart of a single endpoint does not count as a restart of the zone.
    fleet.update_all(&delta(1, 0..1, EndpointState::Ready, fleet.now - S));
    assert!(matches!(fleet.relays[1].zone_state(ZoneId(1)), Some(ZoneState::Up { .. })));
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut fleet = Fleet::new(&config());
        fleet.update_all(&zone_removed(2));
        let first = fleet.connect_many(2, 50, 10 * S);
        fleet.update_all(&zone_ready(2, fleet.now));
        let second = fleet.connect_many(2, 50, 30 * S);
        (first, second, fleet.migrations, fleet.events)
    };
    assert_eq!(run(), run());
}
