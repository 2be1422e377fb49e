//! The claims of relays against a book that answers at once, or not.

use honeyknot_lease::{
    AcquireBackoff, Answer, Command, CommandResult, ExpiryTracker, LeaseClient, LeaseParameters,
    LeaseRequest, LeaseTable, MAX_UNANSWERED_REQUESTS, Micros, Rejection, TaskOptions,
};

const LEASE: Micros = 1_000_000;
const ONE: TaskOptions = TaskOptions { slots: 1, max_hold: None, max_idle: None };

struct Replica {
    parameters: LeaseParameters,
    lease_table: LeaseTable,
    expiry_tracker: ExpiryTracker,
    acquire_backoff: AcquireBackoff,
    commands: usize,
    asks: usize,
}

impl Replica {
    fn new(parameters: LeaseParameters) -> Replica {
        let lease_table = LeaseTable::with_tokens_from(0);
        let expiry_tracker = ExpiryTracker::new(parameters, 0, &lease_table);
        Replica {
            parameters,
            lease_table,
            expiry_tracker,
            acquire_backoff: AcquireBackoff::new(parameters),
            commands: 0,
            asks: 0,
        }
    }

    fn hears(&mut self, now: Micros, request: &LeaseRequest) -> Vec<CommandResult> {
        self.asks += 1;
        request.commands.iter().map(|command| self.applies(now, command)).collect()
    }

    fn applies(&mut self, now: Micros, command: &Command) -> CommandResult {
        self.commands += 1;
        let answer = self.lease_table.apply(&self.parameters, command);
        self.expiry_tracker.commands_applied(now, now, &self.lease_table, std::slice::from_ref(command));
        let taken = answer == Answer::Rejected(Rejection::SlotsTaken);
        CommandResult {
            answer,
            retry_after: if taken { self.acquire_backoff.retry_after(now, command.task()) } else { 0 },
        }
    }

    fn expires(&mut self, now: Micros) {
        for command in self.expiry_tracker.expired(now) {
            self.applies(now, &command);
        }
    }
}

#[test]
fn a_holder_that_hears_nothing_does_not_keep_its_task() {
    let parameters = LeaseParameters::new(LEASE);
    let mut keeper = Replica::new(parameters);
    let (mut deaf, mut other) =
        (LeaseClient::new(parameters, "deaf", 1, 1), LeaseClient::new(parameters, "other", 1, 2));
    let mut taken = None;
    for step in 0..1_000 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        if step == 0 {
            deaf.add_task(now, "probes", ONE);
        }
        // The keeper hears it; it hears nothing after its first answers.
        if let Some(request) = deaf.next_request(now) {
            let said = keeper.hears(now, &request);
            if now < 2 * LEASE {
                deaf.on_response(now, request.id, &said);
            }
        }
        if now == 2 * LEASE {
            other.add_task(now, "probes", ONE);
        }
        if let Some(request) = other.next_request(now) {
            let said = keeper.hears(now, &request);
            other.on_response(now, request.id, &said);
        }
        if taken.is_none() && other.held_token(now, "probes").is_some() {
            assert!(deaf.held_token(now, "probes").is_none());
            taken = Some(now);
        }
    }
    let most = 2 * LEASE + (MAX_UNANSWERED_REQUESTS as Micros + 4) * LEASE;
    assert!(taken.is_some_and(|at| at < most), "taken at {taken:?}, at the latest {most}");
}

#[test]
fn an_answer_that_comes_after_it_was_given_up_still_counts() {
    let parameters = LeaseParameters::new(LEASE);
    let mut keeper = Replica::new(parameters);
    let mut slow = LeaseClient::new(parameters, "slow", 1, 1);
    slow.add_task(0, "probes", ONE);
    let mut late: Vec<(Micros, u64, Vec<CommandResult>)> = Vec::new();
    let mut held = 0;
    for step in 0..500 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        late.retain(|(at, id, said)| {
            let due = *at <= now;
            if due {
                slow.on_response(now, *id, said);
            }
            !due
        });
        if let Some(request) = slow.next_request(now) {
            // Longer than it waits for an answer, and shorter than the lease.
            late.push((now + LEASE * 2 / 5, request.id, keeper.hears(now, &request)));
        }
        held += u64::from(slow.held_token(now, "probes").is_some());
    }
    assert!(held > 400, "held in {held} of 500 steps");
}

