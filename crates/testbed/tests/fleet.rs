//! The fault harness: its analysis reports every violation, each fault of a link takes effect, and no process
//! outlives it.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use honeyknot_testbed::fleet::analysis::analyze;
use honeyknot_testbed::fleet::cold_start::ColdStart;
use honeyknot_testbed::fleet::event_log::{Answer, Event, Record, RequestKind, RequestOutcome};
use honeyknot_testbed::fleet::report::{Expectations, Report};
use honeyknot_testbed::fleet::run::LoopbackNetwork;
use honeyknot_testbed::fleet::{InitialList, Link, Plan, script};

const TESTBED: &str = env!("CARGO_BIN_EXE_honeyknot-testbed");

fn plan(folder: &Path, seed: u64, network: &LoopbackNetwork) -> Plan {
    Plan {
        network: network.number,
        seed,
        relays: 2,
        configured_fleet_size: 2,
        endpoints: 4,
        full_list_ms: 20,
        clients: 1,
        initial_list: InitialList::Old,
        cold_endpoints: true,
        links: vec!["list".into(), "cards".into()],
        folder: folder.to_owned(),
        program: PathBuf::from("/nowhere"),
        process_parameters: (0, 1),
        ..Plan::default()
    }
}

const SECOND_US: u64 = 1_000_000;

fn discovery_request(
    observed_at: u64, relay_number: usize, kind: RequestKind, request_outcome: RequestOutcome,
) -> Record {
    Record {
        time_us: observed_at,
        event: Event::DiscoveryRequest {
            relay: relay_number,
            kind,
            received_at_us: observed_at,
            work_us: 20_000,
            outcome: request_outcome,
            version: 42,
            queue_length: 0,
            is_first_pass: true,
        },
    }
}

fn process_action(observed_at: u64, action_name: &str, relay_number: usize) -> Record {
    Record {
        time_us: observed_at,
        event: Event::ProcessAction { action: action_name.into(), relay: Some(relay_number) },
    }
}

fn request_and_answer(observed_at: u64, relay_number: usize, id: &str, answer_kind: Answer) -> [Record; 2] {
    let id = id.to_owned();
    [
        Record {
            time_us: observed_at - 1_000,
            event: Event::ClientRequest { relay: relay_number, id: id.clone() },
        },
        Record {
            time_us: observed_at,
            event: Event::ClientAnswer { relay: relay_number, id, answer: answer_kind },
        },
    ]
}

/// The records of a run without violations.
fn records_without_violations() -> Vec<Record> {
    let mut records = vec![process_action(SECOND_US, "start", 0), process_action(SECOND_US, "start", 1)];
    records.extend(
        [0, 1].map(|r| discovery_request(2 * SECOND_US, r, RequestKind::FullList, RequestOutcome::Answered)),
    );
    records.extend(
        [0, 1]
            .into_iter()
            .flat_map(|r| request_and_answer(5 * SECOND_US, r, &format!("{r}-1-{r}"), Answer::Established)),
    );
    records
}

fn report_with(additional: Vec<Record>) -> Report {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(1).expect("a loopback network is free");
    let mut records = records_without_violations();
    records.extend(additional);
    records.sort_by_key(|record| record.time_us);
    let expectations = Expectations { outage_s: 0.0, slack_s: Some(2.0), refills_list: false };
    analyze(&plan(folder.path(), 1, &network), "test", SECOND_US, &records, expectations)
}

