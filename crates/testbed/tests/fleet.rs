//! The fault harness: its verdicts see what is wrong, its links fail as told, and nothing outlives it.

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

const LAB: &str = env!("CARGO_BIN_EXE_honeyknot-testbed");

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

const S: u64 = 1_000_000;

fn told(t: u64, r: usize, kind: RequestKind, end: RequestOutcome) -> Record {
    Record {
        time_us: t,
        event: Event::DiscoveryRequest {
            relay: r,
            kind,
            received_at_us: t,
            work_us: 20_000,
            outcome: end,
            version: 42,
            queue_length: 0,
            is_first_pass: true,
        },
    }
}

fn act(t: u64, verb: &str, r: usize) -> Record {
    Record { time_us: t, event: Event::ProcessAction { action: verb.into(), relay: Some(r) } }
}

fn word(t: u64, r: usize, id: &str, word: Answer) -> [Record; 2] {
    let id = id.to_owned();
    [
        Record { time_us: t - 1_000, event: Event::ClientRequest { relay: r, id: id.clone() } },
        Record { time_us: t, event: Event::ClientAnswer { relay: r, id, answer: word } },
    ]
}

/// A day on which all goes well.
fn good() -> Vec<Record> {
    let mut lines = vec![act(S, "start", 0), act(S, "start", 1)];
    lines.extend([0, 1].map(|r| told(2 * S, r, RequestKind::FullList, RequestOutcome::Answered)));
    lines.extend([0, 1].into_iter().flat_map(|r| word(5 * S, r, &format!("{r}-1-{r}"), Answer::Established)));
    lines
}

fn judged(more: Vec<Record>) -> Report {
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(1).expect("free addresses");
    let mut lines = good();
    lines.extend(more);
    lines.sort_by_key(|line| line.time_us);
    let aims = Expectations { outage_s: 0.0, slack_s: Some(2.0), refills_list: false };
    analyze(&plan(folder.path(), 1, &network), "planted", S, &lines, aims)
}

#[test]
fn analysis_reports_each_violation_and_no_lookalike() {
    let well = judged(Vec::new());
    assert_eq!((well.violations, well.alive, well.served), (Vec::<String>::new(), 2, 2));
    let first =
        |t, s, id: &str| Record { time_us: t, event: Event::AttemptStarted { endpoint: s, id: id.into() } };
    let answer = |t, s, id: &str| Record {
        time_us: t,
        event: Event::AttemptEnded { endpoint: s, id: id.into(), is_established: false },
    };
    let leaves = Record {
        time_us: S + 1,
        event: Event::ListVersion { version: 42, endpoint: 3, state: "leaving".into() },
    };
    let card = |worst, fallen| Record {
        time_us: 6 * S,
        event: Event::EndpointState {
            endpoint: 1,
            open_connections: 1,
            utilization: 0.1,
            max_overload: worst,
            has_failed: fallen,
        },
    };
    let planted: Vec<(Vec<Record>, &str)> = vec![
        (
            vec![Record { time_us: 9 * S, event: Event::RelayExited { relay: 1, reason: "signal".into() } }],
            "ended by itself",
        ),
        (word(8 * S, 1, "9-1-1", Answer::TimedOut).to_vec(), "without an answer"),
        (
            vec![Record { time_us: 8 * S, event: Event::DuplicateAnswer { id: "0-1-0".into() } }],
            "second answers",
        ),
        (
            vec![Record { time_us: 8 * S, event: Event::ConnectionEnded { relay: 0, is_expected: false } }],
            "cut off",
        ),
        (vec![first(4 * S, 0, "5-1-0"), first(4 * S + 9, 1, "5-1-0")], "overlapping"),
        (
            vec![first(4 * S, 0, "5-1-0"), first(4 * S + 9, 1, "5-1-0"), answer(5 * S, 0, "5-1-0")],
            "overlapping",
        ),
        (vec![leaves.clone(), first(2 * S + 600_000, 3, "5-1-0")], "late sends"),
        (vec![card(3.2, false)], "times a cold card server's capacity"),
        (vec![card(1.0, true)], "fell over"),
        (vec![act(3 * S, "start", 0)], "the last list"),
        (vec![told(8 * S, 0, RequestKind::Changes, RequestOutcome::Abandoned)], "for nothing"),
        (vec![told(8 * S, 0, RequestKind::FullList, RequestOutcome::Answered)], "whole lists"),
    ];
    for (lines, what) in planted {
        let broken = judged(lines).violations;
        assert!(broken.iter().any(|b| b.contains(what)), "`{what}` is not among {broken:?}");
    }
    // What looks alike and is not wrong.
    let fine: Vec<Vec<Record>> = vec![
        vec![first(4 * S, 0, "5-1-0"), answer(4 * S + 5, 0, "5-1-0"), first(4 * S + 9, 1, "5-1-0")],
        vec![leaves, first(2 * S + 400_000, 3, "5-1-0")],
        [
            word(8 * S, 1, "9-1-1", Answer::TimedOut).to_vec(),
            vec![act(7 * S, "stop", 1), act(12 * S, "cont", 1)],
        ]
        .concat(),
    ];
    for lines in fine {
        assert_eq!(judged(lines).violations, Vec::<String>::new());
    }
}

