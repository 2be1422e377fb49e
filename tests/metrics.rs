//! Metrics on real sockets: what sinks get, through deaths of the relay and of sinks.

#[path = "support/process.rs"]
mod process;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use honeyknot_metrics::MetricValue;
use honeyknot_metrics::collectd::decode_packet;
use process::{Relay, ScratchDirectory, config, first_answer_line, unused_address};

/// A Graphite that hands on every line it gets.
fn graphite(listener: TcpListener) -> Receiver<String> {
    let (lines, got) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let lines = lines.clone();
            std::thread::spawn(move || {
                BufReader::new(stream).lines().map_while(Result::ok).all(|line| lines.send(line).is_ok())
            });
        }
    });
    got
}

/// Adds up the counts of a series by path, until one has reached a sum; the same path and time count once.
struct Store {
    got: Receiver<String>,
    points: BTreeMap<(String, u64), f64>,
}

impl Store {
    fn sum(&self, path: &str) -> f64 {
        self.points.iter().filter(|((p, _), _)| p == path).map(|(_, value)| value).sum()
    }

    fn reaches(&mut self, path: &str, sum: f64) {
        let until = Instant::now() + Duration::from_secs(30);
        while self.sum(path) < sum {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.got.recv_timeout(left).expect("a line in time");
            let words: Vec<&str> = line.split(' ').collect();
            let [path, value, at] = words[..] else { panic!("no point: {line}") };
            let (value, at): (f64, u64) = (value.parse().expect("a value"), at.parse().expect("a time"));
            assert!(value >= 0.0, "{line}");
            // As Graphite's stores do: the last one counts.
            self.points.insert((path.to_owned(), at), value);
        }
    }
}

const HEAD: &str = "OPEN 1 2 c=study,d=1200\r\n";
const REFUSED: &str = "edge.n0.refused.reason.decisions";

/// A relay dies and returns, beside sinks that are a black hole and down: Graphite's counts add up to what clients saw.
#[test]
fn counts_at_graphite_add_up_over_two_lives_while_other_sinks_are_sick() {
    let folder = ScratchDirectory::new("metrics");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hole = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = |listener: &TcpListener| listener.local_addr().expect("an address");
    let plan = format!(
        "sink good {{\n  graphite {}\n  interval 1s\n  prefix edge\n}}\n\
         sink hole {{\n  graphite {}\n  interval 1s\n  buffer 8KiB\n}}\n\
         sink down {{\n  graphite-pickle {}\n  interval 1s\n  buffer 8KiB\n}}\n",
        at(&sink),
        at(&hole),
        unused_address()
    );
    let plan = folder.write("metrics.conf", &plan);
    let plan = plan.display().to_string();
    let mut store = Store { got: graphite(sink), points: BTreeMap::new() };
    let mut sum = 0.0;
    for life in 0..2 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{life}"), &["--metrics", &plan]);
        for _ in 0..3 {
            let line = first_answer_line(listen, HEAD);
            assert!(line.starts_with("BUSY"), "{line}");
            sum += 1.0;
        }
        store.reaches(REFUSED, sum);
        relay.wait_for_log("exporter failed");
        relay.child.kill().expect("a kill");
        relay.child.wait().expect("an end");
    }
    for path in [REFUSED, "edge.n0.requests", "edge.n0.refusal.count"] {
        store.reaches(path, sum);
        assert_eq!(store.sum(path), sum, "{path}");
    }
}

