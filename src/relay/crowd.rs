//! The crowd at the door: connections that have not asked for a study session yet, or were just turned away.
//!
//! Guards against clients that connect by the hundred and say nothing: they would hold every descriptor, and
//! nobody else would get in. The crowd is held within a part of the descriptors; whoever has stood there longest
//! makes room.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use tokio::task::AbortHandle;

/// Everybody at the door, by the order in which they came.
#[derive(Clone, Default)]
pub struct Crowd(Rc<RefCell<Door>>);

#[derive(Default)]
struct Door {
    last: u64,
    standing: BTreeMap<u64, Option<AbortHandle>>,
}

/// A place in the crowd, left when it is dropped.
pub struct Place {
    crowd: Crowd,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.0.borrow_mut().standing.remove(&self.number);
    }
}

impl Crowd {
    /// Starts serving a connection, which stands in the crowd as long as it holds its place.
    pub fn admit<F: Future<Output = ()> + 'static>(&self, serve: impl FnOnce(Place) -> F) {
        let number = {
            let mut door = self.0.borrow_mut();
            door.last += 1;
            let number = door.last;
            door.standing.insert(number, None);
            number
        };
        let task = tokio::task::spawn_local(serve(Place { crowd: self.clone(), number }));
        if let Some(place) = self.0.borrow_mut().standing.get_mut(&number) {
            *place = Some(task.abort_handle());
        }
    }

    /// How many stand there.
    pub fn len(&self) -> usize {
        self.0.borrow().standing.len()
    }

    /// Whether nobody stands there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connection that has stood there longest; false if there is none.
    pub fn turn_out_oldest(&self) -> bool {
        let oldest = self.0.borrow_mut().standing.pop_first();
        // Its task ends, and gives its descriptor back, when it would next have run.
        oldest.and_then(|(_, task)| task).map(|task| task.abort()).is_some()
    }
}