#[test]
fn analysis_reports_each_violation_and_accepts_similar_valid_records() {
    let valid_run = report_with(Vec::new());
    assert_eq!((valid_run.violations, valid_run.alive, valid_run.served), (Vec::<String>::new(), 2, 2));
    let attempt_started = |observed_at, endpoint_number, id: &str| Record {
        time_us: observed_at,
        event: Event::AttemptStarted { endpoint: endpoint_number, id: id.into() },
    };
    let attempt_ended = |observed_at, endpoint_number, id: &str| Record {
        time_us: observed_at,
        event: Event::AttemptEnded { endpoint: endpoint_number, id: id.into(), is_established: false },
    };
    let endpoint_leaving = Record {
        time_us: SECOND_US + 1,
        event: Event::ListVersion { version: 42, endpoint: 3, state: "leaving".into() },
    };
    let endpoint_state = |overload, is_failed| Record {
        time_us: 6 * SECOND_US,
        event: Event::EndpointState {
            endpoint: 1,
            open_connections: 1,
            utilization: 0.1,
            max_overload: overload,
            has_failed: is_failed,
        },
    };
    let violating: Vec<(Vec<Record>, &str)> = vec![
        (
            vec![Record {
                time_us: 9 * SECOND_US,
                event: Event::RelayExited { relay: 1, reason: "signal".into() },
            }],
            "exited unexpectedly",
        ),
        (request_and_answer(8 * SECOND_US, 1, "9-1-1", Answer::TimedOut).to_vec(), "without an answer"),
        (
            vec![Record { time_us: 8 * SECOND_US, event: Event::DuplicateAnswer { id: "0-1-0".into() } }],
            "duplicate answers",
        ),
        (
            vec![Record {
                time_us: 8 * SECOND_US,
                event: Event::ConnectionEnded { relay: 0, is_expected: false },
            }],
            "ended without MOVE",
        ),
        (
            vec![attempt_started(4 * SECOND_US, 0, "5-1-0"), attempt_started(4 * SECOND_US + 9, 1, "5-1-0")],
            "overlapping",
        ),
        (
            vec![
                attempt_started(4 * SECOND_US, 0, "5-1-0"),
                attempt_started(4 * SECOND_US + 9, 1, "5-1-0"),
                attempt_ended(5 * SECOND_US, 0, "5-1-0"),
            ],
            "overlapping",
        ),
        (
            vec![endpoint_leaving.clone(), attempt_started(2 * SECOND_US + 600_000, 3, "5-1-0")],
            "knew to drain",
        ),
        (vec![endpoint_state(3.2, false)], "in slow start was sent 3.20 times its capacity"),
        (vec![endpoint_state(1.0, true)], "failed from overload"),
        (vec![process_action(3 * SECOND_US, "start", 0)], "the last relay had the list after"),
        (
            vec![discovery_request(8 * SECOND_US, 0, RequestKind::Changes, RequestOutcome::Abandoned)],
            "went to rejected or abandoned requests",
        ),
        (
            vec![discovery_request(8 * SECOND_US, 0, RequestKind::FullList, RequestOutcome::Answered)],
            "requests for the full list per start",
        ),
    ];
    for (records, message) in violating {
        let violations = report_with(records).violations;
        assert!(
            violations.iter().any(|violation| violation.contains(message)),
            "no violation contains `{message}`: {violations:?}"
        );
    }
    // Similar records that are no violations.
    let valid: Vec<Vec<Record>> = vec![
        vec![
            attempt_started(4 * SECOND_US, 0, "5-1-0"),
            attempt_ended(4 * SECOND_US + 5, 0, "5-1-0"),
            attempt_started(4 * SECOND_US + 9, 1, "5-1-0"),
        ],
        vec![endpoint_leaving, attempt_started(2 * SECOND_US + 400_000, 3, "5-1-0")],
        [
            request_and_answer(8 * SECOND_US, 1, "9-1-1", Answer::TimedOut).to_vec(),
            vec![process_action(7 * SECOND_US, "stop", 1), process_action(12 * SECOND_US, "cont", 1)],
        ]
        .concat(),
    ];
    for records in valid {
        assert_eq!(report_with(records).violations, Vec::<String>::new());
    }
}

#[test]
fn script_errors_are_all_reported_and_every_built_in_scenario_parses() {
    use clap::ValueEnum;
    for scenario in ColdStart::value_variants() {
        for relays in [1, 12, 300] {
            let script = scenario.script(relays, 20, 5).expect("the script is valid");
            assert!(script.steps.iter().all(|(at, _)| *at < script.length), "{scenario:?}");
        }
    }
    for seed in 0..500 {
        let script = ColdStart::Generated.script(12, 20, seed).expect("the script is valid");
        assert_eq!(
            Ok(script),
            ColdStart::Generated.script(12, 20, seed),
            "a seed generates the same script each time"
        );
    }
    let text = "at 0s start relays 7-3\nat 1 kill relays *\nat 1s link list/x hole\n\
                at 1s link list/* delay 9ms 3ms\nfoo\n";
    let errors = script::parse_script("script", text).expect_err("the script has errors");
    for message in [
        "script:1: 7-3",
        "script:2:",
        "script:3: list/x",
        "script:4: delay",
        "script:5: `foo`",
        "`length` is missing",
    ] {
        assert!(errors.contains(message), "`{message}` is not in {errors}");
    }
}

/// A process of a fleet that this test controls.
struct Process(std::process::Child);

