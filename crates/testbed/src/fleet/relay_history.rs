//! The harness's actions on the process of one relay.

/// Time around an action on a relay within which its clients' requests may go unanswered, in microseconds.
const EXCUSED_AROUND_ACTION_US: u64 = 1_600_000;

/// An action on a relay's process and its time.
struct Action {
    time_us: u64,
    name: String,
}

/// The actions on one relay's process, in order of time.
#[derive(Default)]
pub(super) struct RelayHistory {
    actions: Vec<Action>,
}

impl RelayHistory {
    /// Appends an action.
    pub(super) fn push(&mut self, time_us: u64, name: &str) {
        self.actions.push(Action { time_us, name: name.to_owned() });
    }

    /// Returns whether actions on the relay excuse a failure of a client that was connected from `since` to
    /// `until`.
    pub(super) fn excuses_failure(&self, since: u64, until: u64) -> bool {
        let mut is_stopped = false;
        for Action { time_us, name } in &self.actions {
            let is_before = *time_us <= since;
            let is_start = name == "start";
            let is_near = (since.saturating_sub(EXCUSED_AROUND_ACTION_US)..=until + EXCUSED_AROUND_ACTION_US)
                .contains(time_us);
            let has_just_started = is_before && is_start && since - time_us < EXCUSED_AROUND_ACTION_US;
            if is_near && !is_start || has_just_started {
                return true;
            }
            if is_before {
                is_stopped = match name.as_str() {
                    "stop" | "kill" => true,
                    "cont" | "start" => false,
                    _ => is_stopped,
                };
            }
        }
        is_stopped
    }

    /// Returns the time of the last start in Unix microseconds, or `None` if the relay was never started.
    pub(super) fn last_start(&self) -> Option<u64> {
        self.actions.iter().rev().find(|action| action.name == "start").map(|action| action.time_us)
    }

    /// Returns whether the relay should run at the end: its last start, kill or termination is a start.
    pub(super) fn should_run(&self) -> bool {
        let is_decisive = |action: &&Action| matches!(action.name.as_str(), "start" | "kill" | "term");
        self.actions.iter().rev().find(is_decisive).is_some_and(|action| action.name == "start")
    }
}
