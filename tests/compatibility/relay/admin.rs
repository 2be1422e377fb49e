//! Operators' commands on the admin address, their answers, and the keys of the figures.

use honeyknot_discovery::DiscoveryState;
use honeyknot_relay::admin::command::{self, AdminCommand};
use serde_json::Value;

use super::loopback::{Relay, listen, run_case};
use super::{fixture, fixture_text};

/// Command, a tab and how its answer begins.
const ANSWERS: &str = "admin-answers.tsv";
/// One command a line, with CR LF.
const COMMANDS: &str = "admin-commands.txt";
/// Path of a key, a tab and the kind of its value.
const FIGURES: &str = "admin-stats-keys.tsv";

#[test]
fn each_admin_command_of_the_previous_version_is_understood() {
    let bytes = fixture(COMMANDS);
    let commands: Vec<_> =
        bytes.split_inclusive(|byte| *byte == b'\n').map(command::parse_buffered).collect();
    let understood = [
        AdminCommand::Status,
        AdminCommand::Stats,
        AdminCommand::MaintOn("s-1".into()),
        AdminCommand::MaintOff("s-1".into()),
    ];
    assert_eq!(commands, understood.map(|command| Some(Ok(command))));
}

/// The answer's lines, `stats` cut down to its last one.
fn beginning(answer: &str) -> &str {
    match answer.strip_suffix("\r\nEND\r\n") {
        Some(_) => "END",
        None if answer.starts_with("NO ") && answer.ends_with("\r\n") => "NO",
        None => answer.strip_suffix("\r\n").expect("a whole line"),
    }
}

#[test]
fn each_admin_command_is_answered_as_by_the_previous_version() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        for line in fixture_text(ANSWERS).lines() {
            let (command, wanted) = line.split_once('\t').expect("a command and an answer");
            let answer = relay.admin_command(&format!("{command}\r\n")).await;
            assert_eq!(beginning(&answer), wanted, "{command:?}: {answer:?}");
        }
    });
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}

/// The paths of all keys, in the order in which they stand.
fn keys(prefix: &str, value: &Value, into: &mut String) {
    let Value::Object(fields) = value else { return };
    for (name, field) in fields {
        let path = format!("{prefix}{name}");
        into.push_str(&format!("{path}\t{}\n", kind(field)));
        keys(&format!("{path}."), field, into);
    }
}

#[test]
fn the_figures_have_the_keys_of_the_previous_version() {
    run_case(async {
        let relay = Relay::start(&[("s-1", listen().await.1, "active")], 256).await;
        let answer = relay.admin_command("stats\n").await;
        let line = answer.strip_suffix("\nEND\n").expect("a last line");
        let mut found = String::new();
        keys("", &serde_json::from_str(line).expect("JSON"), &mut found);
        assert_eq!(found, fixture_text(FIGURES));
    });
}

#[test]
fn the_figures_name_the_states_of_discovery_as_in_the_previous_version() {
    let states = [
        DiscoveryState::Starting,
        DiscoveryState::Following,
        DiscoveryState::ValidatingOlderList,
        DiscoveryState::Failing,
    ];
    assert_eq!(states.map(DiscoveryState::as_str), ["starting", "following", "doubting", "failing"]);
}
