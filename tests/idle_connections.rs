//! The order in which idle connections are evicted.

use std::cell::RefCell;
use std::rc::Rc;

use honeyknot_relay::relay::connections::idle::{IdleConnections, IdleSlot};
use tokio::task::{LocalSet, yield_now};

/// Records the name of a connection when its task ends.
struct RecordsEnd {
    name: &'static str,
    ended: Rc<RefCell<Vec<&'static str>>>,
}

impl Drop for RecordsEnd {
    fn drop(&mut self) {
        self.ended.borrow_mut().push(self.name);
    }
}

/// How often `act` is called for each connection.
const ROUNDS: u32 = 2;

/// The names of the connections in the order of their eviction. `act` is called with name, round and slot of each.
fn eviction_order(
    names: &[&'static str], act: impl Fn(&'static str, u32, &mut IdleSlot),
) -> Vec<&'static str> {
    let connections = IdleConnections::default();
    let slots = RefCell::new(Vec::new());
    let ended = Rc::default();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for name in names {
            let records_end = RecordsEnd { name, ended: Rc::clone(&ended) };
            connections.admit(|slot| {
                slots.borrow_mut().push((*name, slot));
                async move {
                    let _records_end = records_end;
                    std::future::pending().await
                }
            });
        }
        for round in 0..ROUNDS {
            slots.borrow_mut().iter_mut().for_each(|(name, slot)| act(name, round, slot));
        }
        while connections.evict_one() {
            yield_now().await;
        }
    });
    ended.take()
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
fn a_connection_that_goes_on_sending_is_evicted_after_a_later_one_that_has_stopped() {
    let evicted = eviction_order(&["goes on", "stopped"], |name, round, slot| {
        if name == "goes on" || round == 0 {
            slot.mark_receiving();
        }
    });
    assert_eq!(evicted, ["stopped", "goes on"]);
}
