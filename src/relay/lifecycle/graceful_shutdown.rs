//! Graceful shutdown: pending requests are answered, and established connections migrate at an even rate or
//! are transferred to the successor.

use std::future::Future;

use honeyknot_balancer::{Micros, RequestId};
use honeyknot_metrics::MetricFamily;
use tokio::signal::unix::SignalKind;
use tracing::info;

use super::signals::{self, SignalError};
use crate::relay::{ConnectionCommand, SharedRelay};

/// Time after the start of the shutdown for which the front proxy still sends new clients here, in
/// microseconds. A client that migrated earlier could reconnect to this process.
const FRONT_PROXY_DELAY: Micros = 400_000;
/// The longest request deadline that the shutdown waits for, in microseconds.
const MAX_DEADLINE_WAIT: Micros = 3_000_000;
/// Time after the longest request deadline at which the process is killed, in microseconds.
const KILL_GRACE: Micros = 700_000;
/// Time before the kill by which every connection has migrated and from which pending requests fail, in
/// microseconds.
const MIGRATED_BEFORE_KILL: Micros = 670_000;
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

/// Drains the relay. Returns at least `EXIT_BEFORE_KILL` before the process is killed.
pub async fn drain(relay: SharedRelay) {
    relay.borrow_mut().shutting_down = true;
    let timers = relay.borrow().timers.clone();
    let started_at = timers.clock.now();
    let kill_at = started_at + relay.borrow().max_deadline().min(MAX_DEADLINE_WAIT) + KILL_GRACE;
    info!(target: "shutdown", connections = relay.borrow().open_connections().0.len(), "shutdown started");
    // Once another process accepts clients, a migrated client cannot reconnect to this one.
    let handed_over = relay.borrow().listener_ownership.handed_over();
    let migrate_from =
        if handed_over { started_at } else { (started_at + FRONT_PROXY_DELAY).min(kill_at - KILL_GRACE) };
    timers.sleep_until(migrate_from).await;
    loop {
        let now = timers.clock.now();
        let (established, pending) = relay.borrow().open_connections();
        let idle = handed_over && !relay.borrow().idle_connections.is_empty();
        let written = relay.borrow().final_writes.count() == 0;
        let drained = established.is_empty() && pending == 0 && !idle && written;
        if drained || now >= kill_at - EXIT_BEFORE_KILL - LINGER {
            break;
        }
        release_connections(&relay, &established, (kill_at - MIGRATED_BEFORE_KILL).saturating_sub(now));
        if now >= kill_at - MIGRATED_BEFORE_KILL {
            fail_pending(&relay);
        }
        timers.sleep(MIGRATION_INTERVAL).await;
    }
    let (established, pending) = relay.borrow().open_connections();
    info!(target: "shutdown", connections = established.len(), requests = pending, "draining finished");
    relay.borrow().idle_connections.notify_shutdown();
    // The last lines may still be in flight; exiting now could reset their connections.
    let linger_until = timers.clock.now() + LINGER;
    timers.sleep_until(linger_until.min(kill_at - EXIT_BEFORE_KILL)).await;
}

/// Transfers all established connections to the successor if there is one, and otherwise migrates those that
/// are due.
fn release_connections(relay: &SharedRelay, established: &[RequestId], time_left: Micros) {
    let mut relay = relay.borrow_mut();
    if relay.listener_ownership.handed_over() {
        for id in established {
            relay.send_command(*id, ConnectionCommand::Transfer);
        }
        return;
    }
    for id in established.iter().take(migrations_due(established.len(), time_left)) {
        relay.update_metrics(|metrics| metrics.increment(MetricFamily::Migrations, "restart"));
        relay.send_command(*id, ConnectionCommand::Migrate);
    }
}

/// Fails the pending requests while there is still time to send the answers.
fn fail_pending(relay: &SharedRelay) {
    let mut relay = relay.borrow_mut();
    for id in relay.connections.pending() {
        relay.send_command(id, ConnectionCommand::Fail);
    }
}
