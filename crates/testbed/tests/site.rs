//! A short day with real relays, and days on the virtual clock. Verdicts are the far side's books.

use std::time::Duration;

use honeyknot_testbed::day::{Day, Report, play};
use honeyknot_testbed::scenario::Scenario;
use honeyknot_testbed::simulated::{Outcome, Simulation, simulate};
use honeyknot_testbed::world::Size;
use honeyknot_zone_failover::ZoneFailoverConfig;

fn size() -> Size {
    Size {
        sites: ["accra-north", "accra-east", "tema", "kasoa"].map(str::to_owned).to_vec(),
        servers: 16,
        relays: 4,
        rate: 5.0,
        life_s: 8.0,
        decks: 6,
    }
}

fn day(scenario: Scenario, sites: bool) -> Report {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("sites.conf");
    std::fs::write(&file, include_str!("../sites.conf")).expect("a file");
    let day = Day {
        size: size(),
        scenario,
        seed: 11,
        sites: sites.then_some(file),
        spill_limit: 0.25,
        length: None,
        logs: None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let never = std::future::pending::<()>();
    let played = tokio::task::LocalSet::new().block_on(&runtime, play(&day, |_| {}, never));
    played.expect("a day")
}

/// A site is lost, its clients are served elsewhere within the limit, and it is regained.
#[test]
fn a_site_is_lost_and_regained_with_real_relays() {
    let report = day(Scenario::Short, true);
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    assert!(report.clients.served > 40 && report.fleet.worst_spill > 0.0, "{report:?}");
}

fn simulation(scenario: Scenario, seed: u64) -> Simulation {
    Simulation {
        sites: 4,
        servers: 32,
        relays: 8,
        load: 0.45,
        scenario,
        plan: ZoneFailoverConfig {
            connection_load: 0.03,
            affinity_group_cost: 3.0,
            ..ZoneFailoverConfig::default()
        },
        seed,
        news: Duration::from_millis(2_500),
    }
}

#[test]
fn the_limits_hold_on_the_virtual_clock_whatever_the_seed() {
    let all = [Scenario::Lost, Scenario::Silent, Scenario::Together, Scenario::Flap, Scenario::Two];
    for scenario in all {
        for seed in 0..4 {
            let o = simulate(&simulation(scenario, seed)).expect("a day");
            assert!(o.worst_spill <= 0.25 + honeyknot_testbed::day::SPILL_SLACK, "{o:?}");
            assert_eq!(o.servers_pushed_over, 0, "{o:?}");
            assert!(o.worst_moves_per_s <= 12, "{o:?}");
        }
    }
}

/// Without a ramp the returning site's cold card servers are sent more than they bear: the model notices.
#[test]
fn without_the_limits_the_same_days_break_them() {
    let plan = ZoneFailoverConfig {
        spill_limit: 1.0,
        overflow_share: 0.0,
        receive_threshold: 1.0,
        give_back_threshold: 1.0,
        max_update_skew: 0,
        ..simulation(Scenario::Two, 0).plan
    };
    let spills = (0..4).filter(|seed| {
        let day = Simulation { plan: plan.clone(), ..simulation(Scenario::Two, *seed) };
        simulate(&day).expect("a day").worst_spill > 0.28
    });
    assert!(spills.count() >= 3);
}

#[test]
fn a_seed_replays() {
    let run = || {
        let o = simulate(&simulation(Scenario::Flap, 5)).expect("a day");
        // The clock's figures are of this machine, not of the day.
        let o = Outcome { ask_p50_ns: 0, ask_p99_ns: 0, wall_s: 0.0, peak_mib: 0, ..o };
        serde_json::to_string(&o).expect("a line")
    };
    assert_eq!(run(), run());
}