#[test]
fn collectd_gets_encrypted_packets_that_only_the_key_opens() {
    use std::os::unix::fs::PermissionsExt;
    let folder = ScratchDirectory::new("collectd");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let key = folder.write("key", "edge: secret\n");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("a mode");
    let sink = UdpSocket::bind("127.0.0.1:0").expect("a port");
    sink.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
    let at = sink.local_addr().expect("an address");
    let text = format!("sink c {{\n  collectd {at}\n  interval 100ms\n  encrypt {}\n}}\n", key.display());
    let plan = folder.write("metrics.conf", &text);
    let _relay = Relay::start(&folder, &config, "log", &["--metrics", &plan.display().to_string()]);
    assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
    let mut packet = [0; 2048];
    let password = |user: &str| (user == "edge").then(|| "secret".to_owned());
    let wrong = |_: &str| Some("other".to_owned());
    for _ in 0..1_000 {
        let count = sink.recv(&mut packet).expect("a packet");
        assert!(decode_packet(&packet[..count], Some(&wrong)).is_err());
        let values = decode_packet(&packet[..count], Some(&password)).expect("a genuine packet");
        if values.iter().any(|v| v.type_instance == "refused-decisions" && v.value == MetricValue::Counter(1))
        {
            assert!(values.iter().all(|v| v.host == "n0"));
            return;
        }
    }
    panic!("the refusal never came");
}

/// The last values of a Graphite that is told totals; one that falls is a fault.
fn totals(got: &Receiver<String>, last: &mut BTreeMap<String, f64>, path: &str, total: f64) {
    let until = Instant::now() + Duration::from_secs(30);
    while last.get(path).copied().unwrap_or(0.0) < total {
        let left = until.saturating_duration_since(Instant::now());
        let line = got.recv_timeout(left).expect("a line in time");
        let words: Vec<&str> = line.split(' ').collect();
        let value: f64 = words[1].parse().expect("a value");
        let of_total = words[0].contains(".refused.") || words[0].ends_with(".requests");
        let before = last.insert(words[0].to_owned(), value).unwrap_or(0.0);
        assert!(!of_total || value >= before, "{} fell from {before} to {value}", words[0]);
    }
}

#[test]
fn totals_last_over_lives_that_are_killed_at_any_time_and_never_fall() {
    let folder = ScratchDirectory::new("lasting");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = sink.local_addr().expect("an address");
    let state = folder.0.join("state");
    let text =
        format!("state {}\nsink g {{\n  graphite {at}\n  interval 1s\n  prefix edge\n}}\n", state.display());
    let plan = folder.write("metrics.conf", &text).display().to_string();
    let got = graphite(sink);
    let (mut last, mut told) = (BTreeMap::new(), 0.0);
    for life in 0..4 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{life}"), &["--metrics", &plan]);
        relay.wait_for_log("persistent counters restored");
        if life == 1 {
            // A second relay with the same folder serves without it.
            let other = folder.write("other.json", &process::config(unused_address()));
            let second = Relay::start(&folder, &other, "log-second", &["--metrics", &plan]);
            second.wait_for_log("another process uses this directory");
        }
        for _ in 0..2 {
            assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
        }
        told += 2.0;
        totals(&got, &mut last, REFUSED, told);
        // Killed a different time after a reading in each life. The third lives for two more readings, so that both of
        // the snapshots that are kept hold all that was told.
        std::thread::sleep(Duration::from_millis(if life == 2 { 2_600 } else { 130 * life }));
        relay.child.kill().expect("a kill");
        relay.child.wait().expect("an end");
        if life == 2 {
            // The newest snapshot is torn: the one before it counts.
            let mut files: Vec<_> =
                std::fs::read_dir(&state).expect("files").flatten().map(|f| f.path()).collect();
            files.retain(|f| f.extension().is_some_and(|e| e == "snap"));
            files.sort();
            assert_eq!(files.len(), 2);
            let newest = files.pop().expect("a snapshot");
            let bytes = std::fs::read(&newest).expect("bytes");
            std::fs::write(&newest, &bytes[..bytes.len() / 2]).expect("a torn file");
        }
    }
    assert_eq!(last[REFUSED], told);
}

