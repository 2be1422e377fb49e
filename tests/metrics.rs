//! Metrics that sinks receive on loopback sockets while relays are killed and sinks fail.

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

/// Starts a Graphite server and returns a channel of the lines that it receives.
fn start_graphite(listener: TcpListener) -> Receiver<String> {
    let (lines, received_lines) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let lines = lines.clone();
            std::thread::spawn(move || {
                BufReader::new(stream).lines().map_while(Result::ok).all(|line| lines.send(line).is_ok())
            });
        }
    });
    received_lines
}

/// The points that Graphite has received, by path and time.
struct GraphiteStore {
    received_lines: Receiver<String>,
    points: BTreeMap<(String, u64), f64>,
}

impl GraphiteStore {
    /// Returns the sum of all values of a path.
    fn sum(&self, path: &str) -> f64 {
        self.points.iter().filter(|((p, _), _)| p == path).map(|(_, value)| value).sum()
    }

    /// Receives points until the values of a path add up to at least a sum.
    fn wait_for_sum(&mut self, path: &str, sum: f64) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while self.sum(path) < sum {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let line = self.received_lines.recv_timeout(time_left).expect("a point before the deadline");
            let words: Vec<&str> = line.split(' ').collect();
            let [path, value, timestamp] = words[..] else { panic!("not a point: {line}") };
            let (value, timestamp): (f64, u64) = (
                value.parse().expect("the value is a number"),
                timestamp.parse().expect("the time is a number"),
            );
            assert!(value >= 0.0, "{line}");
            // Graphite keeps the last value for the same path and time.
            self.points.insert((path.to_owned(), timestamp), value);
        }
    }
}

const REQUEST: &str = "OPEN 1 2 c=study,d=1200\r\n";
const REJECTED_PATH: &str = "edge.n0.refused.reason.decisions";

/// The relay is killed and restarted while one sink accepts connections but reads nothing, and one refuses
/// connections. The counts at Graphite add up to the answers that clients got.
#[test]
fn counts_at_graphite_add_up_over_two_runs_of_the_relay_while_other_sinks_fail() {
    let folder = ScratchDirectory::new("metrics");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = |listener: &TcpListener| listener.local_addr().expect("the listener has an address");
    let metrics_file = format!(
        "sink good {{\n  graphite {}\n  interval 1s\n  prefix edge\n}}\n\
         sink hole {{\n  graphite {}\n  interval 1s\n  buffer 8KiB\n}}\n\
         sink down {{\n  graphite-pickle {}\n  interval 1s\n  buffer 8KiB\n}}\n",
        address(&sink),
        address(&unresponsive),
        unused_address()
    );
    let metrics_file = folder.write("metrics.conf", &metrics_file);
    let metrics_file = metrics_file.display().to_string();
    let mut store = GraphiteStore { received_lines: start_graphite(sink), points: BTreeMap::new() };
    let mut expected = 0.0;
    for run in 0..2 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{run}"), &["--metrics", &metrics_file]);
        for _ in 0..3 {
            let line = first_answer_line(listen, REQUEST);
            assert!(line.starts_with("BUSY"), "{line}");
            expected += 1.0;
        }
        store.wait_for_sum(REJECTED_PATH, expected);
        relay.wait_for_log("exporter failed");
        relay.child.kill().expect("the relay is killed");
        relay.child.wait().expect("the relay ends");
    }
    for path in [REJECTED_PATH, "edge.n0.requests", "edge.n0.refusal.count"] {
        store.wait_for_sum(path, expected);
        assert_eq!(store.sum(path), expected, "{path}");
    }
}

