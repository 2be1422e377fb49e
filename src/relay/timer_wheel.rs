//! A hashed timer wheel with coarse ticks, for timers of the balancer and sleeping tasks.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use honeyknot_balancer::{Micros, TimerToken};
use tokio::sync::Notify;

use super::clock::Clock;

/// Length of a tick in microseconds, well below the simulator's step of 5 ms.
pub const TICK: Micros = 2_000;
/// Number of slots. One turn of the wheel takes about two seconds; an entry that is due later stays in its
/// slot for several turns.
const SLOTS: u64 = 1024;
/// Maximum number of ticks between two advances of the wheel, which bounds the search for the next due entry.
const MAX_TICKS_AHEAD: u64 = 128;

/// Identifies an entry of the wheel for its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerHandle {
    tick: u64,
    serial: u64,
}

/// A hashed timer wheel that holds items of type `T`.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(TimerHandle, T)>>,
    current_tick: u64,
    last_serial: u64,
}

fn slot_of(tick: u64) -> usize {
    (tick % SLOTS) as usize
}

impl<T> TimerWheel<T> {
    /// Returns an empty wheel that starts at this time.
    pub fn new(now: Micros) -> TimerWheel<T> {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        TimerWheel { slots, current_tick: now / TICK, last_serial: 0 }
    }

    /// Inserts an item that is due at the first tick at or after `due` that has not passed yet.
    pub fn insert(&mut self, due: Micros, item: T) -> TimerHandle {
        self.last_serial += 1;
        let tick = due.div_ceil(TICK).max(self.current_tick + 1);
        let handle = TimerHandle { tick, serial: self.last_serial };
        self.slots[slot_of(tick)].push((handle, item));
        handle
    }

    /// Removes and returns an item, or returns `None` if the wheel no longer holds it.
    pub fn remove(&mut self, handle: TimerHandle) -> Option<T> {
        let slot = &mut self.slots[slot_of(handle.tick)];
        let index = slot.iter().position(|(entry, _)| *entry == handle)?;
        Some(slot.swap_remove(index).1)
    }

    /// Returns the tick at which the wheel must be advanced next: the first with a due entry, or the end of
    /// the search range of `MAX_TICKS_AHEAD` ticks.
    pub fn next_tick(&self) -> u64 {
        let last = self.current_tick + MAX_TICKS_AHEAD;
        let holds_due = |tick: &u64| self.slots[slot_of(*tick)].iter().any(|(entry, _)| entry.tick <= *tick);
        (self.current_tick + 1..last).find(holds_due).unwrap_or(last)
    }

    /// Advances to this time and returns the items that are due, in the order of their ticks and of
    /// insertion.
    pub fn advance(&mut self, now: Micros) -> Vec<T> {
        let target = now / TICK;
        let mut due = Vec::new();
        // One turn visits every slot, which is enough even after a long pause.
        for tick in (self.current_tick + 1..=target).take(SLOTS as usize) {
            let slot = &mut self.slots[slot_of(tick)];
            let entries = std::mem::take(slot).into_iter();
            let (expired, pending) = entries.partition(|(entry, _)| entry.tick <= target);
            *slot = pending;
            due.extend::<Vec<_>>(expired);
        }
        self.current_tick = self.current_tick.max(target);
        due.sort_by_key(|(handle, _)| (handle.tick, handle.serial));
        due.into_iter().map(|(_, item)| item).collect()
    }
}

/// An event of the relay's timer wheel.
#[derive(Debug)]
pub enum TimerEvent {
    /// A timer of the balancer fires.
    Balancer(TimerToken),
    /// A sleeping task is woken.
    Wake(Waker),
}

/// The relay's clock and timer wheel, shared by all tasks.
pub struct Timers {
    /// The relay's clock.
    pub clock: Clock,
    wheel: RefCell<TimerWheel<TimerEvent>>,
    /// The tick until which [`Timers::wait`] sleeps.
    wakes_at_tick: Cell<u64>,
    /// Notified when an entry is inserted that is due before that tick.
    earlier_entry: Notify,
}

impl fmt::Debug for Timers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Timers").field("clock", &self.clock).finish_non_exhaustive()
    }
}

impl Timers {
    /// Returns an empty timer wheel that starts at the clock's current time.
    pub fn new(clock: Clock) -> Rc<Timers> {
        let wheel = RefCell::new(TimerWheel::new(clock.now()));
        Rc::new(Timers { clock, wheel, wakes_at_tick: Cell::new(0), earlier_entry: Notify::new() })
    }

    /// Sets a timer of the balancer that fires after `delay` microseconds.
    pub fn set_balancer_timer(&self, delay: Micros, token: TimerToken) {
        self.insert(self.clock.now().saturating_add(delay), TimerEvent::Balancer(token));
    }

    fn insert(&self, due: Micros, event: TimerEvent) -> TimerHandle {
        let handle = self.wheel.borrow_mut().insert(due, event);
        if handle.tick < self.wakes_at_tick.get() {
            self.earlier_entry.notify_one();
        }
        handle
    }

    /// Waits until the wheel must be advanced, and returns the delay after the due time in microseconds.
    ///
    /// An idle relay wakes a few times a second rather than at every tick, as hundreds of relays may share a
    /// machine.
    pub async fn wait(&self) -> Micros {
        loop {
            let next = self.wheel.borrow().next_tick();
            let now = self.clock.now();
            let due = next * TICK;
            if now >= due {
                self.wakes_at_tick.set(0);
                return now - due;
            }
            self.wakes_at_tick.set(next);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(due - now)) => {}
                () = self.earlier_entry.notified() => {}
            }
        }
    }

    /// Removes and returns the events that are due by now.
    pub fn take_due(&self) -> Vec<TimerEvent> {
        self.wheel.borrow_mut().advance(self.clock.now())
    }

    /// Waits until a point in time, in Unix microseconds.
    pub fn sleep_until(self: &Rc<Timers>, deadline: Micros) -> Sleep {
        Sleep { timers: self.clone(), deadline, handle: None }
    }

    /// Waits for a duration in microseconds.
    pub fn sleep(self: &Rc<Timers>, duration: Micros) -> Sleep {
        self.sleep_until(self.clock.now().saturating_add(duration))
    }
}

/// A future that completes at its deadline; dropping it removes its entry from the wheel.
#[derive(Debug)]
pub struct Sleep {
    timers: Rc<Timers>,
    deadline: Micros,
    handle: Option<TimerHandle>,
}

impl Sleep {
    fn remove_entry(&mut self) {
        if let Some(handle) = self.handle.take() {
            self.timers.wheel.borrow_mut().remove(handle);
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.remove_entry();
        if self.timers.clock.now() >= self.deadline {
            return Poll::Ready(());
        }
        let handle = self.timers.insert(self.deadline, TimerEvent::Wake(context.waker().clone()));
        self.handle = Some(handle);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.remove_entry();
    }
}
