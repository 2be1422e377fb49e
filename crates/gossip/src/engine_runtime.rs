//! The membership engine's timers, and the runtime through which it starts timers and sends datagrams.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use foca::Timer;
use honeyknot_balancer::Micros;

use crate::datagram::{Envelope, OutgoingDatagram};
use crate::member_id::MemberId;

/// A timer of the engine. Timers are ordered by deadline, and those with the same deadline by when they were
/// started.
struct TimerEntry {
    deadline: Micros,
    sequence: u64,
    timer: Timer<MemberId>,
}

impl PartialEq for TimerEntry {
    fn eq(&self, other: &TimerEntry) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TimerEntry {}

impl PartialOrd for TimerEntry {
    fn partial_cmp(&self, other: &TimerEntry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerEntry {
    fn cmp(&self, other: &TimerEntry) -> Ordering {
        (self.deadline, self.sequence).cmp(&(other.deadline, other.sequence))
    }
}

/// The engine's pending timers.
#[derive(Default)]
pub(crate) struct EngineTimers {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    /// Number of timers started so far.
    started: u64,
}

impl EngineTimers {
    /// Returns the earliest deadline, or `None` if no timer is pending.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(entry)| entry.deadline)
    }

    /// Removes and returns the earliest timer if its deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        self.next_deadline().filter(|deadline| *deadline <= now)?;
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }

    fn start(&mut self, deadline: Micros, timer: Timer<MemberId>) {
        self.started += 1;
        self.entries.push(Reverse(TimerEntry { deadline, sequence: self.started, timer }));
    }
}

/// Collects the timers and datagrams that the engine requests during one call.
pub(crate) struct EngineRuntime<'a> {
    pub(crate) now: Micros,
    pub(crate) envelope: Envelope,
    pub(crate) timers: &'a mut EngineTimers,
    pub(crate) datagrams: &'a mut Vec<OutgoingDatagram>,
}

impl foca::Runtime<MemberId> for EngineRuntime<'_> {
    fn notify(&mut self, _: foca::Notification<'_, MemberId>) {}

    fn send_to(&mut self, to: MemberId, message: &[u8]) {
        let datagram = OutgoingDatagram { to: to.address, bytes: self.envelope.wrap(message) };
        self.datagrams.push(datagram);
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        self.timers.start(self.now + after.as_micros() as Micros, timer);
    }
}
