//! A planned restart: newcomers are refused, open requests settled, and every study session moved at a pace.

use std::future::Future;

use honeyknot_metrics::Family;
use tokio::signal::unix::{SignalKind, signal as listen_for};
use tracing::info;

use crate::relay::{ConnectionCommand, SharedRelay};
use honeyknot_balancer::Micros;

/// The front layer still sends newcomers for this long: a client moved earlier could come back here.
const FRONT_NOTICES: Micros = 400_000;
/// The longest deadline that is waited for before the kill.
const LONGEST_WAIT: Micros = 3_000_000;
/// The kill comes this long after the longest deadline.
const KILL_AFTER: Micros = 700_000;
/// What is left before the kill when the last session is moved, and when the relay exits.
const MOVED_BEFORE: Micros = 670_000;
const GONE_BEFORE: Micros = 350_000;
/// Time for the last lines to arrive.
const LINGER: Micros = 250_000;
/// Step in which sessions are moved.
const STEP: Micros = 20_000;

/// Resolves when the relay is asked to stop.
pub fn signal() -> Result<impl Future<Output = ()>, String> {
    let told = |kind| listen_for(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut interrupt) = (told(SignalKind::terminate())?, told(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// How many of the sessions that stand are to be moved in this step so that all are by the end.
pub fn due_now(standing: usize, left: Micros) -> usize {
    let steps = (left / STEP).max(1) as usize;
    standing.div_ceil(steps)
}

/// Empties the relay. Returns well before the kill.
pub async fn drain(relay: SharedRelay) {
    relay.borrow_mut().shutting_down = true;
    let timers = relay.borrow().timers.clone();
    let began = timers.clock.now();
    let kill = began + relay.borrow().max_deadline().min(LONGEST_WAIT) + KILL_AFTER;
    info!(target: "shutdown", sessions = relay.borrow().open_connections().0.len(), "begins");
    // Where a new process lets clients in, none that is moved can come back here.
    let replaced = relay.borrow().listener_ownership.handed_over();
    timers.sleep_until(if replaced { began } else { (began + FRONT_NOTICES).min(kill - KILL_AFTER) }).await;
    loop {
        let now = timers.clock.now();
        let (standing, asking) = relay.borrow().open_connections();
        let crowd = replaced && !relay.borrow().idle_connections.is_empty();
        if standing.is_empty() && asking == 0 && !crowd || now >= kill - GONE_BEFORE - LINGER {
            break;
        }
        if relay.borrow().listener_ownership.handed_over() {
            // The process that lets clients in goes on with them.
            standing.iter().for_each(|id| relay.borrow_mut().send_command(*id, ConnectionCommand::Transfer));
        } else {
            let due = due_now(standing.len(), (kill - MOVED_BEFORE).saturating_sub(now));
            for id in standing.into_iter().take(due) {
                relay.borrow_mut().update_metrics(|book| book.count(Family::Moves, "restart"));
                relay.borrow_mut().send_command(id, ConnectionCommand::Migrate);
            }
        }
        if now >= kill - MOVED_BEFORE {
            fail_the_rest(&relay);
        }
        timers.sleep(STEP).await;
    }
    let (standing, asking) = relay.borrow().open_connections();
    info!(target: "shutdown", sessions = standing.len(), requests = asking, "left over");
    relay.borrow().idle_connections.notify_shutdown();
    // The last lines are on their way: exiting now could reset the connections that carry them.
    let last = timers.clock.now() + LINGER;
    timers.sleep_until(last.min(kill - GONE_BEFORE)).await;
}

/// Requests that are still open get their answer while there is time to send it.
fn fail_the_rest(relay: &SharedRelay) {
    let mut relay = relay.borrow_mut();
    for id in relay.connections.pending() {
        relay.send_command(id, ConnectionCommand::Fail);
    }
}
