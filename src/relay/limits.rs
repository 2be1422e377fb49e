//! Timeouts, admission checks and readiness of the relay.

use honeyknot_balancer::{Idempotency, Micros, RequestId};

use super::connections::protocol::OpenRequest;
use super::{ConnectionIdGuard, NotReady, Relay, ReserveIdError};

/// Timeout for connecting to an endpoint if the settings contain none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;
/// Minimum time after which an idle health check connection to an endpoint is closed, in microseconds.
const MIN_IDLE_TIMEOUT: Micros = 1_000_000;
/// Time after the relay's start within which connections that were established earlier can be adopted, in
/// microseconds.
const ADOPTION_PERIOD: Micros = 40_000_000;
/// Time for which a connection waits for its endpoint to be listed if it asks for adoption at the end of
/// `ADOPTION_PERIOD` or later, in microseconds.
const LATE_ADOPTION_TIMEOUT: Micros = 2_000_000;

impl Relay {
    /// Returns the timeout for connecting to an endpoint, in microseconds.
    pub fn connect_timeout(&self) -> Micros {
        match self.settings.permissions.connect_timeout {
            0 => DEFAULT_CONNECT_TIMEOUT,
            timeout => timeout,
        }
    }

    /// Returns the time in microseconds after which an idle health check connection to an endpoint is closed.
    pub fn idle_timeout(&self) -> Micros {
        self.settings.permissions.idle_timeout.max(MIN_IDLE_TIMEOUT)
    }

    /// Returns the time in microseconds after its deadline at which a request without a response is overdue.
    pub fn answer_grace(&self) -> Micros {
        self.settings.rules.answer_grace
    }

    /// Returns the maximum time in microseconds that a rejected client may be asked to wait before it
    /// retries; 0 if the settings do not permit a time.
    pub fn max_retry_after(&self) -> Micros {
        if self.settings.permissions.retry_after { self.settings.permissions.max_retry_after } else { 0 }
    }

    /// Returns the longest deadline of all classes, in microseconds.
    pub fn max_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Reserves the connection id of a client's request.
    ///
    /// Endpoints reject a second request with the id of an open one. Checking it here keeps a client that
    /// reuses an id from making endpoints look faulty. A request that must not run twice is also not sent with
    /// the id of one that has ended and may have run.
    ///
    /// # Errors
    /// If the id may not be used, or the class is unknown.
    pub fn reserve_connection_id(&self, open: &OpenRequest) -> Result<ConnectionIdGuard, ReserveIdError> {
        self.connection_ids.reserve(open.connection_id(), self.is_repeatable(open)?)
    }

    /// Reserves the connection id of a connection that another process of this relay has transferred.
    ///
    /// # Errors
    /// If the id is open already, or the class is unknown.
    pub fn reserve_transferred_id(&self, open: &OpenRequest) -> Result<ConnectionIdGuard, ReserveIdError> {
        self.connection_ids.reserve_established(open.connection_id(), self.is_repeatable(open)?)
    }

    /// Returns whether a request may run more than once.
    fn is_repeatable(&self, open: &OpenRequest) -> Result<bool, ReserveIdError> {
        let class = open.class().and_then(|name| self.names.class(name));
        let class = class.and_then(|class| self.settings.classes.get(class.0));
        let idempotency = class.ok_or(ReserveIdError::UnknownClass)?.idempotency;
        Ok(idempotency == Idempotency::Idempotent)
    }

    /// Returns whether another request can be admitted.
    pub fn can_admit(&self) -> bool {
        // After a hot restart this process still serves the connections that it accepted: no other process
        // can.
        (!self.shutting_down || self.listener_ownership.handed_over())
            && (self.connections.count() as u64) < self.settings.permissions.max_open_requests
    }

    /// Returns the time in Unix microseconds until which a connection to be adopted waits for its endpoint to
    /// be listed.
    ///
    /// The wait is long after the relay's start, when the endpoint list may be incomplete. It is short later,
    /// so that clients cannot occupy connections by naming an unknown endpoint.
    pub fn adoption_deadline(&self) -> Micros {
        (self.started_at + ADOPTION_PERIOD).max(self.timers.clock.now() + LATE_ADOPTION_TIMEOUT)
    }

    /// Checks that this process accepts clients and can route their requests.
    ///
    /// # Errors
    /// The reason, if it does not.
    pub fn check_ready(&self) -> Result<(), NotReady> {
        if self.shutting_down {
            return Err(NotReady::ShuttingDown);
        }
        if self.maintenance.endpoint_count() == 0 {
            return Err(NotReady::NoEndpointList);
        }
        if self.listener_ownership.accept_task.is_none() && !self.listener_ownership.handed_over() {
            return Err(NotReady::TakeoverPending);
        }
        Ok(())
    }

    /// Returns whether the relay is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Returns the established connections, and the number of pending ones.
    pub(in crate::relay) fn open_connections(&self) -> (Vec<RequestId>, usize) {
        let established = self.connections.established();
        let pending = self.connections.count() - established.len();
        (established, pending)
    }
}