/// What one task costs the keeper by the number of relays that want it: asks in each lease, and steps without a holder after it
/// has died.
fn stampede(relays: usize) -> (usize, u64) {
    let parameters = LeaseParameters::new(LEASE);
    let mut keeper = Replica::new(parameters);
    let mut client: Vec<LeaseClient> =
        (0..relays).map(|n| LeaseClient::new(parameters, &format!("n{n}"), 1, n as u64)).collect();
    client.iter_mut().for_each(|client| client.add_task(0, "probes", ONE));
    let (mut dead, mut without, mut before) = (None, 0, 0);
    for step in 0..50 * 60 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        for (_, client) in client.iter_mut().enumerate().filter(|(n, _)| dead != Some(*n)) {
            let Some(request) = client.next_request(now) else { continue };
            let said = keeper.hears(now, &request);
            client.on_response(now, request.id, &said);
        }
        let holder = client.iter().position(|client| client.held_token(now, "probes").is_some());
        if now == 40 * LEASE {
            before = keeper.asks;
            dead = holder;
        }
        without += u64::from(now > 40 * LEASE && holder.is_none());
    }
    ((keeper.asks - before) / 20, without)
}

#[test]
fn a_task_costs_the_keepers_the_same_whether_ten_relays_want_it_or_hundreds() {
    let (few, many) = (stampede(10), stampede(300));
    println!("asks a lease, steps of a fiftieth without a holder: {few:?} with 10 relays, {many:?} with 300");
    assert!(many.0 <= 24 && few.0 <= 24, "{few:?} {many:?}");
    // The lease has run out at its holder a little before it does at the keeper, and somebody comes within a sixteenth.
    assert!(many.1 <= 10, "{many:?}");
}

#[test]
fn what_staff_take_away_is_free_once_it_has_run_out_and_not_before() {
    let parameters = LeaseParameters::new(LEASE);
    let mut keeper = Replica::new(parameters);
    let mut holder = LeaseClient::new(parameters, "holder", 1, 1);
    holder.add_task(0, "probes", ONE);
    let mut until = 0;
    for step in 0..200 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        if now == 2 * LEASE {
            let token = holder.held_token(now, "probes").expect("it holds it");
            keeper.applies(now, &Command::Revoke { task: "probes".into(), token });
        }
        let free = keeper.lease_table.leases().count() == 0;
        assert!(
            now == 0 || !free || holder.held_token(now, "probes").is_none(),
            "free while it is held, at {now}"
        );
        if free && now > 0 && until == 0 {
            until = now;
        }
        if until == 0
            && let Some(request) = holder.next_request(now)
        {
            let said = keeper.hears(now, &request);
            holder.on_response(now, request.id, &said);
        }
    }
    assert!((2 * LEASE + LEASE / 2..4 * LEASE).contains(&until), "free at {until}");
}

#[test]
fn who_leaves_lets_go_and_the_next_need_not_wait() {
    let parameters = LeaseParameters::new(LEASE);
    let mut keeper = Replica::new(parameters);
    let mut old = LeaseClient::new(parameters, "old", 1, 1);
    old.add_task(0, "probes", ONE);
    let request = old.next_request(0).expect("it wants a task");
    let said = keeper.hears(0, &request);
    old.on_response(0, request.id, &said);
    let permit = old.permit(1_000, "probes", 10_000).expect("it holds it");
    old.shut_down(2_000);
    assert!(!old.is_idle());
    // The act that is under way ends first.
    let request = old.next_request(3_000).expect("its lease goes on while it acts");
    assert!(matches!(request.commands[..], [Command::Renew { .. }]), "{request:?}");
    let said = keeper.hears(3_000, &request);
    old.on_response(3_000, request.id, &said);
    assert!(old.permit(4_000, "probes", 10_000).is_err());
    drop(permit);
    let later = 5_000 + LEASE / 64;
    let request = old.next_request(later).expect("it lets go");
    assert!(matches!(request.commands[..], [Command::Release { .. }]), "{request:?}");
    let said = keeper.hears(later, &request);
    old.on_response(later, request.id, &said);
    assert!(old.is_idle());
    assert_eq!(keeper.lease_table.leases().count(), 0);
}

#[test]
fn a_holder_without_headway_and_one_whose_turn_is_over_let_go() {
    let parameters = LeaseParameters::new(LEASE);
    for options in
        [TaskOptions { max_hold: Some(4 * LEASE), ..ONE }, TaskOptions { max_idle: Some(4 * LEASE), ..ONE }]
    {
        let mut keeper = Replica::new(parameters);
        let mut client = [LeaseClient::new(parameters, "a", 1, 1), LeaseClient::new(parameters, "b", 1, 2)];
        client.iter_mut().for_each(|client| client.add_task(0, "probes", options));
        let mut held = [0, 0];
        for step in 0..50 * 40 {
            let now = step * LEASE / 50;
            keeper.expires(now);
            for (client, held) in client.iter_mut().zip(&mut held) {
                if let Some(request) = client.next_request(now) {
                    let said = keeper.hears(now, &request);
                    client.on_response(now, request.id, &said);
                }
                *held += u32::from(client.held_token(now, "probes").is_some());
            }
        }
        assert!(held.iter().all(|held| *held > 400), "{options:?}: {held:?}");
    }
}
