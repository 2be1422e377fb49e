//! Timeouts, admission and readiness, as the relay's tasks ask for them.

use honeyknot_balancer::{Micros, RequestId};

use super::connections::protocol::OpenRequest;
use super::{ConnectionIdGuard, NotReady, Relay};

/// Time to connect to an endpoint where the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;
/// The shortest time after which an unused connection is closed.
const MIN_IDLE_TIMEOUT: Micros = 1_000_000;
/// Connections that were established before the relay started can be adopted for this long after its start.
const ADOPTION_PERIOD: Micros = 40_000_000;
/// A connection that asks to be adopted later than that waits at most this long for its endpoint to be listed.
const LATE_ADOPTION_TIMEOUT: Micros = 2_000_000;

impl Relay {
    /// Returns how long connecting to an endpoint may take.
    pub fn connect_timeout(&self) -> Micros {
        match self.settings.permissions.connect_timeout {
            0 => DEFAULT_CONNECT_TIMEOUT,
            timeout => timeout,
        }
    }

    /// Returns how long a connection may be unused before it is closed.
    pub fn idle_timeout(&self) -> Micros {
        self.settings.permissions.idle_timeout.max(MIN_IDLE_TIMEOUT)
    }

    /// Returns how long after its deadline a request is overdue.
    pub fn answer_grace(&self) -> Micros {
        self.settings.rules.answer_grace
    }

    /// Returns the longest time that a rejected client may be asked to stay away.
    pub fn max_retry_after(&self) -> Micros {
        if self.settings.permissions.retry_after { self.settings.permissions.max_retry_after } else { 0 }
    }

    /// Returns the longest deadline of any class.
    pub fn max_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Reserves the id of a client's connection; none if it is open already, or if the class does not exist.
    ///
    /// Guards against a client that uses the id of another's open request: endpoints reject the second one, which
    /// must not count as their fault.
    pub fn reserve_connection_id(&self, open: &OpenRequest) -> Option<ConnectionIdGuard> {
        self.names.class(open.class()?)?;
        self.open_connection_ids.reserve(open.connection_id())
    }

    /// Returns whether another request may be admitted.
    pub fn can_admit(&self) -> bool {
        // After a hot restart this process still serves what it accepted before: no other process will.
        (!self.shutting_down || self.listener_ownership.handed_over())
            && (self.connections.count() as u64) < self.settings.permissions.max_open_requests
    }

    /// Returns until when a connection established before the relay started may wait for its endpoint to be listed.
    ///
    /// The time is long at the start, when the endpoint list may be incomplete, and short later. Guards against
    /// clients that name an unknown endpoint to hold a connection.
    pub fn adoption_deadline(&self) -> Micros {
        (self.started_at + ADOPTION_PERIOD).max(self.timers.clock.now() + LATE_ADOPTION_TIMEOUT)
    }

    /// Checks that clients are accepted here and can be routed.
    ///
    /// # Errors
    /// If they cannot: the reason.
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

    /// Returns the established connections, and how many are pending.
    pub(in crate::relay) fn open_connections(&self) -> (Vec<RequestId>, usize) {
        let established = self.connections.established();
        let pending = self.connections.count() - established.len();
        (established, pending)
    }
}
