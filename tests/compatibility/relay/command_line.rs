//! Sub-commands, flags and exit statuses of the program.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::thread::JoinHandle;

use super::process::{ScratchDirectory, config, relay_command as program, unused_address};
use super::{FIXTURES, address, fixture_text};

/// Name of the program in its output.
const PROGRAM_NAME: &str = "honeyknot";

/// Returns the exit status, standard output and standard error.
fn result(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Runs the program with a configuration file and environment variables.
fn run_with(config: &Path, variables: &[(&str, &str)], arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = program(config, arguments);
    for name in ["HONEYKNOT_METRICS", "HONEYKNOT_LOG_FORM", "EDGE_ADMIN_ADDR"] {
        command.env_remove(name);
    }
    result(&command.envs(variables.iter().copied()).output().expect("the program runs"))
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    run_with(Path::new(""), &[], arguments)
}

/// Writes a valid configuration into the directory and returns its path.
fn write_config(scratch: &ScratchDirectory) -> PathBuf {
    scratch.write("config.json", &config(address("127.0.0.1:1")))
}

/// Returns the path of a fixture.
fn fixture_path(name: &str) -> String {
    Path::new(FIXTURES).join(name).display().to_string()
}

#[test]
fn the_version_is_printed_after_the_name_of_the_program() {
    let printed = format!("{PROGRAM_NAME} {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(run(&["version"]), (Some(0), printed.clone(), String::new()));
    assert_eq!(run(&["--version"]), (Some(0), printed, String::new()));
}

#[test]
fn every_sub_command_of_the_previous_version_has_help_and_an_unknown_one_is_an_error() {
    let sub_commands: [&[&str]; 13] = [
        &["serve"],
        &["check-config"],
        &["metrics"],
        &["metrics", "names"],
        &["metrics", "decode"],
        &["call"],
        &["keeper"],
        &["lease"],
        &["lease", "list"],
        &["lease", "show"],
        &["lease", "release"],
        &["lease", "watch"],
        &["version"],
    ];
    for arguments in sub_commands {
        let (status, _, errors) = run(&[arguments, &["--help"]].concat());
        assert_eq!((status, errors.as_str()), (Some(0), ""), "{arguments:?}");
    }
    let (status, _, errors) = run(&["no-such-command"]);
    assert_eq!(status, Some(2));
    assert!(errors.starts_with("error: unrecognized subcommand 'no-such-command'\n"), "{errors}");
}

#[test]
fn every_flag_of_the_previous_version_is_accepted_and_a_missing_configuration_is_named() {
    let files = ["--sites", "s", "--metrics", "m", "--neighbors", "n"];
    let flags_of_serve = [&["serve", "--log", "warn", "--log-form", "json"][..], &files].concat();
    let flags_of_check = [&["check-config"][..], &files].concat();
    let missing = format!("{PROGRAM_NAME}: none.json: No such file or directory (os error 2)\n");
    for arguments in [flags_of_serve, flags_of_check] {
        let (status, _, errors) = run_with(Path::new("none.json"), &[], &arguments);
        assert_eq!((status, errors), (Some(2), missing.clone()), "{arguments:?}");
    }
    let (status, _, errors) = run(&["check-config"]);
    assert_eq!(
        (status, errors),
        (Some(2), format!("{PROGRAM_NAME}: EDGE_CONFIG is not set; it must name the configuration file\n"))
    );
}

#[test]
fn every_flag_of_a_lease_server_and_its_clients_is_accepted_and_a_missing_file_is_named() {
    let lease_server = ["keeper", "--leases", "none.conf", "--number", "1", "--folder", "none"];
    let optional_flags = ["--found", "1", "--log", "warn", "--log-form", "text"];
    let list = ["lease", "--leases", "none.conf", "list"];
    let missing = format!("{PROGRAM_NAME}: none.conf: No such file or directory (os error 2)\n");
    for arguments in [[&lease_server[..], &optional_flags].concat(), list.to_vec()] {
        let (status, _, errors) = run(&arguments);
        assert_eq!((status, errors), (Some(2), missing.clone()), "{arguments:?}");
    }
}

#[test]
fn an_unknown_flag_or_flag_value_is_named_with_exit_status_2() {
    for sub_command in ["serve", "check-config", "keeper", "lease", "call", "version"] {
        let (status, _, errors) = run(&[sub_command, "--sitez"]);
        assert_eq!(status, Some(2), "{sub_command}");
        assert!(errors.starts_with("error: unexpected argument '--sitez' found\n"), "{errors}");
    }
    let (status, _, errors) = run(&["serve", "--log-form", "xml"]);
    assert_eq!(status, Some(2));
    assert!(
        errors.contains("invalid value 'xml' for '--log-form")
            && errors.contains("[possible values: text, json]")
    );
}

/// Each flag, the environment variable with the same meaning, and the name of an invalid file.
const OPERATOR_FILES: [(&str, &str, &str); 3] = [
    ("--sites", "HONEYKNOT_SITES", "sites-wrong"),
    ("--neighbors", "HONEYKNOT_NEIGHBORS", "neighbors-wrong"),
    ("--metrics", "HONEYKNOT_METRICS", "metrics-wrong"),
];

#[test]
fn an_invalid_operator_file_named_by_flag_or_variable_is_an_error_with_exit_status_2() {
    let scratch = ScratchDirectory::new("frozen-wrong-file");
    let config = write_config(&scratch);
    for (flag, variable, name) in OPERATOR_FILES {
        let file = fixture_path(&format!("{name}.conf"));
        // These errors do not depend on the zones of the configuration.
        let line = fixture_text(&format!("{name}.txt"))
            .lines()
            .next()
            .map(str::to_owned)
            .expect("the fixture has a line");
        let place = line
            .split_once(':')
            .map(|(_, place)| place.to_owned())
            .expect("the line starts with the file name");
        let expected = format!("{PROGRAM_NAME}: {file}:{place}\n");
        let by_flag = run_with(&config, &[], &["check-config", flag, &file]);
        let by_variable = run_with(&config, &[(variable, &file)], &["check-config"]);
        for (status, _, errors) in [by_flag, by_variable] {
            assert_eq!(status, Some(2), "{flag}");
            assert!(errors.starts_with(&expected), "{errors} does not begin with {expected}");
        }
        let (status, _, errors) = run_with(&config, &[], &["check-config", flag, "none.conf"]);
        let missing = format!("{PROGRAM_NAME}: none.conf: No such file or directory (os error 2)\n");
        assert_eq!((status, errors), (Some(2), missing));
    }
}

#[test]
fn operator_files_of_the_previous_version_are_accepted() {
    let scratch = ScratchDirectory::new("frozen-right-files");
    let config = write_config(&scratch);
    let sites = scratch.write("sites.conf", "prefer tema {\n    tier kasoa\n}\n").display().to_string();
    let (neighbors, metrics) = (fixture_path("neighbors.conf"), fixture_path("metrics.conf"));
    let arguments = ["check-config", "--sites", &sites, "--neighbors", &neighbors, "--metrics", &metrics];
    let (status, printed, errors) = run_with(&config, &[], &arguments);
    assert_eq!((status, errors.as_str()), (Some(0), ""));
    assert!(printed.starts_with("relay n0 listens on 127.0.0.1:1, discovery at 127.0.0.1:1\n"), "{printed}");
}

#[test]
fn an_invalid_configuration_is_an_error_with_exit_status_2() {
    let scratch = ScratchDirectory::new("frozen-wrong-config");
    let config = scratch.write("config.json", "{\"name\": \"n0\"}");
    let (status, _, errors) = run_with(&config, &[], &["check-config"]);
    let expected = format!(
        "{PROGRAM_NAME}: {}: neither `listen` nor the environment variable EDGE_LISTEN is set\n",
        config.display()
    );
    assert_eq!((status, errors), (Some(2), expected));
}

#[test]
fn environment_variables_override_the_configuration() {
    let scratch = ScratchDirectory::new("frozen-variables");
    let config = write_config(&scratch);
    let variables = [
        ("EDGE_NAME", "n7"),
        ("EDGE_LISTEN", "127.0.0.1:7"),
        ("EDGE_DISCOVERY", "127.0.0.1:8"),
        ("EDGE_ADMIN_ADDR", "127.0.0.1:9"),
    ];
    let (status, printed, _) = run_with(&config, &variables, &["check-config"]);
    assert_eq!(status, Some(0));
    assert!(printed.starts_with("relay n7 listens on 127.0.0.1:7, discovery at 127.0.0.1:8\n"), "{printed}");
    assert!(printed.ends_with(" 127.0.0.1:9\n"), "{printed}");
}

/// Answers one admin command on the listener. The thread returns the line that was received.
fn answer_once(listener: TcpListener, answer: &'static str) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the connection is accepted");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("the command is read");
        stream.write_all(answer.as_bytes()).expect("the answer is sent");
        line
    })
}

