//! What goes wrong, and when: each scenario is a list of steps at times.

use std::time::Duration;

use clap::ValueEnum;

/// A run on which a zone is lost and regained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// A zone's endpoints die at once; they come back one after another.
    Lost,
    /// They fall silent; discovery lists them for 11 s more.
    Silent,
    /// All but one of them die.
    Partial,
    /// Discovery names all that come back in one version, to all relays in the same instant.
    Together,
    /// It is lost and regained twice within a minute, and lost again in the middle of its way back.
    Flap,
    /// Two zones are lost together.
    Two,
    /// Half of the relays are killed during the way back, and return with an old roll.
    Relays,
    /// Traffic at a receiving zone jumps to 2.2 times the usual while it holds spill, and one of its endpoints drains.
    Surge,
    /// Nothing goes wrong.
    Calm,
    /// A zone is lost and regained within seconds, for tests.
    Short,
    /// The same, and time to look at it.
    Show,
}

/// Something that happens to the environment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultStep {
    /// Endpoints of a zone die, all but so many.
    Kill {
        /// The zone.
        zone: usize,
        /// How many live on.
        survivors: usize,
    },
    /// A zone's endpoints fall silent.
    Silence(usize),
    /// The first so many of a zone's endpoints that are down come back.
    Return {
        /// The zone.
        zone: usize,
        /// How many come back at the most.
        max_count: usize,
        /// Discovery learns of all at once.
        in_one_update: bool,
    },
    /// Half of the relays are killed, and come back later.
    KillRelays(Duration),
    /// A zone's arrivals are this multiple of the usual.
    Surge(usize, f64),
    /// One of a zone's endpoints drains, and stops after a while.
    Drain(usize),
}

impl FaultStep {
    /// Whether endpoints of a zone are lost by it.
    pub fn kills_endpoints_of(&self, zone: usize) -> bool {
        matches!(self, FaultStep::Kill { zone: s, .. } | FaultStep::Silence(s) if *s == zone)
    }
}

impl Scenario {
    /// Its steps, for an environment of four zones or more in which the third is the one that is lost. `end` is how long it lasts.
    pub fn steps(self) -> (Vec<(Duration, FaultStep)>, Duration) {
        const LOST: usize = 2;
        const OTHER: usize = 3;
        const NEAR: usize = 1;
        let at = Duration::from_secs;
        let back = |zone| FaultStep::Return { zone, max_count: usize::MAX, in_one_update: false };
        let kill = |zone| FaultStep::Kill { zone, survivors: 0 };
        match self {
            Scenario::Lost => (vec![(at(12), kill(LOST)), (at(28), back(LOST))], at(65)),
            Scenario::Silent => (vec![(at(12), FaultStep::Silence(LOST)), (at(32), back(LOST))], at(70)),
            Scenario::Partial => {
                (vec![(at(12), FaultStep::Kill { zone: LOST, survivors: 1 }), (at(30), back(LOST))], at(65))
            }
            Scenario::Together => {
                let back = FaultStep::Return { zone: LOST, max_count: usize::MAX, in_one_update: true };
                (vec![(at(12), kill(LOST)), (at(28), back)], at(65))
            }
            Scenario::Flap => {
                let half = FaultStep::Return { zone: LOST, max_count: 2, in_one_update: true };
                let steps =
                    [(10, kill(LOST)), (16, half), (22, kill(LOST)), (30, back(LOST)), (36, kill(LOST))];
                let mut steps: Vec<_> = steps.into_iter().map(|(s, step)| (at(s), step)).collect();
                steps.push((at(42), back(LOST)));
                (steps, at(85))
            }
            Scenario::Two => {
                let steps = vec![
                    (at(12), kill(LOST)),
                    (at(12), kill(OTHER)),
                    (at(30), back(LOST)),
                    (at(32), back(OTHER)),
                ];
                (steps, at(75))
            }
            Scenario::Relays => {
                let relays = FaultStep::KillRelays(Duration::from_millis(3_000));
                (vec![(at(12), kill(LOST)), (at(27), back(LOST)), (at(31), relays)], at(70))
            }
            Scenario::Surge => {
                let steps = vec![
                    (at(12), kill(LOST)),
                    (at(18), FaultStep::Surge(NEAR, 2.2)),
                    (at(20), FaultStep::Drain(0)),
                    (at(27), FaultStep::Surge(NEAR, 1.0)),
                    (at(34), back(LOST)),
                ];
                (steps, at(70))
            }
            Scenario::Short => (vec![(at(4), kill(LOST)), (at(10), back(LOST))], at(18)),
            Scenario::Show => (vec![(at(4), kill(LOST)), (at(10), back(LOST))], at(60)),
            Scenario::Calm => (Vec::new(), at(40)),
        }
    }
}