#[test]
fn collectd_receives_encrypted_packets_that_only_the_right_password_decrypts() {
    use std::os::unix::fs::PermissionsExt;
    let folder = ScratchDirectory::new("collectd");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let key = folder.write("key", "edge: secret\n");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("the file mode is set");
    let sink = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    sink.set_read_timeout(Some(Duration::from_secs(30))).expect("the timeout is set");
    let address = sink.local_addr().expect("the sink has an address");
    let text =
        format!("sink c {{\n  collectd {address}\n  interval 100ms\n  encrypt {}\n}}\n", key.display());
    let metrics_file = folder.write("metrics.conf", &text);
    let _relay = Relay::start(&folder, &config, "log", &["--metrics", &metrics_file.display().to_string()]);
    assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
    let mut packet = [0; 2048];
    let password = |user: &str| (user == "edge").then(|| "secret".to_owned());
    let wrong_password = |_: &str| Some("other".to_owned());
    for _ in 0..1_000 {
        let count = sink.recv(&mut packet).expect("a packet is received");
        assert!(decode_packet(&packet[..count], Some(&wrong_password)).is_err());
        let values = decode_packet(&packet[..count], Some(&password)).expect("the packet is decrypted");
        if values.iter().any(|v| v.type_instance == "refused-decisions" && v.value == MetricValue::Counter(1))
        {
            assert!(values.iter().all(|v| v.host == "n0"));
            return;
        }
    }
    panic!("no packet reports the rejection");
}

/// Receives lines until a path has reached a total. Counters must never decrease; other values may.
fn wait_for_total(
    received_lines: &Receiver<String>, last_values: &mut BTreeMap<String, f64>, path: &str, total: f64,
) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while last_values.get(path).copied().unwrap_or(0.0) < total {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let line = received_lines.recv_timeout(time_left).expect("a point before the deadline");
        let words: Vec<&str> = line.split(' ').collect();
        let value: f64 = words[1].parse().expect("the value is a number");
        let is_counter = words[0].contains(".refused.") || words[0].ends_with(".requests");
        let previous = last_values.insert(words[0].to_owned(), value).unwrap_or(0.0);
        assert!(!is_counter || value >= previous, "{} decreased from {previous} to {value}", words[0]);
    }
}

#[test]
fn persistent_totals_never_decrease_when_the_relay_is_killed_at_any_time() {
    let folder = ScratchDirectory::new("lasting");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = sink.local_addr().expect("the sink has an address");
    let state = folder.0.join("state");
    let text = format!(
        "state {}\nsink g {{\n  graphite {address}\n  interval 1s\n  prefix edge\n}}\n",
        state.display()
    );
    let metrics_file = folder.write("metrics.conf", &text).display().to_string();
    let received_lines = start_graphite(sink);
    let (mut last_values, mut expected) = (BTreeMap::new(), 0.0);
    for run in 0..4 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{run}"), &["--metrics", &metrics_file]);
        relay.wait_for_log("persistent counters restored");
        if run == 1 {
            // A second relay with the same state directory serves without persistent counters.
            let other_config = folder.write("other.json", &process::config(unused_address()));
            let second = Relay::start(&folder, &other_config, "log-second", &["--metrics", &metrics_file]);
            second.wait_for_log("another process uses this directory");
        }
        for _ in 0..2 {
            assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
        }
        expected += 2.0;
        wait_for_total(&received_lines, &mut last_values, REJECTED_PATH, expected);
        // Each run is killed at a different time after a sample. The third run lasts for two more samples, so
        // that both stored snapshots hold everything that has been sent.
        std::thread::sleep(Duration::from_millis(if run == 2 { 2_600 } else { 130 * run }));
        relay.child.kill().expect("the relay is killed");
        relay.child.wait().expect("the relay ends");
        if run == 2 {
            // The newest snapshot is torn, so the one before it must be restored.
            let mut files: Vec<_> = std::fs::read_dir(&state)
                .expect("the directory is readable")
                .flatten()
                .map(|entry| entry.path())
                .collect();
            files.retain(|path| path.extension().is_some_and(|extension| extension == "snap"));
            files.sort();
            assert_eq!(files.len(), 2);
            let newest = files.pop().expect("there is a snapshot");
            let bytes = std::fs::read(&newest).expect("the snapshot is readable");
            std::fs::write(&newest, &bytes[..bytes.len() / 2]).expect("the snapshot is written");
        }
    }
    assert_eq!(last_values[REJECTED_PATH], expected);
}

