//! Sub-commands, flags and exit statuses of the relay's program.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::thread::JoinHandle;

use super::process::{ScratchDirectory, config, relay_command as program, unused_address};
use super::{FIXTURES, address, fixture_text};

/// The program's name in what it prints.
const PROGRAM_NAME: &str = "honeyknot";

/// The exit status, standard output and standard error.
fn result(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Runs the program with a configuration and variables of the environment.
fn run_with(config: &Path, variables: &[(&str, &str)], words: &[&str]) -> (Option<i32>, String, String) {
    let mut command = program(config, words);
    for name in ["HONEYKNOT_METRICS", "HONEYKNOT_LOG_FORM", "EDGE_ADMIN_ADDR"] {
        command.env_remove(name);
    }
    result(&command.envs(variables.iter().copied()).output().expect("a run"))
}

fn run(words: &[&str]) -> (Option<i32>, String, String) {
    run_with(Path::new(""), &[], words)
}

/// A sound configuration of the platform, in a folder of its own.
fn sound_configuration(scratch: &ScratchDirectory) -> PathBuf {
    scratch.write("config.json", &config(address("127.0.0.1:1")))
}

/// The path of a fixture.
fn path(name: &str) -> String {
    Path::new(FIXTURES).join(name).display().to_string()
}

#[test]
fn the_version_is_printed_after_the_name_of_the_program() {
    let printed = format!("{PROGRAM_NAME} {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(run(&["version"]), (Some(0), printed.clone(), String::new()));
    assert_eq!(run(&["--version"]), (Some(0), printed, String::new()));
}

#[test]
fn every_sub_command_of_the_previous_version_is_there() {
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
    for words in sub_commands {
        let (status, _, errors) = run(&[words, &["--help"]].concat());
        assert_eq!((status, errors.as_str()), (Some(0), ""), "{words:?}");
    }
    let (status, _, errors) = run(&["no-such-command"]);
    assert_eq!(status, Some(2));
    assert!(errors.starts_with("error: unrecognized subcommand 'no-such-command'\n"), "{errors}");
}

#[test]
fn every_flag_of_the_previous_version_is_taken_and_a_missing_configuration_is_named() {
    let files = ["--sites", "s", "--metrics", "m", "--neighbors", "n"];
    let flags_of_serve = [&["serve", "--log", "warn", "--log-form", "json"][..], &files].concat();
    let flags_of_check = [&["check-config"][..], &files].concat();
    let missing = format!("{PROGRAM_NAME}: none.json: No such file or directory (os error 2)\n");
    for words in [flags_of_serve, flags_of_check] {
        let (status, _, errors) = run_with(Path::new("none.json"), &[], &words);
        assert_eq!((status, errors), (Some(2), missing.clone()), "{words:?}");
    }
    let (status, _, errors) = run(&["check-config"]);
    assert_eq!(
        (status, errors),
        (Some(2), format!("{PROGRAM_NAME}: EDGE_CONFIG is not set; it must name the configuration file\n"))
    );
}

#[test]
fn the_flags_of_a_lease_server_and_its_clients_are_taken_and_a_missing_file_is_named() {
    let lease_server = ["keeper", "--leases", "none.conf", "--number", "1", "--folder", "none"];
    let more = ["--found", "1", "--log", "warn", "--log-form", "text"];
    let list = ["lease", "--leases", "none.conf", "list"];
    let missing = format!("{PROGRAM_NAME}: none.conf: No such file or directory (os error 2)\n");
    for words in [[&lease_server[..], &more].concat(), list.to_vec()] {
        let (status, _, errors) = run(&words);
        assert_eq!((status, errors), (Some(2), missing.clone()), "{words:?}");
    }
}

#[test]
fn a_wrong_flag_is_named_with_status_2() {
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

/// The flag, the variable that stands for it, and its wrong file.
const OPERATOR_FILES: [(&str, &str, &str); 3] = [
    ("--sites", "HONEYKNOT_SITES", "sites-wrong"),
    ("--neighbors", "HONEYKNOT_NEIGHBORS", "neighbors-wrong"),
    ("--metrics", "HONEYKNOT_METRICS", "metrics-wrong"),
];

#[test]
fn a_wrong_operator_file_is_told_with_status_2_whether_a_flag_or_a_variable_names_it() {
    let scratch = ScratchDirectory::new("frozen-wrong-file");
    let config = sound_configuration(&scratch);
    for (flag, variable, name) in OPERATOR_FILES {
        let file = path(&format!("{name}.conf"));
        // These faults do not depend on the sites of the configuration.
        let line = fixture_text(&format!("{name}.txt")).lines().next().map(str::to_owned).expect("a line");
        let place = line.split_once(':').map(|(_, place)| place.to_owned()).expect("a place");
        let wanted = format!("{PROGRAM_NAME}: {file}:{place}\n");
        let by_flag = run_with(&config, &[], &["check-config", flag, &file]);
        let by_variable = run_with(&config, &[(variable, &file)], &["check-config"]);
        for (status, _, errors) in [by_flag, by_variable] {
            assert_eq!(status, Some(2), "{flag}");
            assert!(errors.starts_with(&wanted), "{errors} does not begin with {wanted}");
        }
        let (status, _, errors) = run_with(&config, &[], &["check-config", flag, "none.conf"]);
        let missing = format!("{PROGRAM_NAME}: none.conf: No such file or directory (os error 2)\n");
        assert_eq!((status, errors), (Some(2), missing));
    }
}

#[test]
fn operator_files_of_the_previous_version_are_accepted() {
    let scratch = ScratchDirectory::new("frozen-right-files");
    let config = sound_configuration(&scratch);
    let sites = scratch.write("sites.conf", "prefer tema {\n    tier kasoa\n}\n").display().to_string();
    let (neighbors, metrics) = (path("neighbors.conf"), path("metrics.conf"));
    let words = ["check-config", "--sites", &sites, "--neighbors", &neighbors, "--metrics", &metrics];
    let (status, printed, errors) = run_with(&config, &[], &words);
    assert_eq!((status, errors.as_str()), (Some(0), ""));
    assert!(printed.starts_with("relay n0 listens on 127.0.0.1:1, discovery at 127.0.0.1:1\n"), "{printed}");
}

#[test]
fn a_configuration_that_is_wrong_is_told_with_status_2() {
    let scratch = ScratchDirectory::new("frozen-wrong-config");
    let config = scratch.write("config.json", "{\"name\": \"n0\"}");
    let (status, _, errors) = run_with(&config, &[], &["check-config"]);
    let wanted = format!(
        "{PROGRAM_NAME}: {}: neither `listen` nor the environment variable EDGE_LISTEN is set\n",
        config.display()
    );
    assert_eq!((status, errors), (Some(2), wanted));
}

#[test]
fn variables_of_the_environment_go_before_the_configuration() {
    let scratch = ScratchDirectory::new("frozen-variables");
    let config = sound_configuration(&scratch);
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

/// Answers one admin command; the command's line comes back.
fn answer_once(listener: TcpListener, answer: &'static str) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        stream.write_all(answer.as_bytes()).expect("a write");
        line
    })
}

#[test]
fn an_admin_command_is_sent_as_one_line_and_its_answer_is_the_exit_status() {
    for (answer, status) in [("YES\n", 0), ("{}\nEND\n", 0), ("NO such endpoint\n", 1)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address").to_string();
        let sent = answer_once(listener, answer);
        let done = run(&["call", &at, "maint-on", "s-1"]);
        assert_eq!(done, (Some(status), answer.to_owned(), String::new()));
        assert_eq!(sent.join().expect("a line"), "maint-on s-1\n");
    }
    let at = unused_address().to_string();
    let (status, printed, errors) = run(&["call", &at, "status"]);
    assert_eq!((status, printed.as_str()), (Some(2), ""));
    assert!(errors.starts_with(&format!("{PROGRAM_NAME}: {at}: ")), "{errors}");
}

#[test]
fn the_names_of_metrics_and_a_stored_snapshot_are_printed_as_before() {
    let (status, printed, _) = run(&["metrics", "names"]);
    assert_eq!(status, Some(0));
    let without_help = |line: &str| line.rsplit_once('\t').map(|(columns, _)| format!("{columns}\n"));
    let columns: String = printed.lines().map(|line| without_help(line).expect("a help text")).collect();
    assert_eq!(columns, fixture_text(super::metrics::METRIC_NAMES));
    let (status, printed, _) = run(&["metrics", "decode", &path("state-0000000000000007.snap")]);
    assert_eq!(status, Some(0));
    assert!(
        printed.starts_with("relay n0 at 1700000000.250, incarnation 3\nrequests 9007199254740993\n"),
        "{printed}"
    );
}
