//! The program as operators meet it: `check-config`, its faults, and SIGHUP.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

/// A folder of this test's own, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("honeyknot-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A configuration with a discovery that is down, and two sites.
fn config(listen: SocketAddr) -> String {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"sockets": 128},
        "settings": {
            "family": "conn", "discovery": "on_request", "zone": "tema", "zones": ["tema", "kasoa"],
            "services": [{"name": "study", "effect": "idempotent", "aimUs": 300000, "hardLimitUs": 1200000}],
            "rules": {"startCapacity": 0.3, "coldUs": 9000000, "overloadFactor": 3.0}}})
    .to_string()
}

fn honeyknot(config: &Path, words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_honeyknot"));
    command.args(words).env("EDGE_CONFIG", config);
    for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "HONEYKNOT_SITES", "HONEYKNOT_LOG"] {
        command.env_remove(name);
    }
    command
}

fn told(output: &Output) -> (Option<i32>, String) {
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_config_tells_all_faults_of_an_operator_file_with_their_places() {
    let folder = Folder::new("check");
    let config = folder.write("config.json", &config("127.0.0.1:1".parse().expect("an address")));
    let good = folder.write("good.conf", "spill-limit 20%\nprefer tema {\n  tier kasoa\n}\n");
    let checked = |file: &Path| {
        let file = file.display().to_string();
        honeyknot(&config, &["check-config", "--sites", &file]).output().expect("a run")
    };
    let output = checked(&good);
    assert!(output.status.success(), "{:?}", told(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("spill up to 20% of a site"));
    let bad = folder.write("bad.conf", "spill-limit 20\nprefer accra {\n  tier kasoa\n}\nspread soon\n");
    let (code, text) = told(&checked(&bad));
    assert_eq!(code, Some(2));
    for place in [
        "bad.conf:1:13: `spill-limit`: `20`",
        "bad.conf:2:8: `site`: `accra`",
        "bad.conf:5:8: `spread`: `soon`",
    ] {
        assert!(text.contains(place), "{place} is not in {text}");
    }
    let (code, text) = told(&checked(&folder.0.join("none.conf")));
    assert!(code == Some(2) && text.contains("none.conf"), "{text}");
}

/// A relay's process, ended with the test.
struct Relay {
    child: Child,
    log: PathBuf,
}

impl Relay {
    fn hang_up(&self) {
        let sent = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status();
        assert!(sent.expect("a signal").success());
    }

    /// Waits for a record of the log.
    fn logged(&self, text: &str) {
        let until = Instant::now() + Duration::from_secs(30);
        while !fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text)) {
            assert!(Instant::now() < until, "no `{text}` in {:?}", fs::read_to_string(&self.log));
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_hangup_takes_all_of_an_operator_file_or_nothing_and_the_log_may_be_json() {
    let folder = Folder::new("hangup");
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let config = folder.write("config.json", &config(listen));
    let sites = folder.write("sites.conf", "spill-limit 20%\n");
    let log = folder.0.join("log");
    let file = sites.display().to_string();
    let mut command = honeyknot(&config, &["serve", "--log-form", "json", "--sites", &file]);
    let child = command.stderr(fs::File::create(&log).expect("a log")).stdout(Stdio::null()).spawn();
    let relay = Relay { child: child.expect("a relay"), log };
    relay.logged("\"message\":\"serving\"");
    folder.write("sites.conf", "spill-limit 20%\nspill-limits 5%\n");
    relay.hang_up();
    relay.logged("unknown directive `spill-limits`; is `spill-limit` meant?");
    relay.logged("the configuration held stays in use");
    folder.write("sites.conf", "spill-limit 30%\n");
    relay.hang_up();
    relay.logged("\"message\":\"applied\"");
    let first = fs::read_to_string(&relay.log).expect("a log").lines().next().map(str::to_owned);
    let record: serde_json::Value = serde_json::from_str(&first.expect("a record")).expect("JSON");
    assert_eq!(
        (&record["target"], &record["name"], &record["level"]),
        (&json!("relay"), &json!("n0"), &json!("INFO"))
    );
    // It still serves: nobody is ready, so a client is refused at once, with a time to come back.
    let mut client = TcpStream::connect(listen).expect("a connection");
    client.write_all(b"OPEN 1 2 c=study,d=1200\r\n").expect("a write");
    let mut line = String::new();
    BufReader::new(client).read_line(&mut line).expect("a line");
    assert!(line.starts_with("BUSY"), "{line}");
}
