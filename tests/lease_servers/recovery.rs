//! Leases and databases after crashes and lost disks.

use std::time::{Duration, Instant};

use honeyknot_lease::{Command, CommandOutcome, FencingToken, Rejection};
use honeyknot_lease_consensus::Response;

use crate::cluster::{ANSWER_TIMEOUT, Cluster};

const TASK: &str = "probes";

fn held(token: u64) -> CommandOutcome {
    CommandOutcome::Held(FencingToken(token))
}

const TAKEN: CommandOutcome = CommandOutcome::Rejected(Rejection::SlotsTaken);

#[test]
fn leases_and_tokens_survive_a_kill_of_all_servers_at_once() {
    let mut cluster = Cluster::bootstrapped("killed", 500);
    assert_eq!(cluster.acquire(TASK, "a"), held(501));
    assert_eq!(cluster.acquire(TASK, "b"), TAKEN);
    cluster.kill_all();
    // Two servers are a majority.
    cluster.start(1, None);
    cluster.start(3, None);
    assert_eq!(cluster.acquire(TASK, "b"), TAKEN);
    let Response::Leases(leases) = cluster.request(Vec::new()) else {
        panic!("an empty request is not answered with all leases")
    };
    assert_eq!((leases.len(), &leases[0].holder[..], leases[0].token), (1, "a", FencingToken(501)));
    // A revoked lease is free once it has expired, and the next token is greater.
    let revoke = Command::Revoke { task: TASK.into(), token: FencingToken(501) };
    assert!(matches!(cluster.request(vec![revoke]), Response::Results(_)));
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let token = loop {
        match cluster.acquire(TASK, "b") {
            CommandOutcome::Held(token) => break token,
            other => assert!(Instant::now() < deadline, "{other:?}"),
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(token > FencingToken(501), "{token:?}");
}

#[test]
fn a_database_is_created_once_and_belongs_to_one_server() {
    let mut cluster = Cluster::new("folder");
    let error = cluster.start_error(1, None);
    assert!(error.contains("k1/keeper.redb does not exist") && error.contains("--found"), "{error}");
    cluster.start_all(Some(0));
    assert_eq!(cluster.acquire(TASK, "a"), held(1));
    let error = cluster.start_error(1, None);
    assert!(error.contains("in use by another process"), "{error}");
    let error = cluster.start_error(1, Some(0));
    assert!(error.contains("k1/keeper.redb already exists"), "{error}");
    cluster.kill_all();
    std::fs::rename(cluster.server_folder(2), cluster.folder.join("k3-old")).expect("the folder is renamed");
    std::fs::rename(cluster.server_folder(1), cluster.server_folder(2)).expect("the folder is renamed");
    let error = cluster.start_error(2, None);
    assert!(
        error.contains(
            "belongs to lease server 1 of 3 of fleet `test`, not to lease server 2 of 3 of fleet `test`"
        ),
        "{error}"
    );
    let error = cluster.start_error(7, None);
    assert!(error.contains("the configuration has no lease server 7; its 3 lease servers are"), "{error}");
}

#[test]
fn a_server_with_a_replaced_database_does_not_count_for_a_majority() {
    let mut cluster = Cluster::bootstrapped("lost", 0);
    assert_eq!(cluster.acquire(TASK, "a"), held(1));
    std::thread::sleep(Duration::from_millis(500));
    // Server 1 is down and server 3 has a new database: servers 2 and 3 together may lack committed entries.
    cluster.kill_all();
    cluster.remove_database(3);
    cluster.start(2, None);
    cluster.start(3, Some(0));
    let response = cluster.try_request(Vec::new());
    assert!(response.is_err(), "{response:?}");
    // Servers 1 and 2 together have all of them.
    cluster.start(1, None);
    assert_eq!(cluster.acquire(TASK, "b"), TAKEN);
}

#[test]
fn with_two_of_three_databases_lost_nothing_is_granted_until_all_are_created_anew() {
    let mut cluster = Cluster::bootstrapped("two-lost", 0);
    assert_eq!(cluster.acquire(TASK, "a"), held(1));
    cluster.kill_all();
    cluster.remove_database(2);
    cluster.remove_database(3);
    cluster.start(1, None);
    let response = cluster.try_request(Vec::new());
    assert!(response.is_err(), "{response:?}");
    cluster.kill(1);
    cluster.remove_database(1);
    cluster.start_all(Some(1_000));
    assert_eq!(cluster.acquire(TASK, "b"), held(1_001));
}