#[test]
fn an_admin_command_is_sent_as_one_line_and_its_answer_is_the_exit_status() {
    for (answer, status) in [("YES\n", 0), ("{}\nEND\n", 0), ("NO such endpoint\n", 1)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let admin = listener.local_addr().expect("the listener has an address").to_string();
        let sent = answer_once(listener, answer);
        let outcome = run(&["call", &admin, "maint-on", "s-1"]);
        assert_eq!(outcome, (Some(status), answer.to_owned(), String::new()));
        assert_eq!(sent.join().expect("the admin thread does not panic"), "maint-on s-1\n");
    }
    let admin = unused_address().to_string();
    let (status, printed, errors) = run(&["call", &admin, "status"]);
    assert_eq!((status, printed.as_str()), (Some(2), ""));
    assert!(errors.starts_with(&format!("{PROGRAM_NAME}: {admin}: ")), "{errors}");
}

#[test]
fn metric_names_and_a_stored_snapshot_are_printed_as_by_the_previous_version() {
    let (status, printed, _) = run(&["metrics", "names"]);
    assert_eq!(status, Some(0));
    let without_help = |line: &str| line.rsplit_once('\t').map(|(columns, _)| format!("{columns}\n"));
    let columns: String =
        printed.lines().map(|line| without_help(line).expect("the line has a help text")).collect();
    assert_eq!(columns, fixture_text(super::metrics::METRIC_NAMES));
    let (status, printed, _) = run(&["metrics", "decode", &fixture_path("state-0000000000000007.snap")]);
    assert_eq!(status, Some(0));
    assert!(
        printed.starts_with("relay n0 at 1700000000.250, incarnation 3\nrequests 9007199254740993\n"),
        "{printed}"
    );
}
