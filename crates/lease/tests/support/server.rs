//! A lease server with one replica that applies each command at once.

use honeyknot_lease::{
    AcquireBackoff, Command, CommandOutcome, CommandResult, ExpiryTracker, LeaseClient, LeaseParameters,
    LeaseRequest, LeaseTable, Micros, Rejection,
};

pub struct Server {
    parameters: LeaseParameters,
    lease_table: LeaseTable,
    expiry_tracker: ExpiryTracker,
    acquire_backoff: AcquireBackoff,
    /// Number of requests received.
    pub requests: usize,
}

impl Server {
    pub fn new(parameters: LeaseParameters) -> Server {
        let lease_table = LeaseTable::with_tokens_from(0);
        Server {
            parameters,
            expiry_tracker: ExpiryTracker::new(parameters, 0, &lease_table),
            lease_table,
            acquire_backoff: AcquireBackoff::new(parameters),
            requests: 0,
        }
    }

    /// Returns the number of leases that are held.
    pub fn lease_count(&self) -> usize {
        self.lease_table.leases().count()
    }

    pub fn handle(&mut self, now: Micros, request: &LeaseRequest) -> Vec<CommandResult> {
        self.requests += 1;
        request.commands.iter().map(|command| self.apply(now, command)).collect()
    }

    pub fn apply(&mut self, now: Micros, command: &Command) -> CommandResult {
        let outcome = self.lease_table.apply(&self.parameters, command);
        self.expiry_tracker.commands_applied(now, now, &self.lease_table, std::slice::from_ref(command));
        let taken = outcome == CommandOutcome::Rejected(Rejection::SlotsTaken);
        let retry_after = if taken { self.acquire_backoff.retry_after(now, command.task()) } else { 0 };
        CommandResult { outcome, retry_after }
    }

    pub fn expire_leases(&mut self, now: Micros) {
        for command in self.expiry_tracker.expired(now) {
            self.apply(now, &command);
        }
    }

    /// Sends the client's request, if one is due, and delivers the response at once.
    pub fn exchange(&mut self, now: Micros, client: &mut LeaseClient) {
        if let Some(request) = client.next_request(now) {
            let results = self.handle(now, &request);
            client.on_response(now, request.id, &results);
        }
    }
}
