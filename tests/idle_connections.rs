//! The order in which those at the door make room.

use std::cell::RefCell;
use std::rc::Rc;

use honeyknot_relay::relay::connections::idle::{IdleConnections, IdleSlot};
use tokio::task::{LocalSet, yield_now};

/// Tells that its task has ended.
struct Ends(&'static str, Rc<RefCell<Vec<&'static str>>>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.1.borrow_mut().push(self.0);
    }
}

/// Those at the door, in the order in which they are turned out.
fn order(names: &[&'static str], tell: impl Fn(&'static str, u32, &mut IdleSlot)) -> Vec<&'static str> {
    let (crowd, places) = (IdleConnections::default(), RefCell::new(Vec::new()));
    let out = Rc::default();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for name in names {
            let ends = Ends(name, Rc::clone(&out));
            crowd.admit(|place| {
                places.borrow_mut().push((*name, place));
                async move {
                    let _ends = ends;
                    std::future::pending().await
                }
            });
        }
        for round in 0..2 {
            places.borrow_mut().iter_mut().for_each(|(name, place)| tell(name, round, place));
        }
        while crowd.evict_one() {
            yield_now().await;
        }
    });
    out.take()
}

#[test]
fn who_says_nothing_makes_room_before_who_writes_slowly() {
    let told =
        order(&["slow", "silent", "steady", "answered", "late"], |name, round, place| match (name, round) {
            ("slow" | "answered", 0) | ("steady", _) => place.mark_receiving(),
            ("answered", _) => place.mark_answered(),
            _ => {}
        });
    assert_eq!(told, ["answered", "silent", "late", "slow", "steady"]);
    // Who goes on writing stays longer than who came later and has stopped.
    let told = order(&["goes on", "stopped"], |name, round, place| {
        if name == "goes on" || round == 0 {
            place.mark_receiving();
        }
    });
    assert_eq!(told, ["stopped", "goes on"]);
}
