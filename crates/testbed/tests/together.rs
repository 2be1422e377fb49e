//! Relay processes in a gossip cluster: the health checks that endpoints receive from all relays together, by
//! the endpoints' event logs, while relays are killed, stopped and started again.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use honeyknot_testbed::fleet::event_log::{Answer, Event, Record};
use honeyknot_testbed::fleet::run::{LoopbackNetwork, ScenarioRun, run_script};
use honeyknot_testbed::fleet::{InitialList, Plan, script};

const TESTBED: &str = env!("CARGO_BIN_EXE_honeyknot-testbed");
const SECOND_US: u64 = 1_000_000;

/// Returns the path of the relay's program, which is built beside the testbed's.
fn relay_program() -> PathBuf {
    Path::new(TESTBED).with_file_name("honeyknot-relay")
}

/// Runs a script with four endpoints and four clients per relay.
fn run_fleet(relays: usize, neighbors: bool, script_text: &str) -> ScenarioRun {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(relays as u64).expect("a loopback network is free");
    let plan = Plan {
        network: network.number,
        seed: 5,
        relays,
        configured_fleet_size: relays,
        endpoints: 4,
        full_list_ms: 5,
        clients: 4,
        initial_list: InitialList::Old,
        neighbors,
        folder: folder.path().to_owned(),
        program: relay_program(),
        process_parameters: (0, 1),
        ..Plan::default()
    };
    let script = script::parse_script("test script", script_text).expect("the script is valid");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let local = tokio::task::LocalSet::new();
    local
        .block_on(&runtime, run_script(&plan, &script, TESTBED.into(), std::future::pending()))
        .unwrap_or_else(|error| panic!("the run failed: {error}"))
}

/// Returns the number of health checks that endpoints answered between two times of the run, in seconds.
fn count_health_checks(run: &ScenarioRun, from: u64, to: u64) -> usize {
    let period = run.started_at + from * SECOND_US..run.started_at + to * SECOND_US;
    let is_health_check = |record: &&Record| {
        matches!(record.event, Event::HealthCheck { .. }) && period.contains(&record.time_us)
    };
    run.records.iter().filter(is_health_check).count()
}

/// Returns the number of health checks that each endpoint answered between two times of the run, in seconds;
/// endpoints without any are left out.
fn health_checks_by_endpoint(run: &ScenarioRun, from: u64, to: u64) -> BTreeMap<usize, usize> {
    let period = run.started_at + from * SECOND_US..run.started_at + to * SECOND_US;
    let mut counts = BTreeMap::new();
    for record in run.records.iter().filter(|record| period.contains(&record.time_us)) {
        if let Event::HealthCheck { endpoint: number } = record.event {
            *counts.entry(number).or_default() += 1;
        }
    }
    counts
}

/// Returns the number of established connections and of duplicate answers to clients.
fn established_and_duplicates(run: &ScenarioRun) -> (usize, usize) {
    let is_established =
        |record: &&Record| matches!(record.event, Event::ClientAnswer { answer: Answer::Established, .. });
    let is_duplicate = |record: &&Record| matches!(record.event, Event::DuplicateAnswer { .. });
    (run.records.iter().filter(is_established).count(), run.records.iter().filter(is_duplicate).count())
}

/// Three relays check each endpoint every 0.8 s, which is 3.75 checks per second; relays that have not found
/// the others yet add some. The bounds are counts over several seconds with a wide margin for a slow machine;
/// only a relay that is stopped causes fewer checks than intended.
#[test]
fn sixteen_relays_share_health_checks_and_replace_dead_probers() {
    let script_text = "length 21s\nat 0s start relays * within 400ms\nat 11s kill relays 0-7\n\
                at 11s stop relays 8\nat 17s cont relays 8\nat 17s start relays 0-7 within 400ms\n";
    let run = run_fleet(16, true, script_text);
    let before_faults = count_health_checks(&run, 7, 11);
    assert!(before_faults <= 4 * 4 * 6, "{before_faults} health checks in 4 s at 4 endpoints");
    assert_eq!(
        health_checks_by_endpoint(&run, 7, 11).len(),
        4,
        "not every endpoint was checked before the faults"
    );
    let during_faults = health_checks_by_endpoint(&run, 14, 17);
    assert_eq!(
        during_faults.len(),
        4,
        "not every endpoint was checked with half of the relays dead and one stopped: {during_faults:?}"
    );
    let (established, duplicates) = established_and_duplicates(&run);
    assert!(
        established >= 16 * 4 && duplicates == 0,
        "{established} connections established, {duplicates} duplicate answers"
    );
}
