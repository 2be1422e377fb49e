//! Maintenance of endpoints while two processes of a relay run: once a command is answered `YES`, it is in effect
//! in both processes until the opposite command, whatever stage the hot restart is in.

#[path = "support/hot_restart.rs"]
mod hot_restart;
#[path = "support/process.rs"]
mod process;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use honeyknot_relay::relay::lifecycle::hot_restart::MaintenanceState;
use hot_restart::{RelaySetup, admin_command, send_signal, stat, wait_until};
use process::{Relay, unused_address};

/// Time that discovery needs for the full list, for which a successor prepares; less than the time for which a
/// successor waits for discovery.
const PREPARATION: Duration = Duration::from_millis(2_300);
/// Number of pairs of commands that are sent to both processes at the same time.
const CONCURRENT_PAIRS: usize = 30;

/// Starts a successor and returns it, with its admin address, while it prepares.
fn start_preparing(setup: &RelaySetup, log: &str) -> (Relay, SocketAddr) {
    let admin = unused_address();
    let child = setup.command(admin, log).spawn().expect("the relay starts");
    let relay = Relay { child, log: setup.folder.0.join(log) };
    wait_until("answer of the successor", || !admin_command(admin, "status").is_empty());
    assert_preparing(admin);
    (relay, admin)
}

fn assert_preparing(admin: SocketAddr) {
    let status = admin_command(admin, "status");
    assert!(status.starts_with("NO the previous process"), "the successor does not prepare: {status}");
}

fn wait_for_takeover(admin: SocketAddr) {
    wait_until("status YES", || admin_command(admin, "status").starts_with("YES"));
}

/// Sends a command and asserts that it succeeds.
fn command(admin: SocketAddr, line: &str) {
    assert_eq!(admin_command(admin, line), "YES\r\n", "{line}");
}

/// Asserts how many endpoints are in maintenance in each process.
fn assert_in_maintenance(processes: &[SocketAddr], expected: u64) {
    for (index, admin) in processes.iter().enumerate() {
        assert_eq!(stat(*admin, "ejected"), expected, "process {index}");
    }
}

/// Returns the ids of the endpoints in maintenance according to the maintenance file.
fn saved_ids(setup: &RelaySetup) -> Vec<String> {
    let bytes = fs::read(setup.maintenance_file()).expect("the file is readable");
    let state = MaintenanceState::from_file_bytes(&bytes).expect("the file is valid");
    state.ongoing.into_iter().map(|ongoing| ongoing.id).collect()
}

/// Guards against a maintenance command that a preparing successor answers with `YES` and drops at the takeover.
#[test]
fn a_command_at_a_preparing_successor_holds_in_both_processes_and_over_the_takeover() {
    let setup = RelaySetup::with_discovery_delay("preparing", PREPARATION);
    let (mut predecessor, old) = setup.start("old.log");
    command(old, "maint-on s-1");
    let (_successor, new) = start_preparing(&setup, "new.log");
    command(new, "maint-on s-3");
    assert_in_maintenance(&[old, new], 2);
    command(new, "maint-off s-1");
    assert_in_maintenance(&[old, new], 1);
    assert_preparing(new);
    wait_for_takeover(new);
    assert_in_maintenance(&[old, new], 1);
    send_signal(&predecessor, "-TERM");
    predecessor.child.wait().expect("the process ends");
    assert_in_maintenance(&[new], 1);
    assert_eq!(saved_ids(&setup), ["s-3"]);
    command(new, "maint-off s-3");
    assert_in_maintenance(&[new], 0);
}

/// Guards against a maintenance command at the predecessor that its successor does not know, because the
/// predecessor ends before it hands over.
#[test]
fn a_command_at_the_predecessor_holds_when_it_is_killed_while_its_successor_prepares() {
    let setup = RelaySetup::with_discovery_delay("killed-early", PREPARATION);
    let (mut predecessor, old) = setup.start("old.log");
    command(old, "maint-on s-1");
    let (_successor, new) = start_preparing(&setup, "new.log");
    command(old, "maint-on s-2");
    assert_in_maintenance(&[old, new], 2);
    command(old, "maint-off s-1");
    assert_in_maintenance(&[old, new], 1);
    assert_preparing(new);
    send_signal(&predecessor, "-KILL");
    predecessor.child.wait().expect("the process ends");
    wait_for_takeover(new);
    assert_in_maintenance(&[new], 1);
    assert_eq!(saved_ids(&setup), ["s-2"]);
}

/// Guards against a maintenance command at a preparing successor that is lost when the successor ends.
#[test]
fn a_command_at_a_preparing_successor_holds_when_the_successor_is_killed() {
    let setup = RelaySetup::with_discovery_delay("gives-up", PREPARATION);
    let (_predecessor, old) = setup.start("old.log");
    let (mut successor, new) = start_preparing(&setup, "new.log");
    command(new, "maint-on s-2");
    assert_preparing(new);
    send_signal(&successor, "-KILL");
    successor.child.wait().expect("the process ends");
    assert_in_maintenance(&[old], 1);
    let (_next, next) = setup.start("next.log");
    assert_in_maintenance(&[old, next], 1);
}

/// Sends opposite commands to both processes at the same time, and asserts after each pair that the processes
/// agree.
fn send_opposite_commands(old: SocketAddr, new: SocketAddr) {
    for pair in 0..CONCURRENT_PAIRS {
        std::thread::scope(|scope| {
            scope.spawn(|| command(old, "maint-on s-2"));
            scope.spawn(|| command(new, "maint-off s-2"));
        });
        let states = [old, new].map(|admin| stat(admin, "ejected"));
        assert_eq!(states[0], states[1], "the processes disagree after pair {pair}");
    }
}

/// Guards against processes that disagree after opposite commands were sent to both at the same time, from the
/// successor's preparation to some time after its takeover.
#[test]
fn concurrent_opposite_commands_around_a_takeover_end_with_the_same_state_in_both_processes() {
    let setup = RelaySetup::with_discovery_delay("opposite", PREPARATION);
    let (_predecessor, old) = setup.start("old.log");
    let (_successor, new) = start_preparing(&setup, "new.log");
    send_opposite_commands(old, new);
    wait_for_takeover(new);
}

/// Guards against changes that cross on the link between two processes which both serve.
#[test]
fn concurrent_opposite_commands_after_a_takeover_end_with_the_same_state_in_both_processes() {
    let setup = RelaySetup::new("crossing");
    let (_predecessor, old) = setup.start("old.log");
    let (_successor, new) = setup.start("new.log");
    send_opposite_commands(old, new);
}
