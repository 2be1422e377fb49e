//! Relays as processes that know of each other: what all of them together do to the card servers, by the card servers' books,
//! while relays are killed, stopped and started again.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use honeyknot_testbed::fleet::event_log::{Answer, Event, Record};
use honeyknot_testbed::fleet::run::{LoopbackNetwork, ScenarioRun, run_script};
use honeyknot_testbed::fleet::{InitialList, Plan, script};

const LAB: &str = env!("CARGO_BIN_EXE_honeyknot-testbed");
const S: u64 = 1_000_000;

/// The relay's program, beside the laboratory's.
fn program() -> PathBuf {
    Path::new(LAB).with_file_name("honeyknot-relay")
}

fn day(relays: usize, neighbors: bool, text: &str) -> ScenarioRun {
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(relays as u64).expect("free addresses");
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
        program: program(),
        process_parameters: (0, 1),
        ..Plan::default()
    };
    let script = script::parse_script("the test's day", text).expect("a sound script");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local
        .block_on(&runtime, run_script(&plan, &script, LAB.into(), std::future::pending()))
        .unwrap_or_else(|why| panic!("the day is played: {why}"))
}

/// Probes at the card servers from one time of the day to another, in seconds.
fn probes(played: &ScenarioRun, from: u64, to: u64) -> usize {
    let span = played.started_at + from * S..played.started_at + to * S;
    let probe =
        |line: &&Record| matches!(line.event, Event::HealthCheck { .. }) && span.contains(&line.time_us);
    played.records.iter().filter(probe).count()
}

/// Card servers that were probed in that time.
fn probed(played: &ScenarioRun, from: u64, to: u64) -> BTreeMap<usize, usize> {
    let span = played.started_at + from * S..played.started_at + to * S;
    let mut all = BTreeMap::new();
    for line in played.records.iter().filter(|line| span.contains(&line.time_us)) {
        if let Event::HealthCheck { endpoint: s } = line.event {
            *all.entry(s).or_default() += 1;
        }
    }
    all
}

/// Sessions that were brought up, and second answers to clients.
fn served(played: &ScenarioRun) -> (usize, usize) {
    let up = |line: &&Record| matches!(line.event, Event::ClientAnswer { answer: Answer::Established, .. });
    let twice = |line: &&Record| matches!(line.event, Event::DuplicateAnswer { .. });
    (played.records.iter().filter(up).count(), played.records.iter().filter(twice).count())
}

/// Three witnesses a card server ask it every 0.8 s, 3.75 times a second, and what relays ask while they are strangers. The bounds
/// are of counts over seconds, far from what a slow machine changes; fewer probes than wanted only come of one that stands still.
#[test]
fn sixteen_relays_share_health_checks_and_replace_dead_probers() {
    let text = "length 21s\nat 0s start relays * within 400ms\nat 11s kill relays 0-7\nat 11s stop relays 8\n\
                at 17s cont relays 8\nat 17s start relays 0-7 within 400ms\n";
    let on = day(16, true, text);
    let quiet = probes(&on, 7, 11);
    assert!(quiet <= 4 * 4 * 6, "{quiet} probes in 4 s at 4 card servers");
    assert_eq!(probed(&on, 7, 11).len(), 4, "each card server has witnesses");
    let after = probed(&on, 14, 17);
    assert_eq!(
        after.len(),
        4,
        "half of all relays are dead, one stands still, and each still has some: {after:?}"
    );
    let (up, twice) = served(&on);
    assert!(up >= 16 * 4 && twice == 0, "{up} sessions brought up, {twice} second answers");
}
