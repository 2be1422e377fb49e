//! Cold starts of twelve relay processes with faults between them and discovery. The checks rest on the event
//! logs of discovery, endpoints and clients.

use std::path::PathBuf;

use honeyknot_testbed::fleet::analysis::analyze;
use honeyknot_testbed::fleet::event_log::{Answer, Event, Record};
use honeyknot_testbed::fleet::report::{Expectations, Report};
use honeyknot_testbed::fleet::run::{LoopbackNetwork, run_script};
use honeyknot_testbed::fleet::{InitialList, Plan, script};

/// Returns the path of the relay's program, which is built beside the testbed's.
fn relay_program() -> PathBuf {
    let testbed = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let program = testbed.with_file_name("honeyknot-relay");
    assert!(program.is_file(), "build the whole workspace first: cargo build --workspace");
    program
}

struct ColdStartCase {
    seed: u64,
    script_text: &'static str,
    expectations: Expectations,
}

/// Runs twelve relays that are configured with a fleet size; a full list takes 20 ms. Returns the report and
/// the records from the start of the script.
fn run_case(case: &ColdStartCase, configured_fleet_size: usize) -> (Report, Vec<Record>) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(case.seed).expect("a loopback network is free");
    let plan = Plan {
        network: network.number,
        seed: case.seed,
        relays: 12,
        configured_fleet_size,
        endpoints: 8,
        full_list_ms: 20,
        clients: 8,
        initial_list: InitialList::Old,
        cold_endpoints: false,
        links: Vec::new(),
        folder: folder.path().to_owned(),
        program: relay_program(),
        process_parameters: (0, 1),
        ..Plan::default()
    };
    let script = script::parse_script("test script", case.script_text).expect("the script is valid");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let testbed = PathBuf::from(env!("CARGO_BIN_EXE_honeyknot-testbed"));
    let never = std::future::pending();
    let run = tokio::task::LocalSet::new().block_on(&runtime, run_script(&plan, &script, testbed, never));
    let run = run.expect("the script runs to its end");
    let report = analyze(&plan, "test", run.started_at, &run.records, case.expectations);
    let records = run.records.into_iter().filter(|record| record.time_us >= run.started_at).collect();
    (report, records)
}

/// Returns how many requests of clients got an answer, from a second of the run on.
fn count_answers(records: &[Record], from_second: u64, answer: Answer) -> usize {
    let started_at = records.first().map_or(0, |record| record.time_us);
    let later_records =
        records.iter().filter(|record| record.time_us >= started_at + from_second * 1_000_000);
    later_records
        .filter(
            |record| matches!(&record.event, Event::ClientAnswer { answer: found, .. } if *found == answer),
        )
        .count()
}

/// Guards against relays that drop their endpoints when discovery restarts with an empty list of a lower
/// version.
#[test]
fn discovery_restarting_empty_causes_no_rejected_or_failed_request() {
    let script_text = "length 22s\nat 0s start relays * within 400ms\nat 4s list fresh 5s\n";
    let expectations = Expectations { outage_s: 5.0, slack_s: None, refills_list: true };
    let (report, records) = run_case(&ColdStartCase { seed: 31, script_text, expectations }, 12);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
    assert!(report.time_to_list_max_s.is_some(), "every relay has the complete list in the end: {report:?}");
    assert!(count_answers(&records, 4, Answer::Established) > 10, "{report:?}");
    assert_eq!(
        (count_answers(&records, 4, Answer::Rejected), count_answers(&records, 4, Answer::Failed)),
        (0, 0),
        "{report:?}"
    );
}

/// Discovery is silent to some relays, resets others, and its answers to the rest are lost. All relays have
/// the list soon after that, and none sends a request to an endpoint that drains.
#[test]
fn relays_recover_from_unresponsive_discovery_and_respect_drains() {
    let script_text = "length 24s\nat 0s start relays * within 400ms\nat 0s link list/0-3 hole\n\
                at 0s link list/4-7 reset 60B\nat 0s link list/8-11 cut back\nat 4s link list/* clear\n\
                at 15s list state 0 leaving\nat 15800ms card 0 drain\n";
    // A relay gives up a watch without an answer after at most 9.25 s.
    let expectations = Expectations { outage_s: 8.0, slack_s: Some(2.0), refills_list: false };
    let (report, _) = run_case(&ColdStartCase { seed: 32, script_text, expectations }, 12);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
    assert!(report.served > 90, "{report:?}");
}

/// Discovery is down at first, then all relays but one are stopped together while that one is killed and
/// started each second. The configured fleet size is 120, so that their backoffs are those of a large fleet.
#[test]
fn relays_get_the_list_after_discovery_outage_and_stopped_processes() {
    let script_text = "length 22s\nat 0s list down\nat 0s start relays * within 400ms\nat 4s list up\n\
                at 9s loop relays 11 1s 8s\nat 12s stop relays 0-10\nat 15s cont relays 0-10\n";
    // The backoff after a refused connection is up to 4.3 s long.
    let expectations = Expectations { outage_s: 6.0, slack_s: Some(2.0), refills_list: false };
    let (report, _) = run_case(&ColdStartCase { seed: 33, script_text, expectations }, 120);
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
}