/// A sink refuses connections, and a reload on SIGHUP gives it another address. The buffered points are sent
/// there.
#[test]
fn after_a_reload_with_a_new_sink_address_buffered_points_are_sent_there() {
    let folder = ScratchDirectory::new("swap");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sink = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let text = |address: std::net::SocketAddr| {
        let unresponsive = unresponsive.local_addr().expect("the listener has an address");
        format!(
            "sink g {{\n  graphite {address}\n  interval 1s\n  prefix edge\n}}\nsink hole {{\n  graphite {unresponsive}\n}}\n"
        )
    };
    let metrics_file = folder.write("metrics.conf", &text(unused_address())).display().to_string();
    let relay = Relay::start(&folder, &config, "log", &["--metrics", &metrics_file]);
    for _ in 0..3 {
        assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
    }
    relay.wait_for_log("exporter failed");
    std::thread::sleep(Duration::from_millis(1_200));
    folder.write("metrics.conf", &text(sink.local_addr().expect("the sink has an address")));
    relay.send_sighup();
    relay.wait_for_log("\"message\":\"configuration applied\"");
    assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
    let mut store = GraphiteStore { received_lines: start_graphite(sink), points: BTreeMap::new() };
    store.wait_for_sum(REJECTED_PATH, 4.0);
    assert_eq!(store.sum(REJECTED_PATH), 4.0);
}

/// The sink is down for several samples, and the relay is killed meanwhile. Once both run again, no sample is
/// missing.
#[test]
fn a_spool_sends_what_a_sink_missed_also_after_the_relay_was_killed() {
    let folder = ScratchDirectory::new("spool");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let address = unused_address();
    let state = folder.0.join("state");
    let text = format!(
        "state {}\nsink g {{\n  graphite {address}\n  interval 1s\n  prefix edge\n  spool 4MiB\n}}\n",
        state.display()
    );
    let metrics_file = folder.write("metrics.conf", &text).display().to_string();
    let mut requests = 0.0;
    for run in 0..2 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{run}"), &["--metrics", &metrics_file]);
        for _ in 0..4 {
            assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
            requests += 1.0;
            std::thread::sleep(Duration::from_millis(1_000));
        }
        relay.child.kill().expect("the relay is killed");
        relay.child.wait().expect("the relay ends");
    }
    let sink = TcpListener::bind(address).expect("the sink's address is bound");
    let received_lines = start_graphite(sink);
    let relay = Relay::start(&folder, &config, "log-2", &["--metrics", &metrics_file]);
    relay.wait_for_log("spool has unsent frames");
    let (mut values_by_time, mut highest) = (BTreeMap::new(), 0.0f64);
    let deadline = Instant::now() + Duration::from_secs(30);
    while values_by_time.len() < 6 || highest < requests - 1.0 {
        let line = received_lines
            .recv_timeout(deadline.saturating_duration_since(Instant::now()))
            .expect("a point before the deadline");
        let words: Vec<&str> = line.split(' ').collect();
        if words[0] == "edge.n0.requests" {
            let value: f64 = words[1].parse().expect("the value is a number");
            let time: u64 = words[2].parse().expect("the time is a number");
            highest = highest.max(value);
            values_by_time.insert(time, value);
        }
    }
    // Spooled points arrive out of order. Ordered by their times, totals never decrease.
    let values: Vec<f64> = values_by_time.values().copied().collect();
    assert!(values.windows(2).all(|pair| pair[0] <= pair[1]), "{values_by_time:?}");
}

#[test]
fn an_unusable_state_directory_disables_only_the_persistence_of_counters() {
    let folder = ScratchDirectory::new("no-folder");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let file = folder.write("file", "not a folder");
    let sink = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = sink.local_addr().expect("the sink has an address");
    let text = format!(
        "state {}\nsink g {{\n  graphite {address}\n  interval 1s\n  prefix edge\n}}\n",
        file.display()
    );
    let metrics_file = folder.write("metrics.conf", &text).display().to_string();
    let mut store = GraphiteStore { received_lines: start_graphite(sink), points: BTreeMap::new() };
    let relay = Relay::start(&folder, &config, "log", &["--metrics", &metrics_file]);
    relay.wait_for_log("persistent counters unavailable");
    assert!(first_answer_line(listen, REQUEST).starts_with("BUSY"));
    store.wait_for_sum(REJECTED_PATH, 1.0);
}
