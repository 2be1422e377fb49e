//! Starts of twelve relays as processes, with faults between them and the list service. Verdicts are the far side's books.

use std::path::PathBuf;

use honeyknot_testbed::fleet::analysis::analyze;
use honeyknot_testbed::fleet::event_log::{Answer, Event, Record};
use honeyknot_testbed::fleet::report::{Expectations, Report};
use honeyknot_testbed::fleet::run::{LoopbackNetwork, run_script};
use honeyknot_testbed::fleet::{InitialList, Plan, script};

/// The relay's program, which is built beside the laboratory's.
fn program() -> PathBuf {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let program = lab.with_file_name("honeyknot-relay");
    assert!(program.is_file(), "build the whole workspace first: cargo build --workspace");
    program
}

struct Day {
    seed: u64,
    text: &'static str,
    aims: Expectations,
}

/// Plays a day of twelve relays that are told to be `configured_fleet_size`; a whole list takes 20 ms.
fn day(day: &Day, configured_fleet_size: usize) -> (Report, Vec<Record>) {
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(day.seed).expect("free addresses");
    let plan = Plan {
        network: network.number,
        seed: day.seed,
        relays: 12,
        configured_fleet_size,
        endpoints: 8,
        full_list_ms: 20,
        clients: 8,
        initial_list: InitialList::Old,
        cold_endpoints: false,
        links: Vec::new(),
        folder: folder.path().to_owned(),
        program: program(),
        process_parameters: (0, 1),
        ..Plan::default()
    };
    let script = script::parse_script("day", day.text).expect("a sound script");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let never = std::future::pending();
    let played = tokio::task::LocalSet::new().block_on(&runtime, run_script(&plan, &script, lab, never));
    let played = played.expect("a day");
    let report = analyze(&plan, "test", played.started_at, &played.records, day.aims);
    let lines = played.records.into_iter().filter(|line| line.time_us >= played.started_at).collect();
    (report, lines)
}

/// How often clients were answered so, from this second of the day on.
fn answered(lines: &[Record], from: u64, answer: Answer) -> usize {
    let began = lines.first().map_or(0, |line| line.time_us);
    let answers = lines.iter().filter(|line| line.time_us >= began + from * 1_000_000);
    answers
        .filter(|line| matches!(&line.event, Event::ClientAnswer { answer: seen, .. } if *seen == answer))
        .count()
}

/// A list service that starts anew with nothing, and says so under an older version, takes no card server away.
#[test]
fn discovery_restarting_empty_causes_no_rejected_or_failed_request() {
    let text = "length 22s\nat 0s start relays * within 400ms\nat 4s list fresh 5s\n";
    let aims = Expectations { outage_s: 5.0, slack_s: None, refills_list: true };
    let (report, lines) = day(&Day { seed: 31, text, aims }, 12);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
    assert!(report.time_to_list_max_s.is_some(), "all hold the filled list at last: {report:?}");
    assert!(answered(&lines, 4, Answer::Established) > 10, "{report:?}");
    assert_eq!(
        (answered(&lines, 4, Answer::Rejected), answered(&lines, 4, Answer::Failed)),
        (0, 0),
        "{report:?}"
    );
}

/// Deaf, reset, cut one way: everybody has the list soon after, and nobody sends to a card server that drains.
#[test]
fn relays_recover_from_unresponsive_discovery_and_respect_drains() {
    let text = "length 24s\nat 0s start relays * within 400ms\nat 0s link list/0-3 hole\nat 0s link list/4-7 reset 60B\n\
                at 0s link list/8-11 cut back\nat 4s link list/* clear\n\
                at 15s list state 0 leaving\nat 15800ms card 0 drain\n";
    // A watch that was deaf is given up after 9.25 s at the latest.
    let aims = Expectations { outage_s: 8.0, slack_s: Some(2.0), refills_list: false };
    let (report, _) = day(&Day { seed: 32, text, aims }, 12);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
    assert!(report.served > 90, "{report:?}");
}

/// The service is down at first, then all relays are stopped together, and one dies and starts each second meanwhile. They are
/// told to be 120: the waits are those of a fleet.
#[test]
fn relays_get_the_list_after_discovery_outage_and_stopped_processes() {
    let text = "length 22s\nat 0s list down\nat 0s start relays * within 400ms\nat 4s list up\n\
                at 9s loop relays 11 1s 8s\nat 12s stop relays 0-10\nat 15s cont relays 0-10\n";
    // A wait after a refused call is up to 4.3 s long.
    let aims = Expectations { outage_s: 6.0, slack_s: Some(2.0), refills_list: false };
    let (report, _) = day(&Day { seed: 33, text, aims }, 120);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
}
