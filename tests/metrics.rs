//! Metrics on real sockets: what sinks get, through deaths of the relay and of sinks.

mod process;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use honeyknot_gauges::book::Value;
use honeyknot_gauges::collectd::read;
use process::{Folder, Relay, answer, config, free};

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
    let folder = Folder::new("metrics");
    let listen = free();
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
        free()
    );
    let plan = folder.write("metrics.conf", &plan);
    let plan = plan.display().to_string();
    let mut store = Store { got: graphite(sink), points: BTreeMap::new() };
    let mut sum = 0.0;
    for life in 0..2 {
        let mut relay = Relay::start(&folder, &config, &format!("log-{life}"), &["--metrics", &plan]);
        for _ in 0..3 {
            let line = answer(listen, HEAD);
            assert!(line.starts_with("BUSY"), "{line}");
            sum += 1.0;
        }
        store.reaches(REFUSED, sum);
        relay.logged("the sink takes no data");
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
    let folder = Folder::new("collectd");
    let listen = free();
    let config = folder.write("config.json", &config(listen));
    let key = folder.write("key", "edge: secret\n");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("a mode");
    let sink = UdpSocket::bind("127.0.0.1:0").expect("a port");
    sink.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
    let at = sink.local_addr().expect("an address");
    let text = format!("sink c {{\n  collectd {at}\n  interval 100ms\n  encrypt {}\n}}\n", key.display());
    let plan = folder.write("metrics.conf", &text);
    let _relay = Relay::start(&folder, &config, "log", &["--metrics", &plan.display().to_string()]);
    assert!(answer(listen, HEAD).starts_with("BUSY"));
    let mut packet = [0; 2048];
    let password = |user: &str| (user == "edge").then(|| "secret".to_owned());
    let wrong = |_: &str| Some("other".to_owned());
    for _ in 0..1_000 {
        let count = sink.recv(&mut packet).expect("a packet");
        assert!(read(&packet[..count], Some(&wrong)).is_err());
        let values = read(&packet[..count], Some(&password)).expect("a genuine packet");
        if values.iter().any(|v| v.name == "refused-decisions" && v.value == Value::Total(1)) {
            assert!(values.iter().all(|v| v.host == "n0"));
            return;
        }
    }
    panic!("the refusal never came");
}
