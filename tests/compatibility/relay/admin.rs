//! Commands on the admin address, their answers, and the keys of the stats.

use honeyknot_discovery::DiscoveryState;
use honeyknot_relay::admin::command::{self, AdminCommand};
use serde_json::Value;

use super::loopback::{Relay, listen, run_case};
use super::{fixture, fixture_text};

/// Each line: a command, a tab, and the kind of its answer.
const ANSWERS: &str = "admin-answers.tsv";
/// One command per line, ended by CR LF.
const COMMANDS: &str = "admin-commands.txt";
/// Each line: the path of a key, a tab, and the type of its value.
const STATS_KEYS: &str = "admin-stats-keys.tsv";

#[test]
fn each_admin_command_of_the_previous_version_is_parsed() {
    let bytes = fixture(COMMANDS);
    let commands: Vec<_> =
        bytes.split_inclusive(|byte| *byte == b'\n').map(command::parse_buffered).collect();
    let expected = [
        AdminCommand::Status,
        AdminCommand::Stats,
        AdminCommand::MaintOn("s-1".into()),
        AdminCommand::MaintOff("s-1".into()),
    ];
    assert_eq!(commands, expected.map(|command| Some(Ok(command))));
}

/// Returns the part of an answer that does not change: `END` for stats, `NO` without the reason, or the whole
/// line.
fn answer_kind(answer: &str) -> &str {
    match answer.strip_suffix("\r\nEND\r\n") {
        Some(_) => "END",
        None if answer.starts_with("NO ") && answer.ends_with("\r\n") => "NO",
        None => answer.strip_suffix("\r\n").expect("the answer ends with CR LF"),
    }
}

#[test]
fn each_admin_command_is_answered_as_by_the_previous_version() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        for line in fixture_text(ANSWERS).lines() {
            let (command, expected) = line.split_once('\t').expect("the line has a command and an answer");
            let answer = relay.admin_command(&format!("{command}\r\n")).await;
            assert_eq!(answer_kind(&answer), expected, "{command:?}: {answer:?}");
        }
    });
}

fn value_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}

/// Writes the paths of all keys with the types of their values, in order.
fn write_keys(prefix: &str, value: &Value, output: &mut String) {
    let Value::Object(fields) = value else { return };
    for (name, field) in fields {
        let path = format!("{prefix}{name}");
        output.push_str(&format!("{path}\t{}\n", value_type(field)));
        write_keys(&format!("{path}."), field, output);
    }
}

#[test]
fn the_stats_have_the_keys_of_the_previous_version() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let answer = relay.admin_command("stats\n").await;
        let line = answer.strip_suffix("\nEND\n").expect("the answer ends with END");
        let mut found = String::new();
        write_keys("", &serde_json::from_str(line).expect("valid JSON"), &mut found);
        assert_eq!(found, fixture_text(STATS_KEYS));
    });
}

#[test]
fn the_stats_name_the_discovery_states_as_in_the_previous_version() {
    let states = [
        DiscoveryState::Starting,
        DiscoveryState::Following,
        DiscoveryState::ValidatingOlderList,
        DiscoveryState::Failing,
    ];
    assert_eq!(states.map(DiscoveryState::as_str), ["starting", "following", "doubting", "failing"]);
}
