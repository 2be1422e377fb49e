//! The command line: `check-config` and its errors, a reload on SIGHUP, and the `metrics` sub-commands.

#[path = "support/process.rs"]
mod process;

use std::fs;
use std::path::Path;
use std::process::Output;

use process::{Relay, ScratchDirectory, config, first_answer_line, relay_command, unused_address};
use serde_json::json;

/// Returns the exit status and standard error.
fn status_and_errors(output: &Output) -> (Option<i32>, String) {
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_config_reports_all_errors_of_an_operator_file_with_line_and_column() {
    let folder = ScratchDirectory::new("check");
    let config = folder.write("config.json", &config("127.0.0.1:1".parse().expect("a valid address")));
    let valid_file = folder.write("good.conf", "spill-limit 20%\nprefer tema {\n  tier kasoa\n}\n");
    let check_config = |file: &Path| {
        let file = file.display().to_string();
        relay_command(&config, &["check-config", "--sites", &file]).output().expect("the program runs")
    };
    let output = check_config(&valid_file);
    assert!(output.status.success(), "{:?}", status_and_errors(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("sites: up to 20% of a zone's capacity"));
    let invalid_file =
        folder.write("bad.conf", "spill-limit 20\nprefer accra {\n  tier kasoa\n}\nspread soon\n");
    let (code, errors) = status_and_errors(&check_config(&invalid_file));
    assert_eq!(code, Some(2));
    for expected in [
        "bad.conf:1:13: `spill-limit`: `20`",
        "bad.conf:2:8: `site`: `accra`",
        "bad.conf:5:8: `spread`: `soon`",
    ] {
        assert!(errors.contains(expected), "{expected} is not in {errors}");
    }
    let (code, errors) = status_and_errors(&check_config(&folder.0.join("none.conf")));
    assert!(code == Some(2) && errors.contains("none.conf"), "{errors}");
}

#[test]
fn a_reload_applies_an_operator_file_as_a_whole_or_not_at_all_and_logs_json_records() {
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
    let first_record =
        fs::read_to_string(&relay.log).expect("the log is readable").lines().next().map(str::to_owned);
    let record: serde_json::Value =
        serde_json::from_str(&first_record.expect("the log has a record")).expect("the record is valid JSON");
    assert_eq!(
        (&record["target"], &record["name"], &record["level"]),
        (&json!("relay"), &json!("n0"), &json!("INFO"))
    );
    // The relay still serves: without endpoints it rejects a request at once, with a retry time.
    let line = first_answer_line(listen, "OPEN 1 2 c=study,d=1200\r\n");
    assert!(line.starts_with("BUSY"), "{line}");
}

#[test]
fn metrics_names_lists_families_and_metrics_decode_prints_snapshots_and_packets() {
    let folder = ScratchDirectory::new("inspect");
    let run = |arguments: &[&str]| relay_command(&folder.0, arguments).output().expect("the program runs");
    let output = run(&["metrics", "names"]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(printed.contains("refused\ttotal\trequests\treason\tdecisions,site_limit"), "{printed}");
    let state = honeyknot_metrics::MetricsRegistry::new(1)
        .to_stored("n0", 5_000_000, 2)
        .encode()
        .expect("the snapshot is encoded");
    let file = folder.0.join("state");
    fs::write(&file, &state).expect("the file is written");
    let output = run(&["metrics", "decode", &file.display().to_string()]);
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("relay n0 at 5.000, incarnation 2\n"));
    fs::write(&file, &state[..state.len() - 1]).expect("the file is written");
    let (code, errors) = status_and_errors(&run(&["metrics", "decode", &file.display().to_string()]));
    assert!(code == Some(2) && errors.contains("the snapshot has"), "{errors}");
    let packet = honeyknot_metrics::collectd::encode_packets(
        "n0",
        "relay",
        &honeyknot_metrics::MetricsRegistry::new(1).snapshot(5_000_000),
        1_000_000,
        &honeyknot_metrics::collectd::Security::None,
        || [0; 16],
    );
    fs::write(&file, &packet[0]).expect("the file is written");
    let output = run(&["metrics", "decode", &file.display().to_string()]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(printed.contains("n0/honeyknot-relay/derive-refused-closing 0 5.000"), "{printed}");
}