/// A sink is down; a hangup gives it another address, and what waited for it goes there.
#[test]
fn a_hangup_moves_a_sink_and_what_waited_goes_to_the_new_address() {
    let folder = ScratchDirectory::new("swap");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a port");
    let hole = TcpListener::bind("127.0.0.1:0").expect("a port");
    let text = |at: std::net::SocketAddr| {
        let hole = hole.local_addr().expect("an address");
        format!(
            "sink g {{\n  graphite {at}\n  interval 1s\n  prefix edge\n}}\nsink hole {{\n  graphite {hole}\n}}\n"
        )
    };
    let plan = folder.write("metrics.conf", &text(unused_address())).display().to_string();
    let relay = Relay::start(&folder, &config, "log", &["--metrics", &plan]);
    for _ in 0..3 {
        assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
    }
    relay.wait_for_log("exporter failed");
    std::thread::sleep(Duration::from_millis(1_200));
    folder.write("metrics.conf", &text(sink.local_addr().expect("an address")));
    relay.send_sighup();
    relay.wait_for_log("\"message\":\"configuration applied\"");
    assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
    let mut store = Store { got: graphite(sink), points: BTreeMap::new() };
    store.reaches(REFUSED, 4.0);
    assert_eq!(store.sum(REFUSED), 4.0);
}

/// The sink is down for some readings, the relay is killed meanwhile, and both come back: no reading is missing.
#[test]
fn a_spool_fills_in_what_a_sink_missed_over_a_death_of_the_relay() {
    let folder = ScratchDirectory::new("spool");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let at = unused_address();
    let state = folder.0.join("state");
    let text = format!(
        "state {}\nsink g {{\n  graphite {at}\n  interval 1s\n  prefix edge\n  spool 4MiB\n}}\n",
        state.display()
    );
    let plan = folder.write("metrics.conf", &text).display().to_string();
    let mut asked = 0.0;
    for life in 0..2 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{life}"), &["--metrics", &plan]);
        for _ in 0..4 {
            assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
            asked += 1.0;
            std::thread::sleep(Duration::from_millis(1_000));
        }
        relay.child.kill().expect("a kill");
        relay.child.wait().expect("an end");
    }
    let sink = TcpListener::bind(at).expect("the sink's port");
    let got = graphite(sink);
    let relay = Relay::start(&folder, &config, "log-2", &["--metrics", &plan]);
    relay.wait_for_log("spool has unsent frames");
    let (mut seen, mut most) = (BTreeMap::new(), 0.0f64);
    let until = Instant::now() + Duration::from_secs(30);
    while seen.len() < 6 || most < asked - 1.0 {
        let line = got.recv_timeout(until.saturating_duration_since(Instant::now())).expect("a line in time");
        let words: Vec<&str> = line.split(' ').collect();
        if words[0] == "edge.n0.requests" {
            let value: f64 = words[1].parse().expect("a value");
            let time: u64 = words[2].parse().expect("a time");
            most = most.max(value);
            seen.insert(time, value);
        }
    }
    // In the order of their times totals never fall, though they came out of order.
    let values: Vec<f64> = seen.values().copied().collect();
    assert!(values.windows(2).all(|w| w[0] <= w[1]), "{seen:?}");
}

#[test]
fn a_folder_that_cannot_be_used_costs_nothing_but_the_lasting() {
    let folder = ScratchDirectory::new("no-folder");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let file = folder.write("file", "not a folder");
    let sink = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = sink.local_addr().expect("an address");
    let text =
        format!("state {}\nsink g {{\n  graphite {at}\n  interval 1s\n  prefix edge\n}}\n", file.display());
    let plan = folder.write("metrics.conf", &text).display().to_string();
    let mut store = Store { got: graphite(sink), points: BTreeMap::new() };
    let relay = Relay::start(&folder, &config, "log", &["--metrics", &plan]);
    relay.wait_for_log("persistent counters unavailable");
    assert!(first_answer_line(listen, HEAD).starts_with("BUSY"));
    store.reaches(REFUSED, 1.0);
}
