//! The program on the command line: `check-config` and its errors, reload by SIGHUP, and the metrics commands.

#[path = "support/process.rs"]
mod process;

use std::fs;
use std::path::Path;
use std::process::Output;

use process::{Relay, ScratchDirectory, config, first_answer_line, relay_command, unused_address};
use serde_json::json;

fn failure(output: &Output) -> (Option<i32>, String) {
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_config_reports_all_faults_of_an_operator_file_with_their_places() {
    let folder = ScratchDirectory::new("check");
    let config = folder.write("config.json", &config("127.0.0.1:1".parse().expect("an address")));
    let good = folder.write("good.conf", "spill-limit 20%\nprefer tema {\n  tier kasoa\n}\n");
    let checked = |file: &Path| {
        let file = file.display().to_string();
        relay_command(&config, &["check-config", "--sites", &file]).output().expect("a run")
    };
    let output = checked(&good);
    assert!(output.status.success(), "{:?}", failure(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("sites: up to 20% of a zone's capacity"));
    let bad = folder.write("bad.conf", "spill-limit 20\nprefer accra {\n  tier kasoa\n}\nspread soon\n");
    let (code, text) = failure(&checked(&bad));
    assert_eq!(code, Some(2));
    for place in [
        "bad.conf:1:13: `spill-limit`: `20`",
        "bad.conf:2:8: `site`: `accra`",
        "bad.conf:5:8: `spread`: `soon`",
    ] {
        assert!(text.contains(place), "{place} is not in {text}");
    }
    let (code, text) = failure(&checked(&folder.0.join("none.conf")));
    assert!(code == Some(2) && text.contains("none.conf"), "{text}");
}

#[test]
fn a_reload_applies_all_of_an_operator_file_or_nothing_and_the_log_may_be_json() {
    let folder = ScratchDirectory::new("hangup");
    let listen = unused_address();
    let config = folder.write("config.json", &config(listen));
    let sites = folder.write("sites.conf", "spill-limit 20%\n");
    let relay = Relay::start(&folder, &config, "log", &["--sites", &sites.display().to_string()]);
    folder.write("sites.conf", "spill-limit 20%\nspill-limits 5%\n");
    relay.send_sighup();
    relay.wait_for_log("unknown directive `spill-limits`; is `spill-limit` meant?");
    relay.wait_for_log("configuration rejected; the current one stays");
    folder.write("sites.conf", "spill-limit 30%\n");
    relay.send_sighup();
    relay.wait_for_log("\"message\":\"configuration applied\"");
    let first = fs::read_to_string(&relay.log).expect("a log").lines().next().map(str::to_owned);
    let record: serde_json::Value = serde_json::from_str(&first.expect("a record")).expect("JSON");
    assert_eq!(
        (&record["target"], &record["name"], &record["level"]),
        (&json!("relay"), &json!("n0"), &json!("INFO"))
    );
    // It still serves: without endpoints a request is rejected at once, with a retry time.
    let line = first_answer_line(listen, "OPEN 1 2 c=study,d=1200\r\n");
    assert!(line.starts_with("BUSY"), "{line}");
}

#[test]
fn metrics_are_listed_and_captures_are_decoded() {
    let folder = ScratchDirectory::new("inspect");
    let run = |words: &[&str]| relay_command(&folder.0, words).output().expect("a run");
    let output = run(&["metrics", "names"]);
    let names = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(names.contains("refused\ttotal\trequests\treason\tdecisions,site_limit"), "{names}");
    let state = honeyknot_metrics::MetricsRegistry::new(1)
        .to_stored("n0", 5_000_000, 2)
        .encode()
        .expect("a snapshot");
    let file = folder.0.join("state");
    fs::write(&file, &state).expect("a file");
    let output = run(&["metrics", "decode", &file.display().to_string()]);
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("relay n0 at 5.000, incarnation 2\n"));
    fs::write(&file, &state[..state.len() - 1]).expect("a file");
    let (code, text) = failure(&run(&["metrics", "decode", &file.display().to_string()]));
    assert!(code == Some(2) && text.contains("the snapshot has"), "{text}");
    let packet = honeyknot_metrics::collectd::encode_packets(
        "n0",
        "relay",
        &honeyknot_metrics::MetricsRegistry::new(1).snapshot(5_000_000),
        1_000_000,
        &honeyknot_metrics::collectd::Security::None,
        || [0; 16],
    );
    fs::write(&file, &packet[0]).expect("a file");
    let output = run(&["metrics", "decode", &file.display().to_string()]);
    let shown = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(shown.contains("n0/honeyknot-relay/derive-refused-closing 0 5.000"), "{shown}");
}
