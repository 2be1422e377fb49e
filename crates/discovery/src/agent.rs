//! Timeouts of requests to a local agent, to which lists are pushed.
//!
//! The relay counts as notified of a list as soon as the agent has it. Two causes keep a response away, and they
//! need opposite timeouts: a request that the agent has lost must be repeated within the drain grace, and a slow
//! agent must be given the time that it needs. A timeout alone does not tell them apart, so timeouts grow after
//! each one, but only as far as the drain grace allows. A response that arrives shows that the agent is slow, so
//! the requests that follow are given that time, however long it is.

use honeyknot_balancer::Micros;

use crate::poller::MIN_PAUSE;

/// Minimum wait of a watch, in microseconds.
const MIN_WATCH_WAIT: Micros = 20_000;
/// Maximum wait of a watch, in microseconds.
const MAX_WATCH_WAIT: Micros = 500_000;
/// An agent is slow if its requests are given more than this many waits for the response. The first timeout of a
/// request leads to two waits, the second one to four.
const SLOW_AGENT_WAITS: Micros = 3;
/// Maximum response time that is given because earlier responses needed it, in microseconds.
const MAX_OBSERVED_TIME: Micros = 20_000_000;

/// Response time of the agent, as learned from responses and timeouts.
#[derive(Debug, Default)]
pub(crate) struct AgentResponseTime {
    /// Twice the decaying maximum of the response times, in microseconds.
    observed: Micros,
    /// Twice the time that the last request was given, if it timed out, in microseconds.
    suspected: Micros,
}

/// Waits and pauses that follow from the drain grace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentTiming {
    drain_grace: Micros,
}

impl AgentTiming {
    pub(crate) fn new(drain_grace: Micros) -> AgentTiming {
        AgentTiming { drain_grace }
    }

    /// Returns how long a watch waits at an agent that responds quickly, in microseconds. The same time again is
    /// allowed for the response.
    ///
    /// The wait is a quarter of the drain grace, so that a watch that times out and the next one fit into it.
    fn watch_wait(self) -> Micros {
        (self.drain_grace / 4).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
    }

    /// Returns the pause after a request that failed, in microseconds.
    pub(crate) fn failure_pause(self) -> Micros {
        MIN_PAUSE.max(self.watch_wait() / 4)
    }

    /// Returns the maximum pause after a response, in microseconds.
    pub(crate) fn max_pause(self) -> Micros {
        self.watch_wait() / 2
    }

    /// Returns the maximum timeout of a request that the agent may have lost, in microseconds. It leaves time for
    /// a pause and a second request within the drain grace.
    fn max_repeat_timeout(self) -> Micros {
        self.drain_grace.saturating_sub(self.failure_pause() + self.watch_wait() / 4)
    }
}

impl AgentResponseTime {
    /// Records a response that took this long beyond the wait of the request, in microseconds.
    pub(crate) fn record_response(&mut self, response_time: Micros) {
        self.observed = (2 * response_time).max(self.observed / 8 * 7).min(MAX_OBSERVED_TIME);
        self.suspected = 0;
    }

    /// Records a request that timed out after this long beyond its wait, in microseconds.
    pub(crate) fn record_timeout(&mut self, time: Micros) {
        self.suspected = 2 * time;
    }

    /// Returns how long the next watch waits, in microseconds. A slow agent needs the time for its response. A
    /// single timeout does not show that the agent is slow.
    pub(crate) fn watch_wait(&self, timing: AgentTiming) -> Micros {
        let wait = timing.watch_wait();
        if self.observed.max(self.suspected) > SLOW_AGENT_WAITS * wait { MIN_WATCH_WAIT } else { wait }
    }

    /// Returns the timeout of a request with this wait (0 for the full list), in microseconds.
    pub(crate) fn timeout(&self, timing: AgentTiming, max_wait: Micros) -> Micros {
        let suspected = (max_wait + self.suspected).min(timing.max_repeat_timeout());
        (2 * timing.watch_wait()).max(max_wait + self.observed).max(suspected)
    }
}
