//! Timers as coarse ticks on a wheel, and the naps that sessions take on it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::sync::Notify;

use super::clock::Clock;
use honeyknot_balancer::{Micros, TimerToken};

/// Length of a tick: well under the simulator's own step of 5 ms.
pub const TICK: Micros = 2_000;
/// Slots of a turn, about two seconds: most timers are shorter, the others stay for some turns.
const SLOTS: u64 = 1024;

/// The wheel is turned after so many ticks at the latest, whatever it holds. What comes due later need not be looked for.
const LONGEST_REST: u64 = 128;

/// Where an entry sits, to take it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerHandle {
    tick: u64,
    serial: u64,
}

/// A hashed timer wheel.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(TimerHandle, T)>>,
    turned_to: u64,
    serial: u64,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that stands at this time.
    pub fn new(now: Micros) -> TimerWheel<T> {
        TimerWheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), turned_to: now / TICK, serial: 0 }
    }

    /// Puts an item down for the first tick at or after its time, which is never one that has passed.
    pub fn put(&mut self, due: Micros, item: T) -> TimerHandle {
        self.serial += 1;
        let place = TimerHandle { tick: due.div_ceil(TICK).max(self.turned_to + 1), serial: self.serial };
        self.slots[(place.tick % SLOTS) as usize].push((place, item));
        place
    }

    /// Takes an item back, if it is still there.
    pub fn take(&mut self, place: TimerHandle) -> Option<T> {
        let slot = &mut self.slots[(place.tick % SLOTS) as usize];
        let at = slot.iter().position(|(p, _)| *p == place)?;
        Some(slot.swap_remove(at).1)
    }

    /// The tick at which it must be turned next: that of the first entry that comes due, or some ticks on.
    pub fn next_turn(&self) -> u64 {
        let soon = self.turned_to + 1..self.turned_to + LONGEST_REST;
        let holds = |tick: &u64| self.slots[(tick % SLOTS) as usize].iter().any(|(p, _)| p.tick <= *tick);
        soon.into_iter().find(holds).unwrap_or(self.turned_to + LONGEST_REST)
    }

    /// Turns to this time and returns what has come due, in the order of time and of putting down.
    pub fn turn(&mut self, now: Micros) -> Vec<T> {
        let target = now / TICK;
        let mut due = Vec::new();
        // After a long pause one turn visits every slot.
        for tick in (self.turned_to + 1..=target).take(SLOTS as usize) {
            let slot = &mut self.slots[(tick % SLOTS) as usize];
            let (ripe, later) = std::mem::take(slot).into_iter().partition(|(p, _)| p.tick <= target);
            *slot = later;
            due.extend::<Vec<_>>(ripe);
        }
        self.turned_to = self.turned_to.max(target);
        due.sort_by_key(|(place, _)| (place.tick, place.serial));
        due.into_iter().map(|(_, item)| item).collect()
    }
}

/// What the wheel holds.
pub enum TimerEvent {
    /// A timer of the decisions.
    Decision(TimerToken),
    /// A task that naps.
    Wake(Waker),
}

/// The relay's wheel with its clock, shared by all tasks.
pub struct Timers {
    /// The relay's clock.
    pub clock: Clock,
    wheel: RefCell<TimerWheel<TimerEvent>>,
    /// The tick until which nobody turns the wheel.
    rests_until: Cell<u64>,
    /// Told when something comes due before that.
    sooner: Notify,
}

impl Timers {
    /// A wheel that stands at the clock's time.
    pub fn new(clock: Clock) -> Rc<Timers> {
        let wheel = RefCell::new(TimerWheel::new(clock.now()));
        Rc::new(Timers { clock, wheel, rests_until: Cell::new(0), sooner: Notify::new() })
    }

    /// Sets a timer of the decisions.
    pub fn decision(&self, delay: Micros, token: TimerToken) {
        self.put(self.clock.now().saturating_add(delay), TimerEvent::Decision(token));
    }

    fn put(&self, due: Micros, alarm: TimerEvent) -> TimerHandle {
        let place = self.wheel.borrow_mut().put(due, alarm);
        if place.tick < self.rests_until.get() {
            self.sooner.notify_one();
        }
        place
    }

    /// Rests until something comes due. A relay that does nothing wakes some times a second and not at every tick:
    /// hundreds of them share a machine.
    /// How late it is then comes back.
    pub async fn rest(&self) -> Micros {
        loop {
            let next = self.wheel.borrow().next_turn();
            let now = self.clock.now();
            let due = next * TICK;
            if now >= due {
                self.rests_until.set(0);
                return now - due;
            }
            self.rests_until.set(next);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(due - now)) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// What has come due by now.
    pub fn due(&self) -> Vec<TimerEvent> {
        self.wheel.borrow_mut().turn(self.clock.now())
    }

    /// Waits for a point in time.
    pub fn sleep_until(self: &Rc<Timers>, due: Micros) -> Sleep {
        Sleep { timers: self.clone(), due, place: None }
    }

    /// Waits for a span of time.
    pub fn sleep(self: &Rc<Timers>, span: Micros) -> Sleep {
        self.sleep_until(self.clock.now().saturating_add(span))
    }
}

/// A wait on the wheel; dropping it takes it off.
pub struct Sleep {
    timers: Rc<Timers>,
    due: Micros,
    place: Option<TimerHandle>,
}

impl Sleep {
    fn take_off(&mut self) {
        if let Some(place) = self.place.take() {
            self.timers.wheel.borrow_mut().take(place);
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.take_off();
        if self.timers.clock.now() >= self.due {
            return Poll::Ready(());
        }
        let alarm = TimerEvent::Wake(context.waker().clone());
        let place = self.timers.put(self.due, alarm);
        self.place = Some(place);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.take_off();
    }
}
