//! A lease server whose disk is full.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use honeyknot_lease::{Command as LeaseCommand, CommandOutcome};
use honeyknot_lease_consensus::Response;

use crate::cluster::{Cluster, ERROR_STATUS, acquire_command, file_length};

const SERVER: usize = 3;
/// Unit of `ulimit -f`, in bytes.
const BLOCK: u64 = 512;
const COMMANDS_PER_REQUEST: usize = 200;
const FILL_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts the server with a limit on the size of its files. A write beyond the limit fails as on a full disk.
fn start_with_limit(cluster: &Cluster, bootstrap: Option<u64>, max_blocks: u64) -> Child {
    let server = cluster.command(SERVER, bootstrap);
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("trap '' XFSZ; ulimit -f {max_blocks}; exec \"$0\" \"$@\""));
    command.arg(server.get_program()).args(server.get_args());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command.spawn().expect("the server starts")
}

/// Waits for a failed server and returns the last line of its error output.
fn last_error(server: Child) -> String {
    let output = server.wait_with_output().expect("the server has ended");
    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert_eq!(output.status.code(), Some(ERROR_STATUS), "{text}");
    text.lines().last().unwrap_or_default().to_owned()
}

/// Acquires new tasks, which the lease table never removes, until the server fails.
fn fill_until_exit(cluster: &mut Cluster) {
    let deadline = Instant::now() + FILL_TIMEOUT;
    for round in 0.. {
        let acquire = |number| {
            let task = format!("task-{round}-{number}-{}", "x".repeat(90));
            acquire_command(&task, "a")
        };
        let commands: Vec<LeaseCommand> = (0..COMMANDS_PER_REQUEST).map(acquire).collect();
        let Response::Results(results) = cluster.request(commands) else {
            panic!("the acquires are not answered with results")
        };
        assert_eq!(results.len(), COMMANDS_PER_REQUEST);
        if cluster.has_exited(SERVER) {
            return;
        }
        assert!(Instant::now() < deadline, "the server still runs after {round} rounds");
    }
}

#[test]
fn a_server_with_a_full_disk_exits_with_an_error_and_the_others_go_on() {
    let mut cluster = Cluster::new("full");
    // A failed creation of the database does not block the next one.
    let error = last_error(start_with_limit(&cluster, Some(0), 1));
    assert!(error.contains("k3/keeper.founding: ") && error.contains("File too large"), "{error}");
    cluster.start_all(Some(0));
    assert!(matches!(cluster.acquire("probes", "a"), CommandOutcome::Held(_)));
    cluster.kill(SERVER);
    let length = file_length(&cluster.server_folder(SERVER).join("keeper.redb"));
    let server = start_with_limit(&cluster, None, length / BLOCK + 64);
    cluster.set_running(SERVER, server);
    fill_until_exit(&mut cluster);
    let error = last_error(cluster.take_running(SERVER));
    assert!(error.contains("k3/keeper.redb: ") && error.contains("File too large"), "{error}");
    // Without the limit the server starts again and is part of a majority.
    cluster.start(SERVER, None);
    cluster.kill(1);
    assert!(matches!(cluster.acquire("after", "b"), CommandOutcome::Held(_)));
}
