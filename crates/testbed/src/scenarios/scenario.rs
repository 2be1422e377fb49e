//! What goes wrong, and when: each scenario is a list of steps at times.

use std::time::Duration;

use clap::ValueEnum;

/// A day on which a site is lost and regained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// A site's card servers die at once; they come back one after another.
    Lost,
    /// They fall silent; the roll lists them for 11 s more.
    Silent,
    /// All but one of them die.
    Partial,
    /// The roll names all that come back in one version, to all relays in the same instant.
    Together,
    /// It is lost and regained twice within a minute, and lost again in the middle of its way back.
    Flap,
    /// Two sites are lost together.
    Two,
    /// Half of the relays are killed during the way back, and return with an old roll.
    Relays,
    /// Traffic at a receiving site jumps to 2.2 times the usual while it holds spill, and one of its card servers drains.
    Surge,
    /// Nothing goes wrong.
    Calm,
    /// A site is lost and regained within seconds, for tests.
    Short,
    /// The same, and time to look at it.
    Show,
}

/// Something that happens to the world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Card servers of a site die, all but so many.
    Kill {
        /// The site.
        site: usize,
        /// How many live on.
        but: usize,
    },
    /// A site's card servers fall silent.
    Silence(usize),
    /// The first so many of a site's card servers that are down come back.
    Return {
        /// The site.
        site: usize,
        /// How many come back at the most.
        most: usize,
        /// The roll learns of all at once.
        together: bool,
    },
    /// Half of the relays are killed, and come back later.
    KillRelays(Duration),
    /// A site's arrivals are this multiple of the usual.
    Surge(usize, f64),
    /// One of a site's card servers drains, and stops after a while.
    Drain(usize),
}

impl Step {
    /// Whether card servers of a site are lost by it.
    pub fn loses(&self, site: usize) -> bool {
        matches!(self, Step::Kill { site: s, .. } | Step::Silence(s) if *s == site)
    }
}

impl Scenario {
    /// Its steps, for a world of four sites or more in which the third is the one that is lost. `end` is how long it lasts.
    pub fn steps(self) -> (Vec<(Duration, Step)>, Duration) {
        const LOST: usize = 2;
        const OTHER: usize = 3;
        const NEAR: usize = 1;
        let at = Duration::from_secs;
        let back = |site| Step::Return { site, most: usize::MAX, together: false };
        let kill = |site| Step::Kill { site, but: 0 };
        match self {
            Scenario::Lost => (vec![(at(12), kill(LOST)), (at(28), back(LOST))], at(65)),
            Scenario::Silent => (vec![(at(12), Step::Silence(LOST)), (at(32), back(LOST))], at(70)),
            Scenario::Partial => {
                (vec![(at(12), Step::Kill { site: LOST, but: 1 }), (at(30), back(LOST))], at(65))
            }
            Scenario::Together => {
                let back = Step::Return { site: LOST, most: usize::MAX, together: true };
                (vec![(at(12), kill(LOST)), (at(28), back)], at(65))
            }
            Scenario::Flap => {
                let half = Step::Return { site: LOST, most: 2, together: true };
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
                let relays = Step::KillRelays(Duration::from_millis(3_000));
                (vec![(at(12), kill(LOST)), (at(27), back(LOST)), (at(31), relays)], at(70))
            }
            Scenario::Surge => {
                let steps = vec![
                    (at(12), kill(LOST)),
                    (at(18), Step::Surge(NEAR, 2.2)),
                    (at(20), Step::Drain(0)),
                    (at(27), Step::Surge(NEAR, 1.0)),
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