#[test]
fn script_errors_are_all_reported_and_every_built_in_scenario_parses() {
    use clap::ValueEnum;
    for scenario in ColdStart::value_variants() {
        for relays in [1, 12, 300] {
            let script = scenario.script(relays, 20, 5).expect("a sound script");
            assert!(script.steps.iter().all(|(at, _)| *at < script.length), "{scenario:?}");
        }
    }
    for seed in 0..500 {
        let script = ColdStart::Generated.script(12, 20, seed).expect("a sound script");
        assert_eq!(Ok(script), ColdStart::Generated.script(12, 20, seed), "a seed replays its script");
    }
    let text = "at 0s start relays 7-3\nat 1 kill relays *\nat 1s link list/x hole\nat 1s link list/* delay 9ms 3ms\nfoo\n";
    let told = script::parse_script("day", text).expect_err("faults");
    for what in
        ["day:1: 7-3", "day:2:", "day:3: list/x", "day:4: delay", "day:5: `foo`", "`length` is missing"]
    {
        assert!(told.contains(what), "`{what}` is not in {told}");
    }
}

/// A part of a fleet, steered by this test.
struct Part(std::process::Child);

impl Part {
    fn start(kind: &str, plan: &Plan) -> Part {
        let mut child = Command::new(LAB)
            .args(["part", kind])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a part");
        let plan = serde_json::to_string(plan).expect("a plan");
        writeln!(child.stdin.as_mut().expect("its input"), "{plan}").expect("a write");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("its output")).read_line(&mut line).expect("a line");
        assert_eq!(line, "ready\n");
        Part(child)
    }

    fn tell(&mut self, line: &str) {
        writeln!(self.0.stdin.as_mut().expect("its input"), "{line}").expect("a write");
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn ask(stream: &mut TcpStream, wait_ms: u64) -> Result<String, std::io::ErrorKind> {
    stream.set_read_timeout(Some(Duration::from_millis(wait_ms))).expect("a time");
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
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(7).expect("free addresses");
    let plan = plan(folder.path(), 7, &network);
    let mut links = Part::start("links", &plan);
    let _cards = Part::start("cards", &plan);
    let (at, _) = plan.link_addresses(Link::Endpoint(0, 1));
    let dial = || TcpStream::connect(at);
    // What was told has arrived once a link shows it; all waits are bounded.
    let shows = |fault: &str, what: &dyn Fn() -> bool| {
        let until = Instant::now() + Duration::from_secs(10);
        while !what() {
            assert!(Instant::now() < until, "`{fault}` does not show");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let pong = || dial().is_ok_and(|mut s| ask(&mut s, 2_000).is_ok_and(|line| line == "PONG\r\n"));
    shows("clear", &pong);
    let silent = |wait| {
        dial().is_ok_and(|mut s| {
            matches!(ask(&mut s, wait), Err(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
        })
    };
    for fault in ["hole", "cut there", "cut back", "loss 100% 5000ms", "delay 5000ms 5000ms", "rate 1B/s"] {
        links.tell(&format!("cards/0/1 {fault}"));
        shows(fault, &|| silent(250));
        // Others go on.
        let (other, _) = plan.link_addresses(Link::Endpoint(0, 2));
        assert!(ask(&mut TcpStream::connect(other).expect("a link"), 2_000).is_ok(), "{fault}");
        links.tell("cards/*/* clear");
        shows("clear", &pong);
    }
    links.tell("cards/0/1 refuse");
    shows("refuse", &|| dial().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused));
    links.tell("cards/0/1 clear");
    shows("clear", &pong);
    links.tell("cards/0/1 reset 3B");
    shows("reset", &|| {
        dial().is_ok_and(|mut s| ask(&mut s, 2_000).is_err_and(|e| e == std::io::ErrorKind::ConnectionReset))
    });
    links.tell("cards/0/1 clear");
    let mut standing = dial().expect("a link");
    shows("clear", &pong);
    assert!(ask(&mut standing, 2_000).is_ok());
    links.tell("cards/0/1 half");
    shows("half", &|| silent(250));
    links.tell("cards/0/1 clear");
    links.tell("cards/0/1 drip 1B");
    shows("clear", &pong);
}

/// The process ids below a process, its own left out.
fn below(parent: u32) -> Vec<u32> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("the process list").flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let parents = stat.rsplit(')').next().unwrap_or_default();
        let state_and_parent: Vec<&str> = parents.split_whitespace().take(2).collect();
        if state_and_parent.get(1).and_then(|p| p.parse().ok()) == Some(parent) && state_and_parent[0] != "Z"
        {
            all.push(id);
            all.extend(below(id));
        }
    }
    all
}

fn gone(ids: &[u32]) -> bool {
    ids.iter().all(|id| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let rest = stat.rsplit(')').next().unwrap_or_default();
        rest.is_empty() || rest.trim_start().starts_with('Z')
    })
}

#[test]
fn harness_killed_by_any_signal_leaves_no_process() {
    for signal in ["KILL", "INT", "TERM"] {
        let folder = tempfile::tempdir().expect("a folder");
        let script = folder.path().join("day.conf");
        std::fs::write(&script, "length 60s\nat 0s start relays *\nat 500ms stop relays 0\n")
            .expect("a script");
        let mut harness = Command::new(LAB)
            .args(["cold-start", "--relays", "4", "--cards", "4", "--faults"])
            .arg(&script)
            .arg("--logs")
            .arg(folder.path().join("books"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the harness");
        // Six parts or more, and four relays.
        let until = Instant::now() + Duration::from_secs(30);
        while below(harness.id()).len() < 10 {
            assert!(Instant::now() < until, "the fleet does not start");
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(800));
        let all = below(harness.id());
        let sent = Command::new("kill").args([&format!("-{signal}"), &harness.id().to_string()]).status();
        assert!(sent.expect("a signal").success());
        let _ = harness.wait();
        let until = Instant::now() + Duration::from_secs(15);
        while !gone(&all) {
            assert!(Instant::now() < until, "SIG{signal} left processes: {all:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn addresses_within_a_fleet_are_unique() {
    let folder = tempfile::tempdir().expect("a folder");
    let network = LoopbackNetwork::reserve(3).expect("free addresses");
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
