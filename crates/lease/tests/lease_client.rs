//! Lease clients against a server that answers at once, late or not at all.

mod support;

use honeyknot_lease::{
    Command, CommandResult, LeaseClient, LeaseParameters, MAX_UNANSWERED_REQUESTS, Micros, TaskOptions,
};

use support::Server;

const LEASE: Micros = 1_000_000;
const STEPS_PER_LEASE: u64 = 50;
const STEP: Micros = LEASE / STEPS_PER_LEASE;
const TASK: &str = "probes";
const ONE_SLOT: TaskOptions = TaskOptions { slots: 1, max_hold: None, max_idle: None };

fn client(name: &str, seed: u64) -> LeaseClient {
    LeaseClient::new(LeaseParameters::new(LEASE), name, 1, seed)
}

fn server() -> Server {
    Server::new(LeaseParameters::new(LEASE))
}

#[test]
fn a_holder_that_receives_no_responses_loses_its_task() {
    let mut server = server();
    let (mut holder, mut other) = (client("holder", 1), client("other", 2));
    let mut acquired_at = None;
    for step in 0..1_000 {
        let now = step * STEP;
        server.expire_leases(now);
        if step == 0 {
            holder.add_task(now, TASK, ONE_SLOT);
        }
        // The server receives all requests of the holder, but the holder receives only the first responses.
        if let Some(request) = holder.next_request(now) {
            let results = server.handle(now, &request);
            if now < 2 * LEASE {
                holder.on_response(now, request.id, &results);
            }
        }
        if now == 2 * LEASE {
            other.add_task(now, TASK, ONE_SLOT);
        }
        server.exchange(now, &mut other);
        if acquired_at.is_none() && other.held_token(now, TASK).is_some() {
            assert!(holder.held_token(now, TASK).is_none());
            acquired_at = Some(now);
        }
    }
    let latest = 2 * LEASE + (MAX_UNANSWERED_REQUESTS as Micros + 4) * LEASE;
    assert!(
        acquired_at.is_some_and(|at| at < latest),
        "acquired at {acquired_at:?} us, expected before {latest} us"
    );
}

struct DelayedResponse {
    arrives_at: Micros,
    id: u64,
    results: Vec<CommandResult>,
}

#[test]
fn a_grant_in_the_response_to_an_abandoned_request_is_used() {
    let mut server = server();
    let mut slow = client("slow", 1);
    slow.add_task(0, TASK, ONE_SLOT);
    let mut responses: Vec<DelayedResponse> = Vec::new();
    let mut steps_held = 0;
    for step in 0..500 {
        let now = step * STEP;
        server.expire_leases(now);
        responses.retain(|response| {
            let has_arrived = response.arrives_at <= now;
            if has_arrived {
                slow.on_response(now, response.id, &response.results);
            }
            !has_arrived
        });
        if let Some(request) = slow.next_request(now) {
            // The delay is longer than the timeout of a request and shorter than the lease.
            let arrives_at = now + LEASE * 2 / 5;
            let results = server.handle(now, &request);
            responses.push(DelayedResponse { arrives_at, id: request.id, results });
        }
        steps_held += u64::from(slow.held_token(now, TASK).is_some());
    }
    assert!(steps_held > 400, "held in {steps_held} of 500 steps");
}

#[derive(Debug)]
struct ContentionCost {
    requests_per_lease: usize,
    /// Number of steps without a holder after the crash of the first one.
    steps_without_holder: u64,
}

/// Returns the cost of a task that `client_count` clients want, over the twenty lease durations after its
/// holder crashed.
fn contention_cost(client_count: usize) -> ContentionCost {
    const CRASH_AT: Micros = 40 * LEASE;
    let mut server = server();
    let mut clients: Vec<LeaseClient> =
        (0..client_count).map(|number| client(&format!("n{number}"), number as u64)).collect();
    clients.iter_mut().for_each(|client| client.add_task(0, TASK, ONE_SLOT));
    let (mut crashed, mut steps_without_holder, mut requests_before) = (None, 0, 0);
    for step in 0..STEPS_PER_LEASE * 60 {
        let now = step * STEP;
        server.expire_leases(now);
        for (number, client) in clients.iter_mut().enumerate() {
            if crashed != Some(number) {
                server.exchange(now, client);
            }
        }
        let holder = clients.iter().position(|client| client.held_token(now, TASK).is_some());
        if now == CRASH_AT {
            requests_before = server.requests;
            crashed = holder;
        }
        steps_without_holder += u64::from(now > CRASH_AT && holder.is_none());
    }
    ContentionCost { requests_per_lease: (server.requests - requests_before) / 20, steps_without_holder }
}

