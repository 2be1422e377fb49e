//! The order in which idle connections are evicted.

use std::cell::RefCell;
use std::rc::Rc;

use honeyknot_relay::relay::connections::idle::{IdleConnections, IdleSlot};
use tokio::task::{LocalSet, yield_now};

/// Records the name of a connection when its task ends.
struct EvictionRecorder {
    name: &'static str,
    evicted: Rc<RefCell<Vec<&'static str>>>,
}

impl Drop for EvictionRecorder {
    fn drop(&mut self) {
        self.evicted.borrow_mut().push(self.name);
    }
}

/// How often `on_round` is called for each connection.
const ROUNDS: u32 = 2;

/// Returns the names of the connections in the order of their eviction. Before that, each round calls
/// `on_round` with the name, the round and the slot of each connection.
fn eviction_order(
    names: &[&'static str], on_round: impl Fn(&'static str, u32, &mut IdleSlot),
) -> Vec<&'static str> {
    let connections = IdleConnections::default();
    let slots = RefCell::new(Vec::new());
    let evicted = Rc::default();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        for name in names {
            let recorder = EvictionRecorder { name, evicted: Rc::clone(&evicted) };
            connections.admit(|slot| {
                slots.borrow_mut().push((*name, slot));
                async move {
                    let _recorder = recorder;
                    std::future::pending().await
                }
            });
        }
        for round in 0..ROUNDS {
            slots.borrow_mut().iter_mut().for_each(|(name, slot)| on_round(name, round, slot));
        }
        while connections.evict_one() {
            yield_now().await;
        }
    });
    evicted.take()
}

#[test]
fn answered_connections_are_evicted_first_then_silent_ones_then_slow_senders() {
    let names = ["slow", "silent", "steady", "answered", "late"];
    let evicted = eviction_order(&names, |name, round, slot| match (name, round) {
        ("slow" | "answered", 0) | ("steady", _) => slot.mark_receiving(),
        ("answered", _) => slot.mark_answered(),
        _ => {}
    });
    assert_eq!(evicted, ["answered", "silent", "late", "slow", "steady"]);
}

#[test]
fn a_connection_that_continues_to_send_is_evicted_after_a_newer_one_that_has_stopped() {
    let evicted = eviction_order(&["sending", "stopped"], |name, round, slot| {
        if name == "sending" || round == 0 {
            slot.mark_receiving();
        }
    });
    assert_eq!(evicted, ["stopped", "sending"]);
}

/// Guards against new clients that are evicted, before they have sent anything, in favor of hundreds that have
/// stopped in the middle of their request.
#[test]
fn connections_that_have_stopped_sending_are_evicted_before_new_ones_while_they_are_the_majority() {
    let mut names = vec!["stopped"; 40];
    names.extend(["new"; 30]);
    let evicted = eviction_order(&names, |name, round, slot| {
        if name == "stopped" && round == 0 {
            slot.mark_receiving();
        }
    });
    assert_eq!(evicted[..10], ["stopped"; 10]);
    // A few senders are evicted last, whatever the number of new connections.
    assert_eq!(evicted[evicted.len() - 16..], ["stopped"; 16]);
}
