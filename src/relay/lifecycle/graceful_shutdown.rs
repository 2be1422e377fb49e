//! Graceful shutdown: pending requests are answered, and established connections migrate at an even rate or
//! are transferred to the successor.

use std::collections::BTreeSet;
use std::future::Future;

use honeyknot_balancer::{Micros, RequestId};
use honeyknot_metrics::MetricFamily;
use tokio::signal::unix::SignalKind;
use tracing::info;

use super::hot_restart;
use super::signals::{self, SignalError};
use crate::relay::command::LINE_END_TIMEOUT;
use crate::relay::{ConnectionCommand, SharedRelay};

/// Time after the start of the shutdown for which the front proxy still sends new clients here, in
/// microseconds. A client that migrated earlier could reconnect to this process.
const FRONT_PROXY_DELAY: Micros = 400_000;
/// The longest request deadline that the shutdown waits for, in microseconds.
const MAX_DEADLINE_WAIT: Micros = 3_000_000;
/// Time after the longest request deadline at which the process is killed, in microseconds.
const KILL_GRACE: Micros = 700_000;
/// Time before the kill by which every connection has been released and from which pending requests fail, in
/// microseconds.
const RELEASED_BEFORE_KILL: Micros = 670_000;
/// Time before the kill at which migrations no longer wait for the end of a line, in microseconds.
const MIGRATED_BEFORE_KILL: Micros = 630_000;
/// Time before the kill at which the process exits, in microseconds.
const EXIT_BEFORE_KILL: Micros = 350_000;
/// Time for the last lines sent to arrive, in microseconds.
const LINGER: Micros = 250_000;
/// Interval at which connections are migrated, in microseconds.
const MIGRATION_INTERVAL: Micros = 20_000;

/// Returns a future that resolves when the process receives SIGTERM or SIGINT.
///
/// # Errors
/// If a signal handler cannot be installed.
pub fn termination_signal() -> Result<impl Future<Output = ()>, SignalError> {
    let mut terminate = signals::receive(SignalKind::terminate())?;
    let mut interrupt = signals::receive(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Returns how many of the established connections must migrate now so that all have migrated within
/// `time_left` microseconds.
pub fn migrations_due(established: usize, time_left: Micros) -> usize {
    let intervals_left = (time_left / MIGRATION_INTERVAL).max(1) as usize;
    established.div_ceil(intervals_left)
}

/// The times of a shutdown, in Unix microseconds.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// From when on connections are released.
    release_from: Micros,
    /// When the process is killed if it still runs.
    kill_at: Micros,
}

impl Schedule {
    fn new(relay: &SharedRelay) -> Schedule {
        let relay = relay.borrow();
        let now = relay.timers.clock.now();
        let kill_at = now + relay.max_deadline().min(MAX_DEADLINE_WAIT) + KILL_GRACE;
        // Once another process accepts clients, a migrated client cannot reconnect to this one.
        let release_from = match relay.listener_ownership.handed_over() {
            true => now,
            false => (now + FRONT_PROXY_DELAY).min(kill_at - KILL_GRACE),
        };
        Schedule { release_from, kill_at }
    }

    fn released_by(&self) -> Micros {
        self.kill_at - RELEASED_BEFORE_KILL
    }

    fn migrated_by(&self) -> Micros {
        self.kill_at - MIGRATED_BEFORE_KILL
    }

    fn exit_at(&self) -> Micros {
        self.kill_at - EXIT_BEFORE_KILL
    }
}

/// Drains the relay. Returns at least `EXIT_BEFORE_KILL` before the process is killed.
pub async fn drain(relay: SharedRelay) {
    relay.borrow_mut().shutting_down = true;
    let timers = relay.borrow().timers.clone();
    let schedule = Schedule::new(&relay);
    info!(target: "shutdown", connections = relay.borrow().open_connections().0.len(), "shutdown started");
    timers.sleep_until(schedule.release_from).await;
    let mut drain = Drain { relay: relay.clone(), schedule, migrating: BTreeSet::new() };
    while !drain.is_finished() && timers.clock.now() < schedule.exit_at() - LINGER {
        drain.advance(timers.clock.now());
        timers.sleep(MIGRATION_INTERVAL).await;
    }
    let (established, pending) = relay.borrow().open_connections();
    let unsent = relay.borrow().final_writes.get();
    info!(
        target: "shutdown",
        connections = established.len(), requests = pending, unsent, "draining finished"
    );
    relay.borrow().shutdown_notice.give();
    // The last lines may still be in flight; exiting now could reset their connections.
    let linger_until = timers.clock.now() + LINGER;
    timers.sleep_until(linger_until.min(schedule.exit_at())).await;
    hot_restart::send_last_lists(&relay).await;
}

/// The release of a relay's connections during its shutdown.
struct Drain {
    relay: SharedRelay,
    schedule: Schedule,
    /// The connections that have been told to migrate.
    migrating: BTreeSet<RequestId>,
}

impl Drain {
    /// Returns whether every client has been answered, migrated or transferred.
    fn is_finished(&self) -> bool {
        let relay = self.relay.borrow();
        let idle = relay.listener_ownership.handed_over() && !relay.idle_connections.is_empty();
        relay.connections.count() == 0 && relay.final_writes.get() == 0 && !idle
    }

    /// Releases the connections that are due.
    fn advance(&mut self, now: Micros) {
        let overdue = now >= self.schedule.released_by();
        if self.relay.borrow().listener_ownership.handed_over() && !overdue {
            self.transfer_connections();
        } else {
            self.migrate_connections(now);
        }
        if overdue {
            self.relay.borrow().listener_ownership.transfers_end.give();
            fail_pending(&self.relay);
        }
    }

    /// Transfers all established connections to the successor.
    fn transfer_connections(&self) {
        let relay = self.relay.borrow();
        for id in relay.connections.established() {
            relay.send_command(id, ConnectionCommand::Transfer);
        }
    }

    /// Migrates as many of the established connections as are due, each of them once: one that waits for the
    /// end of a line does not take the place of another.
    fn migrate_connections(&mut self, now: Micros) {
        let mut relay = self.relay.borrow_mut();
        let mut waiting = relay.connections.established();
        waiting.retain(|id| !self.migrating.contains(id));
        let due = migrations_due(waiting.len(), self.schedule.released_by().saturating_sub(now));
        let deadline = self.schedule.migrated_by().min(now + LINE_END_TIMEOUT);
        for id in waiting.into_iter().take(due) {
            relay.update_metrics(|metrics| metrics.increment(MetricFamily::Migrations, "restart"));
            relay.send_command(id, ConnectionCommand::Migrate { deadline });
            self.migrating.insert(id);
        }
    }
}

/// Fails the pending requests while there is still time to send the answers.
fn fail_pending(relay: &SharedRelay) {
    let relay = relay.borrow();
    for id in relay.connections.pending() {
        relay.send_command(id, ConnectionCommand::Fail);
    }
}