#[test]
fn the_request_rate_of_a_contended_task_does_not_grow_with_the_number_of_clients() {
    let (few, many) = (contention_cost(10), contention_cost(300));
    println!("{few:?} with 10 clients, {many:?} with 300");
    assert!(many.requests_per_lease <= 24 && few.requests_per_lease <= 24, "{few:?} {many:?}");
    // The lease ends at its holder slightly before it ends at the server, and another client acquires it
    // within a sixteenth of a lease duration.
    assert!(many.steps_without_holder <= 10, "{many:?}");
}

#[test]
fn a_revoked_lease_is_free_after_it_has_expired_and_not_before() {
    let mut server = server();
    let mut holder = client("holder", 1);
    holder.add_task(0, TASK, ONE_SLOT);
    let mut free_at = 0;
    for step in 0..200 {
        let now = step * STEP;
        server.expire_leases(now);
        if now == 2 * LEASE {
            let token = holder.held_token(now, TASK).expect("it holds the task");
            server.apply(now, &Command::Revoke { task: TASK.into(), token });
        }
        let is_free = server.lease_count() == 0;
        assert!(
            now == 0 || !is_free || holder.held_token(now, TASK).is_none(),
            "free while it is held, at {now}"
        );
        if is_free && now > 0 && free_at == 0 {
            free_at = now;
        }
        if free_at == 0 {
            server.exchange(now, &mut holder);
        }
    }
    assert!((2 * LEASE + LEASE / 2..4 * LEASE).contains(&free_at), "free at {free_at}");
}

#[test]
fn a_client_that_shuts_down_releases_its_lease_after_the_action_in_progress() {
    let mut server = server();
    let mut client = client("old", 1);
    client.add_task(0, TASK, ONE_SLOT);
    let request = client.next_request(0).expect("a request for the task");
    let results = server.handle(0, &request);
    client.on_response(0, request.id, &results);
    let permit = client.permit(1_000, TASK, 10_000).expect("it holds the task");
    client.shut_down(2_000);
    assert!(!client.is_idle());
    let request = client.next_request(3_000).expect("a renewal during the action");
    assert!(matches!(request.commands[..], [Command::Renew { .. }]), "{request:?}");
    let results = server.handle(3_000, &request);
    client.on_response(3_000, request.id, &results);
    assert!(client.permit(4_000, TASK, 10_000).is_err());
    drop(permit);
    let later = 5_000 + LEASE / 64;
    let request = client.next_request(later).expect("a release after the action");
    assert!(matches!(request.commands[..], [Command::Release { .. }]), "{request:?}");
    let results = server.handle(later, &request);
    client.on_response(later, request.id, &results);
    assert!(client.is_idle());
    assert_eq!(server.lease_count(), 0);
}

#[test]
fn a_lease_is_released_to_another_client_after_max_hold_or_max_idle() {
    let max_hold = TaskOptions { max_hold: Some(4 * LEASE), ..ONE_SLOT };
    let max_idle = TaskOptions { max_idle: Some(4 * LEASE), ..ONE_SLOT };
    for options in [max_hold, max_idle] {
        let mut server = server();
        let mut clients = [client("a", 1), client("b", 2)];
        clients.iter_mut().for_each(|client| client.add_task(0, TASK, options));
        let mut steps_held = [0, 0];
        for step in 0..STEPS_PER_LEASE * 40 {
            let now = step * STEP;
            server.expire_leases(now);
            for (client, steps_held) in clients.iter_mut().zip(&mut steps_held) {
                server.exchange(now, client);
                *steps_held += u32::from(client.held_token(now, TASK).is_some());
            }
        }
        assert!(steps_held.iter().all(|steps| *steps > 400), "{options:?}: {steps_held:?}");
    }
}