impl Process {
    fn start(kind: &str, plan: &Plan) -> Process {
        let mut child = Command::new(TESTBED)
            .args(["part", kind])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let plan = serde_json::to_string(plan).expect("the plan can be serialized");
        writeln!(child.stdin.as_mut().expect("standard input is a pipe"), "{plan}")
            .expect("the process reads its input");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("standard output is a pipe"))
            .read_line(&mut line)
            .expect("the process writes a line");
        assert_eq!(line, "ready\n");
        Process(child)
    }

    fn send_command(&mut self, line: &str) {
        writeln!(self.0.stdin.as_mut().expect("standard input is a pipe"), "{line}")
            .expect("the process reads its input");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn ping(stream: &mut TcpStream, wait_ms: u64) -> Result<String, std::io::ErrorKind> {
    stream.set_read_timeout(Some(Duration::from_millis(wait_ms))).expect("the timeout is valid");
    stream.write_all(b"PING\r\n").map_err(|e| e.kind())?;
    let mut line = String::new();
    match BufReader::new(stream).read_line(&mut line) {
        Ok(0) => Err(std::io::ErrorKind::UnexpectedEof),
        Ok(_) => Ok(line),
        Err(e) => Err(e.kind()),
    }
}

#[test]
fn each_link_fault_takes_effect_and_clears() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(7).expect("a loopback network is free");
    let plan = plan(folder.path(), 7, &network);
    let mut links = Process::start("links", &plan);
    let _endpoints = Process::start("cards", &plan);
    let (link_address, _) = plan.link_addresses(Link::Endpoint(0, 1));
    let connect = || TcpStream::connect(link_address);
    // A command has arrived once the link behaves accordingly; all waits are bounded.
    let wait_until = |fault: &str, condition: &dyn Fn() -> bool| {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !condition() {
            assert!(Instant::now() < deadline, "`{fault}` has not taken effect within 10 s");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let answers_ping =
        || connect().is_ok_and(|mut s| ping(&mut s, 2_000).is_ok_and(|line| line == "PONG\r\n"));
    wait_until("clear", &answers_ping);
    let is_silent = |wait| {
        connect().is_ok_and(|mut s| {
            matches!(ping(&mut s, wait), Err(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
        })
    };
    for fault in ["hole", "cut there", "cut back", "loss 100% 5000ms", "delay 5000ms 5000ms", "rate 1B/s"] {
        links.send_command(&format!("cards/0/1 {fault}"));
        wait_until(fault, &|| is_silent(250));
        // Other links are not affected.
        let (other_address, _) = plan.link_addresses(Link::Endpoint(0, 2));
        assert!(
            ping(&mut TcpStream::connect(other_address).expect("the link accepts a connection"), 2_000)
                .is_ok(),
            "{fault}"
        );
        links.send_command("cards/*/* clear");
        wait_until("clear", &answers_ping);
    }
    links.send_command("cards/0/1 refuse");
    wait_until("refuse", &|| connect().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused));
    links.send_command("cards/0/1 clear");
    wait_until("clear", &answers_ping);
    links.send_command("cards/0/1 reset 3B");
    wait_until("reset", &|| {
        connect()
            .is_ok_and(|mut s| ping(&mut s, 2_000).is_err_and(|e| e == std::io::ErrorKind::ConnectionReset))
    });
    links.send_command("cards/0/1 clear");
    let mut open_connection = connect().expect("the link accepts a connection");
    wait_until("clear", &answers_ping);
    assert!(ping(&mut open_connection, 2_000).is_ok());
    links.send_command("cards/0/1 half");
    wait_until("half", &|| is_silent(250));
    links.send_command("cards/0/1 clear");
    links.send_command("cards/0/1 drip 1B");
    wait_until("clear", &answers_ping);
}

/// Returns the ids of all descendants of a process that are not zombies.
fn descendants(parent: u32) -> Vec<u32> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("/proc is readable").flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let parents = stat.rsplit(')').next().unwrap_or_default();
        let state_and_parent: Vec<&str> = parents.split_whitespace().take(2).collect();
        if state_and_parent.get(1).and_then(|p| p.parse().ok()) == Some(parent) && state_and_parent[0] != "Z"
        {
            all.push(id);
            all.extend(descendants(id));
        }
    }
    all
}

/// Returns whether all processes have ended; zombies count as ended.
fn have_ended(ids: &[u32]) -> bool {
    ids.iter().all(|id| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let rest = stat.rsplit(')').next().unwrap_or_default();
        rest.is_empty() || rest.trim_start().starts_with('Z')
    })
}

#[test]
fn harness_killed_by_any_signal_leaves_no_process() {
    for signal in ["KILL", "INT", "TERM"] {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let script = folder.path().join("faults.conf");
        std::fs::write(&script, "length 60s\nat 0s start relays *\nat 500ms stop relays 0\n")
            .expect("the script can be written");
        let mut harness = Command::new(TESTBED)
            .args(["cold-start", "--relays", "4", "--cards", "4", "--faults"])
            .arg(&script)
            .arg("--logs")
            .arg(folder.path().join("logs"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the harness starts");
        // At least six processes of the harness, and four relays.
        let deadline = Instant::now() + Duration::from_secs(30);
        while descendants(harness.id()).len() < 10 {
            assert!(Instant::now() < deadline, "the fleet has not started within 30 s");
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(800));
        let all = descendants(harness.id());
        let kill_status =
            Command::new("kill").args([&format!("-{signal}"), &harness.id().to_string()]).status();
        assert!(kill_status.expect("the program `kill` starts").success());
        let _ = harness.wait();
        let deadline = Instant::now() + Duration::from_secs(15);
        while !have_ended(&all) {
            assert!(
                Instant::now() < deadline,
                "processes still run 15 s after SIG{signal} to the harness: {all:?}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn addresses_within_a_fleet_are_unique() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let network = LoopbackNetwork::reserve(3).expect("a loopback network is free");
    let big = Plan { relays: 400, endpoints: 40, ..plan(folder.path(), 3, &network) };
    let big = Plan { links: ["list", "cards", "front"].map(str::to_owned).to_vec(), ..big };
    let mut all: Vec<_> = big.all_links().into_iter().map(|link| big.link_addresses(link).0).collect();
    all.extend((0..400).flat_map(|n| [big.relay_address(n), big.discovery_address(n)]));
    all.extend((0..40).map(|s| big.endpoint_address(s)));
    let count = all.len();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), count);
    assert!(TcpListener::bind(big.discovery_address(0)).is_ok());
}
