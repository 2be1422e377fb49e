//! The scenarios: each is a list of fault steps, with the time at which each step is applied.

use std::time::Duration;

use clap::ValueEnum;

/// A scenario, usually one in which a zone fails and recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// All endpoints of a zone die at once and return one by one.
    Lost,
    /// All endpoints of a zone stop responding; discovery lists them for another 11 s.
    Silent,
    /// All but one of a zone's endpoints die and return one by one.
    Partial,
    /// A zone's endpoints die and return in a single endpoint list update, sent to all relays at the same
    /// time.
    Together,
    /// A zone fails three times in a row, each time before it has fully recovered.
    Flap,
    /// Two zones fail at the same time.
    Two,
    /// Half of the relays are killed while a zone recovers, and restart with an outdated endpoint list.
    Relays,
    /// While a zone is down, traffic in a zone that receives its spill rises to 2.2 times the normal rate,
    /// and an endpoint of a third zone drains.
    Surge,
    /// No faults.
    Calm,
    /// A zone fails after 4 s and returns after 10 s, for tests.
    Short,
    /// The same faults as `short`, in a longer run for watching.
    Show,
}

/// A fault, or its end, applied to the environment. Zones are given by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultStep {
    /// Kills the endpoints of a zone, except `survivors` of them.
    Kill {
        /// Index of the zone.
        zone: usize,
        /// Number of endpoints that keep running.
        survivors: usize,
    },
    /// The endpoints of a zone stop responding without closing their connections.
    Silence(usize),
    /// Restarts the endpoints of a zone that are down, at most `max_count` of them.
    Return {
        /// Index of the zone.
        zone: usize,
        /// Maximum number of endpoints that are restarted.
        max_count: usize,
        /// Whether discovery publishes all of them in one update instead of one by one.
        in_one_update: bool,
    },
    /// Kills half of the relays and restarts them after this time.
    KillRelays(Duration),
    /// Sets the rate of new clients in a zone to this multiple of the normal rate.
    Surge(usize, f64),
    /// Drains one endpoint of a zone and then stops it.
    Drain(usize),
}

impl FaultStep {
    /// Returns whether this step makes endpoints of `zone` fail.
    pub fn kills_endpoints_of(&self, zone: usize) -> bool {
        matches!(self, FaultStep::Kill { zone: failing, .. } | FaultStep::Silence(failing) if *failing == zone)
    }
}

impl Scenario {
    /// Returns the steps, each with its time since the start, and the duration of the scenario.
    ///
    /// The environment must have at least four zones; the third one fails.
    pub fn steps(self) -> (Vec<(Duration, FaultStep)>, Duration) {
        const LOST_ZONE: usize = 2;
        const SECOND_LOST_ZONE: usize = 3;
        const RECEIVING_ZONE: usize = 1;
        let at = Duration::from_secs;
        let restore = |zone| FaultStep::Return { zone, max_count: usize::MAX, in_one_update: false };
        let kill = |zone| FaultStep::Kill { zone, survivors: 0 };
        match self {
            Scenario::Lost => (vec![(at(12), kill(LOST_ZONE)), (at(28), restore(LOST_ZONE))], at(65)),
            Scenario::Silent => {
                (vec![(at(12), FaultStep::Silence(LOST_ZONE)), (at(32), restore(LOST_ZONE))], at(70))
            }
            Scenario::Partial => (
                vec![
                    (at(12), FaultStep::Kill { zone: LOST_ZONE, survivors: 1 }),
                    (at(30), restore(LOST_ZONE)),
                ],
                at(65),
            ),
            Scenario::Together => {
                let restore =
                    FaultStep::Return { zone: LOST_ZONE, max_count: usize::MAX, in_one_update: true };
                (vec![(at(12), kill(LOST_ZONE)), (at(28), restore)], at(65))
            }
            Scenario::Flap => {
                let restore_two = FaultStep::Return { zone: LOST_ZONE, max_count: 2, in_one_update: true };
                let steps = [
                    (10, kill(LOST_ZONE)),
                    (16, restore_two),
                    (22, kill(LOST_ZONE)),
                    (30, restore(LOST_ZONE)),
                    (36, kill(LOST_ZONE)),
                ];
                let mut steps: Vec<_> =
                    steps.into_iter().map(|(seconds, step)| (at(seconds), step)).collect();
                steps.push((at(42), restore(LOST_ZONE)));
                (steps, at(85))
            }
            Scenario::Two => {
                let steps = vec![
                    (at(12), kill(LOST_ZONE)),
                    (at(12), kill(SECOND_LOST_ZONE)),
                    (at(30), restore(LOST_ZONE)),
                    (at(32), restore(SECOND_LOST_ZONE)),
                ];
                (steps, at(75))
            }
            Scenario::Relays => {
                let relays = FaultStep::KillRelays(Duration::from_millis(3_000));
                (vec![(at(12), kill(LOST_ZONE)), (at(27), restore(LOST_ZONE)), (at(31), relays)], at(70))
            }
            Scenario::Surge => {
                let steps = vec![
                    (at(12), kill(LOST_ZONE)),
                    (at(18), FaultStep::Surge(RECEIVING_ZONE, 2.2)),
                    (at(20), FaultStep::Drain(0)),
                    (at(27), FaultStep::Surge(RECEIVING_ZONE, 1.0)),
                    (at(34), restore(LOST_ZONE)),
                ];
                (steps, at(70))
            }
            Scenario::Short => (vec![(at(4), kill(LOST_ZONE)), (at(10), restore(LOST_ZONE))], at(18)),
            Scenario::Show => (vec![(at(4), kill(LOST_ZONE)), (at(10), restore(LOST_ZONE))], at(60)),
            Scenario::Calm => (Vec::new(), at(40)),
        }
    }
}
